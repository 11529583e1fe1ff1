//! Which history of the store this daemon is in, and since when. A store that comes back from an older copy
//! begins a new one; all that was taken from it before has no place in that.

use crate::store::StoreEra;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Between the fences of two eras: more than the revisions that can be lost with one return, which are some seconds
/// of writes.
const FENCE_STRIDE: u64 = 1 << 32;
/// The most eras that fences tell apart: a fence stays within the 53 bits that every reader of numbers keeps.
const MOST_FENCED: u64 = 1 << 20;

/// What a daemon tells others of the store's era, at the end of its heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraReport {
    /// The era of its news.
    pub era: StoreEra,
    /// The earliest era that is known of.
    pub first: StoreEra,
    /// How long ago the first daemon noticed that this era had begun, in milliseconds; `None` if none saw it begin.
    pub began_ms: Option<u32>,
    /// Items that it believes against the store's copy.
    pub kept: u16,
}

/// That the store came back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraChange {
    /// The era before.
    pub before: StoreEra,
    /// The era now.
    pub era: StoreEra,
}

/// The era that this daemon is in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EraTracker {
    era: StoreEra,
    first: StoreEra,
    began_at: Option<Time>,
    /// This daemon itself saw the store come back.
    saw_return: bool,
}

impl EraTracker {
    /// The era.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// The earliest era that is known of.
    pub fn first(&self) -> StoreEra {
        self.first
    }

    /// Takes in an era that an answer or a peer's news is of. The first one is no return, nor is one that was not
    /// told before.
    pub fn learn(&mut self, now: Time, era: StoreEra) -> Option<EraChange> {
        if era <= self.era {
            return None;
        }
        let before = std::mem::replace(&mut self.era, era);
        if !before.is_known() {
            self.learn_first(era);
            return None;
        }
        self.began_at = Some(now);
        self.saw_return = true;
        Some(EraChange { before, era })
    }

    /// Takes in an era that the store was in once.
    pub fn learn_first(&mut self, era: StoreEra) {
        if era.is_known() && (!self.first.is_known() || era < self.first) {
            self.first = era;
        }
    }

    /// The store may have come back a moment ago, unseen by this daemon.
    pub fn may_have_begun(&mut self, now: Time) {
        self.began_at.get_or_insert(now);
    }

    /// Takes in what another daemon tells: it may have noticed earlier.
    pub fn hear(&mut self, now: Time, report: &EraReport) {
        self.learn_first(report.first);
        let Some(began_ms) = report.began_ms.filter(|_| report.era == self.era) else { return };
        let began_at = Time(now.0.saturating_sub(began_ms.into()));
        self.began_at = Some(self.began_at.map_or(began_at, |known| known.min(began_at)));
    }

    /// When the first daemon noticed that the era had begun; `None` if nobody saw that.
    pub fn began_at(&self) -> Option<Time> {
        self.began_at
    }

    /// How long ago the era is known to have begun at the latest; `None` if nobody saw that.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.began_at.map(|at| now.since(at))
    }

    /// For others.
    pub fn report(&self, now: Time, kept: usize) -> EraReport {
        let began_ms = self.age(now).and_then(|age| u32::try_from(age.as_millis()).ok());
        let kept = u16::try_from(kept).unwrap_or(u16::MAX);
        EraReport { era: self.era, first: self.first, began_ms, kept }
    }

    /// What is added to revisions to make fences. Revisions alone go back with the store, and servers that had seen a
    /// higher fence would take no orders.
    pub fn fence_base(&self) -> u64 {
        self.era.since(self.first).min(MOST_FENCED) * FENCE_STRIDE
    }

    /// The era of a peer's news. A build that does not tell it is taken to be in this daemon's, unless this one has
    /// seen the store come back: then it may be in a former one.
    pub fn resolve_peer_era(&self, told: StoreEra) -> Option<StoreEra> {
        if told.is_known() {
            return Some(told);
        }
        (!self.saw_return).then_some(self.era)
    }
}
