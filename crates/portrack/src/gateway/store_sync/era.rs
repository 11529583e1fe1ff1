//! Tracks which era of the store this daemon is in, and since when. A store that is restored from
//! an older copy starts a new era, in which nothing read before is valid.

use crate::store::StoreEra;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Distance between the fences of two eras. It exceeds the revisions that one restore can lose,
/// which are some seconds of writes.
const FENCE_STRIDE: u64 = 1 << 32;
/// The largest number of eras that fences distinguish. A fence then fits into 53 bits, which every
/// number parser preserves.
const MAX_FENCED_ERAS: u64 = 1 << 20;

/// A daemon's report on the store's era, at the end of its heartbeat.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraReport {
    /// The era of its copy of the store.
    pub era: StoreEra,
    /// The earliest known era.
    pub first: StoreEra,
    /// Milliseconds since the first daemon noticed the start of this era; `None` if no daemon
    /// noticed it.
    pub began_ms: Option<u32>,
    /// Number of items that it retains although the store's copy differs.
    pub kept: u16,
}

/// A restore of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EraChange {
    /// The previous era.
    pub before: StoreEra,
    /// The current era.
    pub era: StoreEra,
}

/// The era that this daemon is in.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EraTracker {
    era: StoreEra,
    first: StoreEra,
    began_at: Option<Time>,
    /// This daemon itself observed the restore.
    saw_restore: bool,
}

impl EraTracker {
    /// The current era.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// The earliest known era.
    pub fn first(&self) -> StoreEra {
        self.first
    }

    /// Records the era of a response or of a peer's update. The first known era does not count as a
    /// restore.
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
        self.saw_restore = true;
        Some(EraChange { before, era })
    }

    /// Records an era that the store was in at some time.
    pub fn learn_first(&mut self, era: StoreEra) {
        if era.is_known() && (!self.first.is_known() || era < self.first) {
            self.first = era;
        }
    }

    /// Records that the store may have been restored just now, unobserved by this daemon.
    pub fn may_have_begun(&mut self, now: Time) {
        self.began_at.get_or_insert(now);
    }

    /// Merges another daemon's report, which may have noticed the start of the era earlier.
    pub fn hear(&mut self, now: Time, report: &EraReport) {
        self.learn_first(report.first);
        let Some(began_ms) = report.began_ms.filter(|_| report.era == self.era) else { return };
        let began_at = Time(now.0.saturating_sub(began_ms.into()));
        self.began_at = Some(self.began_at.map_or(began_at, |known| known.min(began_at)));
    }

    /// When the first daemon noticed the start of the era; `None` if no daemon did.
    pub fn began_at(&self) -> Option<Time> {
        self.began_at
    }

    /// Time since the era is known to have started at the latest; `None` if no daemon noticed its
    /// start.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.began_at.map(|at| now.since(at))
    }

    /// The report for other daemons.
    pub fn report(&self, now: Time, kept: usize) -> EraReport {
        let began_ms = self.age(now).and_then(|age| u32::try_from(age.as_millis()).ok());
        let kept = u16::try_from(kept).unwrap_or(u16::MAX);
        EraReport { era: self.era, first: self.first, began_ms, kept }
    }

    /// Added to revisions to make fences. Revisions alone go back when the store is restored, and
    /// servers that had seen a higher fence would accept no orders.
    pub fn fence_base(&self) -> u64 {
        self.era.since(self.first).min(MAX_FENCED_ERAS) * FENCE_STRIDE
    }

    /// The era of a peer's update. A build that reports none is assumed to be in this daemon's era,
    /// unless this daemon has observed a restore: then the peer may be in an earlier era.
    pub fn resolve_peer_era(&self, reported: StoreEra) -> Option<StoreEra> {
        if reported.is_known() {
            return Some(reported);
        }
        (!self.saw_restore).then_some(self.era)
    }
}
