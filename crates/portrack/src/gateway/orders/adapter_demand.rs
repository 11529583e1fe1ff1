//! How much an adapter is used at a server.

use crate::gateway::selection::decay::DecayingSum;
use crate::types::Time;
use std::time::Duration;

/// The rate of requests fades this fast; demand moves on within seconds.
const RATE_HALF_LIFE: Duration = Duration::from_secs(10);

/// The present pace of requests is taken over about this time: long enough for a few requests,
/// short enough that replicas come while the first requests still run.
const PACE_HALF_LIFE: Duration = Duration::from_millis(700);

/// Demand for one adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdapterDemand {
    rate: DecayingSum,
    pace: DecayingSum,
}

impl AdapterDemand {
    /// Counts requests.
    pub fn used(&mut self, now: Time, times: u16) {
        self.rate.add(now, RATE_HALF_LIFE, f64::from(times));
        self.pace.add(now, PACE_HALF_LIFE, f64::from(times));
    }

    /// Requests a second at present.
    pub fn per_second(&self, now: Time) -> f64 {
        let window = PACE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        self.pace.get(now, PACE_HALF_LIFE) / window
    }

    /// Requests of the last seconds, fading.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate.get(now, RATE_HALF_LIFE)
    }
}
