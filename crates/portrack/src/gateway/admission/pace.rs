//! How much comes a second, fading with time.

use crate::types::Time;
use std::time::Duration;

/// What came loses its weight at this rate: half of a second's count is gone after two seconds.
const FADES_OVER: Duration = Duration::from_millis(3_000);

/// Units a second.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct DecayingRate {
    per_second: f64,
    at: Time,
}

impl DecayingRate {
    /// Counts units.
    pub fn count(&mut self, now: Time, units: f64) {
        self.per_second = self.per_second(now) + units / FADES_OVER.as_secs_f64();
        self.at = now;
    }

    /// Units a second now.
    pub fn per_second(&self, now: Time) -> f64 {
        let passed = now.since(self.at).as_secs_f64() / FADES_OVER.as_secs_f64();
        self.per_second * (-passed).exp()
    }
}
