//! Timeouts and retry limits of an entry node.

use std::time::Duration;

/// Timeouts and retry limits for reservations.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patience {
    /// Delay before the first repetition of an unanswered ask; doubles each time.
    pub repeat_after: Duration,
    /// Number of unanswered asks after which another engine is tried.
    pub unanswered: u32,
    /// Interval between renewals of a queued ask.
    pub renew_every: Duration,
    /// Maximum number of engines tried for one request.
    pub engines: usize,
    /// Must equal the owners' [`crate::owner::Tuning::start_within`].
    pub start_within: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self {
            repeat_after: Duration::from_millis(100),
            unanswered: 3,
            renew_every: Duration::from_millis(500),
            engines: 3,
            start_within: Duration::from_millis(1_000),
        }
    }
}
