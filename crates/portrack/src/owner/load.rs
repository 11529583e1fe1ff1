//! How long loads take, as seen at one engine.

use std::time::Duration;

/// Weight of a new observation against the average so far, as one part in this many.
const SMOOTHING: u32 = 4;

/// A moving average of load times.
#[derive(Debug, Clone)]
pub struct LoadTimes {
    average: Duration,
}

impl LoadTimes {
    /// Starts from a guess.
    pub fn new(guess: Duration) -> Self {
        Self { average: guess }
    }

    /// Takes in one finished load.
    pub fn observe(&mut self, took: Duration) {
        self.average = (self.average * (SMOOTHING - 1) + took) / SMOOTHING;
    }

    /// The time a load is expected to take.
    pub fn expected(&self) -> Duration {
        self.average
    }
}
