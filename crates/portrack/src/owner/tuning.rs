//! Limits and durations of an engine owner.

use std::time::Duration;

/// Limits, timeouts and intervals of an engine owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tuning {
    /// Maximum age of the status report, showing this owner's fence, that a grant relies on.
    pub grant_validity: Duration,
    /// Maximum age of the last lease renewal for orders to an engine that does not check fences.
    pub lease_validity: Duration,
    /// A granted request must start within this time after the entry node sent its ask.
    pub start_within: Duration,
    /// Allowance for a started request to reach the engine.
    pub start_margin: Duration,
    /// Maximum age of the state that an engine's report shows.
    pub report_lag: Duration,
    /// Interval between reports while requests wait or adapters load or unload.
    pub poll_every: Duration,
    /// Interval between reports otherwise; must be below `grant_validity`.
    pub poll_idle: Duration,
    /// Interval between repeated permit requests.
    pub permit_every: Duration,
    /// An order without a result after this time counts as `OrderResult::Unknown`.
    pub order_timeout: Duration,
    /// Minimum time for which a loaded adapter stays loaded.
    pub min_hold: Duration,
    /// Half-life of the measured demand for an adapter.
    pub demand_half_life: Duration,
    /// Maximum number of waiting requests in each class.
    pub queue_len: usize,
    /// A waiting request that its entry node has not renewed for this long is dropped.
    pub waiter_ttl: Duration,
    /// One grant in this many goes to a background request, if one is waiting.
    pub background_every: u32,
    /// Initial backoff after a failed load; doubles with each further failure.
    pub load_backoff: Duration,
    /// Maximum backoff after failed loads.
    pub load_backoff_cap: Duration,
}

impl Tuning {
    /// Time after a takeover during which nothing may be unloaded.
    pub fn quarantine(&self) -> Duration {
        self.grant_validity + self.start_window()
    }

    /// Time after a grant during which its request may still be missing from reports.
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
