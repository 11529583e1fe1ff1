//! How long missing adapters wait at one engine until their load begins: they take turns for its
//! slots and for permits.

use crate::types::Time;
use std::time::Duration;

/// Share of a new interval in the average so far.
const NEW_SHARE: f64 = 0.25;

/// An engine that has begun no load for long counts as this many times slower than its best.
const STALLED: u32 = 4;

/// The time between the loads of one engine while adapters wait.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadTurns {
    interval: Option<Duration>,
    /// The last load that left others waiting, or when the first began to wait.
    last: Option<Time>,
}

impl LoadTurns {
    /// An adapter begins to wait. Time in which nothing waited is no interval.
    pub fn waits(&mut self, now: Time) {
        self.last.get_or_insert(now);
    }

    /// A load begins; `left` adapters go on waiting.
    pub fn began(&mut self, now: Time, left: usize) {
        if let Some(last) = self.last {
            let passed = now.since(last);
            let before = self.interval.unwrap_or(passed);
            self.interval = Some(before.mul_f64(1.0 - NEW_SHARE) + passed.mul_f64(NEW_SHARE));
        }
        self.last = (left > 0).then_some(now);
    }

    /// How long the adapter waits that has `ahead` others before it, where an engine with free
    /// slots and permits would take `least` for each.
    pub fn expected(&self, now: Time, ahead: usize, least: Duration) -> Duration {
        let turns = u32::try_from(ahead).unwrap_or(u32::MAX);
        let waiting = self.last.map_or(Duration::ZERO, |last| now.since(last));
        let interval = self.interval.unwrap_or(least).max(waiting.min(least * STALLED));
        interval.saturating_mul(turns)
    }
}
