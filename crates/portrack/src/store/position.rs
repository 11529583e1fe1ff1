//! Positions in the store's history. A store that is restored from an older copy starts a new era
//! and continues counting revisions from that copy.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::fmt;

/// The history that a revision belongs to. Increases each time the store is restored from a copy.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(u64);

impl StoreEra {
    /// The era of a store that reports none, or has not reported one yet. Precedes all others.
    pub const NONE: Self = Self(0);

    /// The era that the store reports as this number.
    pub fn from_number(number: u64) -> Self {
        Self(number.saturating_add(1))
    }

    /// Returns true if the store has reported its era.
    pub fn is_known(self) -> bool {
        self != Self::NONE
    }

    /// The number of restores since an earlier era.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.checked_sub(1) {
            Some(number) => number.fmt(f),
            None => f.write_str("none"),
        }
    }
}

/// A revision of the store with its era. Positions are ordered by era, then by revision.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StorePosition {
    /// The era.
    pub era: StoreEra,
    /// The revision.
    pub revision: u64,
}

impl StorePosition {
    /// Creates the position of a revision in an era.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.revision)
    }
}

/// What a response of the store reports about its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedEra {
    /// The response reports no era.
    Absent,
    /// The response is of this era.
    Valid(StoreEra),
    /// The reported era is malformed.
    Invalid,
}

/// The eras reported by the responses of one store. Responses may arrive out of order.
#[derive(Debug, Default)]
pub struct ObservedEras {
    newest: Cell<StoreEra>,
    /// The last reported era was malformed. Limits the warning to once in a row.
    invalid: Cell<bool>,
    /// The last reported era was older than the newest. Limits the warning to once in a row.
    older: Cell<bool>,
}

impl ObservedEras {
    /// The newest era reported.
    pub fn newest(&self) -> StoreEra {
        self.newest.get()
    }

    /// Records what a response reports, and returns the era of the response. Without a valid report
    /// that is the newest era known.
    pub fn answered(&self, reported: ReportedEra) -> StoreEra {
        if reported == ReportedEra::Invalid && !self.invalid.replace(true) {
            log::warn!(era:% = self.newest.get(); "store_era_unreadable");
        }
        let ReportedEra::Valid(era) = reported else { return self.newest.get() };
        self.invalid.set(false);
        let older = era < self.newest.get();
        if older && !self.older.replace(older) {
            log::warn!(era:% = era, newest:% = self.newest.get(); "store_era_former");
        }
        self.older.set(older);
        self.newest.set(self.newest.get().max(era));
        era
    }
}
