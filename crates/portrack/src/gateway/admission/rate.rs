//! An exponentially decaying rate.

use crate::types::Time;
use std::time::Duration;

/// Time constant of the decay: a count has lost half of its weight after two seconds.
const DECAY_TIME: Duration = Duration::from_millis(3_000);

/// Units per second, averaged with exponential decay.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingRate {
    per_second: f64,
    at: Time,
}

impl DecayingRate {
    /// Counts units.
    pub fn count(&mut self, now: Time, units: f64) {
        self.per_second = self.per_second(now) + units / DECAY_TIME.as_secs_f64();
        self.at = now;
    }

    /// The rate at a time.
    pub fn per_second(&self, now: Time) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.per_second * (-passed).exp()
    }
}
