//! Detects that this process stood still.

use crate::types::Time;
use std::cell::Cell;
use std::time::Duration;

/// Interval at which the task of the daemon calls [`PauseDetector::check`].
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// A longer time between two checks is a pause.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Counts the pauses of this process. What was received before or during a pause may be outdated.
#[derive(Debug, Default)]
pub struct PauseDetector {
    checked_at: Cell<Option<Time>>,
    pauses: Cell<u64>,
}

impl PauseDetector {
    /// Returns the number of pauses so far.
    pub fn check(&self, now: Time) -> u64 {
        let before = self.checked_at.replace(Some(now));
        if before.is_some_and(|before| now.since(before) >= PAUSE) {
            self.pauses.set(self.pauses.get() + 1);
        }
        self.pauses.get()
    }
}
