//! Limits how many adapters are fetched from the weight store at the same time.
//!
//! The store serves some number of fetches at full speed; beyond it, all of them slow down. That
//! number is not configured, so it is probed: the limit grows while fetches are fast and shrinks
//! when they become slow.

use std::time::Duration;

/// A fetch that takes this many times the fastest one is slow.
const SLOW_FACTOR: f64 = 1.45;
/// Growth of the limit after as many fast fetches as it allows.
const INCREASE: f64 = 0.8;
/// Factor applied to the limit after a slow fetch.
const DECREASE_FACTOR: f64 = 0.94;
/// Upper bound of the limit per server.
const MAX_PER_SERVER: f64 = 3.0;
/// Lower bound of the limit.
const MIN_LIMIT: f64 = 1.0;
/// Weight of a new sample in the typical fetch time.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Estimated fetch time before the first sample.
const INITIAL_ESTIMATE: Duration = Duration::from_millis(290);

/// A concurrency limit that adapts to the weight store's throughput.
#[derive(Debug, Clone, PartialEq)]
pub struct FetchLimit {
    limit: f64,
    fastest: Option<Duration>,
    typical: Duration,
    running: usize,
}

impl Default for FetchLimit {
    fn default() -> Self {
        Self { limit: 2.0, fastest: None, typical: INITIAL_ESTIMATE, running: 0 }
    }
}

impl FetchLimit {
    /// Takes a permit if one is free.
    pub fn try_acquire(&mut self) -> bool {
        if self.running as f64 + 1.0 > self.limit.max(MIN_LIMIT) {
            return false;
        }
        self.running += 1;
        true
    }

    /// Returns a permit without a sample.
    pub fn release(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns a permit after a fetch and adapts the limit. `servers` is the number of servers that
    /// this daemon orders.
    pub fn record_fetch(&mut self, took: Duration, servers: usize) {
        self.release();
        let fastest = self.fastest.map_or(took, |fastest| fastest.min(took));
        self.fastest = Some(fastest);
        self.typical = self.typical.mul_f64(1.0 - SAMPLE_WEIGHT) + took.mul_f64(SAMPLE_WEIGHT);
        let slow = took > fastest.mul_f64(SLOW_FACTOR);
        let limit = match slow {
            true => self.limit * DECREASE_FACTOR,
            false => self.limit + INCREASE / self.limit,
        };
        let max_limit = (servers as f64 * MAX_PER_SERVER).max(MIN_LIMIT);
        self.limit = limit.clamp(MIN_LIMIT, max_limit);
    }

    /// Estimates when a fetch with `ahead` others queued before it is done.
    pub fn expected(&self, ahead: usize) -> Duration {
        let rounds = (ahead + self.running) as f64 / self.limit.max(MIN_LIMIT);
        self.typical.mul_f64(1.0 + (rounds - 1.0).max(0.0))
    }

    /// Returns the typical duration of a fetch.
    pub fn typical(&self) -> Duration {
        self.typical
    }
}
