//! Loads of base models from the weight store: evenly spread, shared between the daemons.

use crate::types::Time;

/// Loads that may begin right after each other.
const BURST: f64 = 2.0;

/// A token bucket for loads.
#[derive(Debug, Clone, Copy)]
pub struct LoadBudget {
    rate: f64,
    sharers: usize,
    tokens: f64,
    at: Time,
}

impl LoadBudget {
    /// A full bucket that fills at `rate` loads a second.
    pub fn new(now: Time, rate: f64) -> Self {
        Self { rate, sharers: 1, tokens: BURST, at: now }
    }

    /// Takes a changed rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Takes a changed number of daemons that share the rate.
    pub fn set_sharers(&mut self, sharers: usize) {
        self.sharers = sharers.max(1);
    }

    /// Loads that may begin now.
    pub fn tokens(&mut self, now: Time) -> f64 {
        let share = self.rate / self.sharers as f64;
        let filled = now.since(self.at).as_secs_f64() * share;
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
