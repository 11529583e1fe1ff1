//! Schedules the retries of refused callers.

use crate::types::Time;
use std::time::Duration;

/// Maximum retry delay.
const MAX_RETRY: Duration = Duration::from_millis(2_000);

/// Spaces out the retry times of refused callers.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryScheduler {
    last: Time,
}

impl RetryScheduler {
    /// The retry delay of the next caller in milliseconds: once there is capacity, each `interval`
    /// after the previous one.
    pub fn next(&mut self, now: Time, room_in: Duration, interval: Duration) -> u32 {
        let next = self.last.max(now + room_in) + interval;
        self.last = next.min(now + MAX_RETRY);
        self.last.since(now).as_millis() as u32
    }
}
