//! When refused callers may come back.

use crate::types::Time;
use std::time::Duration;

/// The longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_millis(2_000);

/// Refused callers are told to come back one after the other.
#[derive(Debug, Clone, Copy, Default)]
pub struct RetryScheduler {
    last: Time,
}

impl RetryScheduler {
    /// When the next one may come back, in milliseconds: once there is room, each `apart` from the next.
    pub fn next(&mut self, now: Time, room_in: Duration, apart: Duration) -> u32 {
        let next = self.last.max(now + room_in) + apart;
        self.last = next.min(now + LONGEST_RETRY);
        self.last.since(now).as_millis() as u32
    }
}
