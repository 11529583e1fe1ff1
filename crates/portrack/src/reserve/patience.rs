//! How often and how long an entry node asks.

use std::time::Duration;

/// Spans and counts of the asking side.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Patience {
    /// Until an ask is repeated for the first time; doubles each time.
    pub repeat_after: Duration,
    /// Asks without any answer before another engine is tried.
    pub unanswered: u32,
    /// How often a queued ask is renewed.
    pub renew_every: Duration,
    /// Engines tried for one request.
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
