//! Loads from the weight store: evenly spread, a few at once.

use crate::types::Time;

/// Loads that may begin right after each other.
const BURST: f64 = 2.0;
/// Of the rate allowed, this share is used.
const USED_SHARE: f64 = 0.98;

/// A token bucket for loads.
#[derive(Debug, Clone, Copy)]
pub struct LoadBudget {
    rate: f64,
    tokens: f64,
    at: Time,
}

impl LoadBudget {
    /// An empty bucket that fills at `rate` loads a second.
    pub fn new(now: Time, rate: f64) -> Self {
        Self { rate, tokens: 0.0, at: now }
    }

    /// Takes a changed rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Loads that may begin now.
    pub fn tokens(&mut self, now: Time) -> f64 {
        let filled = now.since(self.at).as_secs_f64() * self.rate * USED_SHARE;
        self.tokens = (self.tokens + filled).min(BURST);
        self.at = now;
        self.tokens
    }

    /// Takes one load.
    pub fn take(&mut self, now: Time) -> bool {
        if self.tokens(now) < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
