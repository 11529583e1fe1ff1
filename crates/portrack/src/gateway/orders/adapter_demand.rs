//! Demand for one adapter at one server.

use crate::gateway::selection::decay::DecayingSum;
use crate::types::Time;
use std::time::Duration;

/// Half-life of the request rate; demand shifts between adapters within seconds.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(10);

/// Half-life of the current requests per second: long enough to cover a few requests, short enough
/// that replicas are added while the first requests still run.
const CURRENT_HALF_LIFE: Duration = Duration::from_millis(700);

/// Decaying request counts of one adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdapterDemand {
    recent: DecayingSum,
    current: DecayingSum,
}

impl AdapterDemand {
    /// Counts requests.
    pub fn used(&mut self, now: Time, times: u16) {
        self.recent.add(now, RECENT_HALF_LIFE, f64::from(times));
        self.current.add(now, CURRENT_HALF_LIFE, f64::from(times));
    }

    /// Returns the current requests per second.
    pub fn per_second(&self, now: Time) -> f64 {
        let window = CURRENT_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.current.get(now, CURRENT_HALF_LIFE) / window
    }

    /// Returns the decayed number of recent requests.
    pub fn rate(&self, now: Time) -> f64 {
        self.recent.get(now, RECENT_HALF_LIFE)
    }
}
