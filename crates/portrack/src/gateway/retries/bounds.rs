//! Bounds on the retries of the whole fleet.

use crate::types::Time;
use std::time::Duration;

/// Number of slots into which a window is divided.
pub const WINDOW_SLOTS: u64 = 100;
/// Slots within which a retry must be sent and arrive after it was taken.
pub const TRANSIT_SLOTS: u64 = 5;
/// Share of the budget that is used. The rest covers retries that a link or a paused node holds up for longer.
pub const USABLE_SHARE: f64 = 0.9;

/// Bounds on the retries of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Maximum retries as a share of requests.
    pub ratio: f64,
    /// Additional retries in a window, across all daemons.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

impl RetryBounds {
    /// The slot that contains a time. Slots are exact parts of the window, whatever its length.
    pub fn slot(&self, now: Time) -> u64 {
        let window_ms = u64::try_from(self.window.as_millis()).unwrap_or(u64::MAX);
        now.0.saturating_mul(WINDOW_SLOTS) / window_ms.max(1)
    }

    /// How long a retry may be sent after it was taken.
    pub fn send_within(&self) -> Duration {
        self.slot_length() * TRANSIT_SLOTS as u32
    }

    /// Time after which retries taken before no longer count in any window.
    pub fn forgotten_after(&self) -> Duration {
        self.window + self.send_within() + self.slot_length()
    }

    fn slot_length(&self) -> Duration {
        self.window / WINDOW_SLOTS as u32
    }
}
