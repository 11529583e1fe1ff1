//! Estimates how long an adapter waits at one engine until its load begins. Loads are started one
//! after the other, as slots and permits become available.

use crate::types::Time;
use std::time::Duration;

/// Weight of a new interval in the moving average.
const SMOOTHING: f64 = 0.25;

/// Limits the estimate for an engine that has started no load for a long time to this many times
/// its minimum interval.
const MAX_STALL_FACTOR: u32 = 4;

/// Average time between load starts of one engine while adapters wait.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadWaitEstimator {
    interval: Option<Duration>,
    /// Start of the last load that left others waiting, or when the first adapter began to wait.
    last: Option<Time>,
}

impl LoadWaitEstimator {
    /// Records that an adapter waits. Time in which nothing waited does not count as an interval.
    pub fn on_wait(&mut self, now: Time) {
        self.last.get_or_insert(now);
    }

    /// Records the start of a load after which `left` adapters still wait.
    pub fn on_load_started(&mut self, now: Time, left: usize) {
        if let Some(last) = self.last {
            let passed = now.since(last);
            let before = self.interval.unwrap_or(passed);
            self.interval = Some(before.mul_f64(1.0 - SMOOTHING) + passed.mul_f64(SMOOTHING));
        }
        self.last = (left > 0).then_some(now);
    }

    /// Expected wait of an adapter with `ahead` others before it. `least` is the minimum interval,
    /// with free slots and permits.
    pub fn expected(&self, now: Time, ahead: usize, least: Duration) -> Duration {
        let turns = u32::try_from(ahead).unwrap_or(u32::MAX);
        let waiting = self.last.map_or(Duration::ZERO, |last| now.since(last));
        let interval = self.interval.unwrap_or(least).max(waiting.min(least * MAX_STALL_FACTOR));
        interval.saturating_mul(turns)
    }
}
