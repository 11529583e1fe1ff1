//! An exponentially decaying sum.

use crate::types::Time;
use std::time::Duration;

/// A sum that loses half of its value in each half-life.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingSum {
    value: f64,
    at: Time,
}

impl DecayingSum {
    /// Adds to the sum.
    pub fn add(&mut self, now: Time, half_life: Duration, amount: f64) {
        self.set(now, self.get(now, half_life) + amount);
    }

    /// Replaces the sum.
    pub fn set(&mut self, now: Time, value: f64) {
        *self = Self { value, at: now };
    }

    /// The sum at the given time.
    pub fn get(&self, now: Time, half_life: Duration) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / half_life.as_secs_f64();
        self.value * 0.5_f64.powf(halves)
    }
}
