//! Places in the store's history, which may break off: a store that comes back from an older copy counts its
//! revisions on from there.

use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::fmt;

/// Which history of the store a revision belongs to; rises each time that it comes back from a copy.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StoreEra(u64);

impl StoreEra {
    /// Of a store that tells none, or has not told it yet; before all others.
    pub const NONE: Self = Self(0);

    /// The era that the store calls by this number.
    pub fn from_number(number: u64) -> Self {
        Self(number.saturating_add(1))
    }

    /// True if the store tells its era.
    pub fn is_known(self) -> bool {
        self != Self::NONE
    }

    /// How many times the store came back since an earlier era.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl fmt::Display for StoreEra {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.0.checked_sub(1) {
            Some(number) => number.fmt(out),
            None => out.write_str("none"),
        }
    }
}

/// A revision of the store, with the era that it counts in. Of two positions the later one is greater.
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
    /// A revision in an era.
    pub fn new(era: StoreEra, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl fmt::Display for StorePosition {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(out, "{}/{}", self.era, self.revision)
    }
}

/// What an answer of the store says of its era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportedEra {
    /// Nothing.
    Absent,
    /// The answer is of this era.
    Valid(StoreEra),
    /// Something that is no era.
    Invalid,
}

/// The eras that the answers of one store told. Answers overtake each other.
#[derive(Debug, Default)]
pub struct ObservedEras {
    newest: Cell<StoreEra>,
    /// The last word was no era; logged once.
    unreadable: Cell<bool>,
    /// The last era was lower than the newest; logged once.
    former: Cell<bool>,
}

impl ObservedEras {
    /// The newest era that was told.
    pub fn newest(&self) -> StoreEra {
        self.newest.get()
    }

    /// Takes in what an answer says, and tells which era it is of: the newest known, if it does not tell.
    pub fn answered(&self, word: ReportedEra) -> StoreEra {
        if word == ReportedEra::Invalid && !self.unreadable.replace(true) {
            log::warn!(era:% = self.newest.get(); "store_era_unreadable");
        }
        let ReportedEra::Valid(era) = word else { return self.newest.get() };
        self.unreadable.set(false);
        let former = era < self.newest.get();
        if former && !self.former.replace(former) {
            log::warn!(era:% = era, newest:% = self.newest.get(); "store_era_former");
        }
        self.former.set(former);
        self.newest.set(self.newest.get().max(era));
        era
    }
}
