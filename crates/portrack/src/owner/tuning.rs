//! The numbers an owner goes by.

use std::time::Duration;

/// Limits and spans of an engine owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tuning {
    /// Grants need a report that showed our fence, asked for at most this long ago.
    pub grant_validity: Duration,
    /// Orders to an engine that checks no fence need a lease renewed at most this long ago.
    pub lease_validity: Duration,
    /// A grant must be started within this, counted by the entry node from its ask.
    pub start_within: Duration,
    /// Covers the way of a started request to the engine.
    pub start_margin: Duration,
    /// How far an engine's report may lag.
    pub report_lag: Duration,
    /// Time between reports while something waits, loads or unloads.
    pub poll_every: Duration,
    /// Time between reports otherwise; below `grant_validity`.
    pub poll_idle: Duration,
    /// Time between repeated permit asks.
    pub permit_every: Duration,
    /// Without an end after this, an order's result is taken as unknown.
    pub order_timeout: Duration,
    /// A loaded adapter stays at least this long.
    pub min_hold: Duration,
    /// Half of an adapter's measured demand is forgotten in this time.
    pub demand_half_life: Duration,
    /// Requests that may wait in each class.
    pub queue_len: usize,
    /// A waiting request whose entry node is silent for this long is dropped.
    pub waiter_ttl: Duration,
    /// One grant in this many goes to background work, if any waits.
    pub background_every: u32,
    /// First wait after a failed load; doubles with each further failure.
    pub load_backoff: Duration,
    /// Longest wait after failed loads.
    pub load_backoff_cap: Duration,
}

impl Tuning {
    /// How long after a takeover nothing may be unloaded.
    pub fn quarantine(&self) -> Duration {
        self.grant_validity + self.start_window()
    }

    /// How long after a grant its request may still be on the way, unseen in a report.
    pub fn start_window(&self) -> Duration {
        self.start_within + self.start_margin + self.report_lag
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            grant_validity: Duration::from_millis(3_000),
            lease_validity: Duration::from_secs(15),
            start_within: Duration::from_millis(1_000),
            start_margin: Duration::from_millis(500),
            report_lag: Duration::from_millis(500),
            poll_every: Duration::from_millis(500),
            poll_idle: Duration::from_millis(2_000),
            permit_every: Duration::from_millis(500),
            order_timeout: Duration::from_secs(30),
            min_hold: Duration::from_secs(2),
            demand_half_life: Duration::from_secs(80),
            queue_len: 64,
            waiter_ttl: Duration::from_millis(2_500),
            background_every: 8,
            load_backoff: Duration::from_millis(500),
            load_backoff_cap: Duration::from_secs(30),
        }
    }
}
