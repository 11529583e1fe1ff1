//! How many adapters are fetched from the weight store at the same time.
//!
//! The store serves some number at full speed; beyond it they slow each other down and all come
//! late. Nobody says what the number is, so it is found out: a little more is tried while fetches
//! are quick, and less when they have become slow.

use std::time::Duration;

/// A fetch that takes this many times the quickest is slow.
const SLOW_FACTOR: f64 = 1.45;
/// What is added to the limit by as many quick fetches as it allows.
const STEP: f64 = 0.8;
/// What a slow fetch leaves of the limit.
const BACK_OFF: f64 = 0.94;
/// Fetches at the same time for each server, at most.
const MOST_PER_SERVER: f64 = 3.0;
/// The least limit.
const LEAST: f64 = 1.0;
/// Share of a new fetch in the typical time.
const NEW_SHARE: f64 = 0.2;
/// What a fetch is taken to last before one was seen.
const FIRST_GUESS: Duration = Duration::from_millis(290);

/// A limit that follows what the store bears.
#[derive(Debug, Clone, PartialEq)]
pub struct FetchLimit {
    limit: f64,
    quickest: Option<Duration>,
    typical: Duration,
    running: usize,
}

impl Default for FetchLimit {
    fn default() -> Self {
        Self { limit: 2.0, quickest: None, typical: FIRST_GUESS, running: 0 }
    }
}

impl FetchLimit {
    /// Takes a place, if there is one.
    pub fn take(&mut self) -> bool {
        if self.running as f64 + 1.0 > self.limit.max(LEAST) {
            return false;
        }
        self.running += 1;
        true
    }

    /// Gives a place back without having learned anything.
    pub fn give_back(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Gives a place back after a fetch, with `servers` that this daemon orders.
    pub fn fetched(&mut self, took: Duration, servers: usize) {
        self.give_back();
        let quickest = self.quickest.map_or(took, |quickest| quickest.min(took));
        self.quickest = Some(quickest);
        self.typical = self.typical.mul_f64(1.0 - NEW_SHARE) + took.mul_f64(NEW_SHARE);
        let slow = took > quickest.mul_f64(SLOW_FACTOR);
        let limit = match slow {
            true => self.limit * BACK_OFF,
            false => self.limit + STEP / self.limit,
        };
        let most = (servers as f64 * MOST_PER_SERVER).max(LEAST);
        self.limit = limit.clamp(LEAST, most);
    }

    /// How long until a fetch is done that has `ahead` others before it.
    pub fn expected(&self, ahead: usize) -> Duration {
        let turns = (ahead + self.running) as f64 / self.limit.max(LEAST);
        self.typical.mul_f64(1.0 + (turns - 1.0).max(0.0))
    }

    /// What a fetch lasts.
    pub fn typical(&self) -> Duration {
        self.typical
    }
}
