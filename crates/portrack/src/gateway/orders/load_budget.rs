//! Rate limit for loads of base models from the weight store, shared between the daemons.

use crate::types::Time;

/// Loads that may start back to back.
const BURST: f64 = 2.0;

/// A token bucket for loads.
#[derive(Debug, Clone, Copy)]
pub struct LoadBudget {
    rate: f64,
    daemons: usize,
    tokens: f64,
    updated_at: Time,
}

impl LoadBudget {
    /// Creates a full bucket that refills at `rate` loads per second.
    pub fn new(now: Time, rate: f64) -> Self {
        Self { rate, daemons: 1, tokens: BURST, updated_at: now }
    }

    /// Updates the rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Updates the number of daemons that share the rate.
    pub fn set_daemons(&mut self, daemons: usize) {
        self.daemons = daemons.max(1);
    }

    /// Returns the tokens available now.
    pub fn tokens(&mut self, now: Time) -> f64 {
        let share = self.rate / self.daemons as f64;
        let filled = now.since(self.updated_at).as_secs_f64() * share;
        self.tokens = (self.tokens + filled).min(BURST);
        self.updated_at = now;
        self.tokens
    }

    /// Takes one token if available.
    pub fn take(&mut self, now: Time) -> bool {
        if self.tokens(now) < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
