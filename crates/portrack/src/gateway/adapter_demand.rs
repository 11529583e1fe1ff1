//! How much an adapter is asked for.

use super::decay::Decayed;
use super::demand::Asked;
use crate::types::Time;
use std::time::Duration;

/// Requests that wait for a load fade this fast.
const WAITING_HALF_LIFE: Duration = Duration::from_millis(900);
/// The rate of requests fades this fast; demand moves on within seconds.
const RATE_HALF_LIFE: Duration = Duration::from_secs(5);
/// What a waiting request weighs against one that was there lately.
const WAITING_WEIGHT: f64 = 2.0;
/// What a request that found nothing since the last load weighs.
const UNSERVED_WEIGHT: f64 = 0.5;
/// Unserved requests that count.
const UNSERVED_MOST: u32 = 12;

/// Demand for one adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct AdapterDemand {
    waiting: Decayed,
    rate: Decayed,
    unserved: u32,
}

impl AdapterDemand {
    /// Counts requests.
    pub fn asked(&mut self, now: Time, asked: Asked) {
        self.waiting.add(now, WAITING_HALF_LIFE, f64::from(asked.misses));
        self.rate.add(now, RATE_HALF_LIFE, f64::from(asked.hits) + f64::from(asked.misses));
        self.unserved = self.unserved.saturating_add(u32::from(asked.misses));
    }

    /// It was loaded.
    pub fn served(&mut self) {
        self.unserved = 0;
    }

    /// What a load of it is worth, against other adapters.
    pub fn worth(&self, now: Time) -> f64 {
        let waiting = self.waiting.get(now, WAITING_HALF_LIFE);
        let unserved = f64::from(self.unserved.min(UNSERVED_MOST));
        waiting * WAITING_WEIGHT + self.rate(now) + unserved * UNSERVED_WEIGHT
    }

    /// Requests of the last seconds, fading.
    pub fn rate(&self, now: Time) -> f64 {
        self.rate.get(now, RATE_HALF_LIFE)
    }

    /// Requests that wait now.
    pub fn waiting(&self, now: Time) -> f64 {
        self.waiting.get(now, WAITING_HALF_LIFE)
    }
}
