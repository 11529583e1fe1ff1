//! How much an adapter is used at a server.

use super::decay::Decayed;
use crate::types::Time;
use std::time::Duration;

/// The rate of requests fades this fast; demand moves on within seconds.
const RATE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Demand for one adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdapterDemand {
    rate: Decayed,
}

impl AdapterDemand {
    /// Counts requests.
    pub fn used(&mut self, now: Time, times: u16) {
        self.rate.add(now, RATE_HALF_LIFE, f64::from(times));
    }

    /// Requests of the last seconds, fading.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate.get(now, RATE_HALF_LIFE)
    }
}
