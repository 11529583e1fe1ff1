//! Average load time of one engine.

use std::time::Duration;

/// A new observation has a weight of one part in this many.
const SMOOTHING: u32 = 4;

/// Exponential moving average of load times.
#[derive(Debug, Clone)]
pub struct LoadTimeAverage {
    average: Duration,
}

impl LoadTimeAverage {
    /// Creates an average with an initial estimate.
    pub fn new(estimate: Duration) -> Self {
        Self { average: estimate }
    }

    /// Adds the duration of a finished load.
    pub fn observe(&mut self, took: Duration) {
        self.average = (self.average * (SMOOTHING - 1) + took) / SMOOTHING;
    }

    /// Expected duration of a load.
    pub fn expected(&self) -> Duration {
        self.average
    }
}
