//! Simulation of the weight store, and a first-come, first-served load queue for the baselines.

use portrack::types::Time;
use std::collections::VecDeque;
use std::time::Duration;

/// A running load.
#[derive(Debug, Clone, Copy)]
pub struct Loading {
    /// The engine.
    pub engine: usize,
    /// The adapter.
    pub adapter: usize,
    /// The engine's epoch when the load started.
    pub epoch: u64,
    end: Time,
}

/// The weight store with its running loads.
#[derive(Debug, Clone)]
pub struct Store {
    load: Duration,
    running: Vec<Loading>,
    /// Number of loads so far.
    pub loads: u64,
}

impl Store {
    /// Creates a store whose loads take `load` each.
    pub fn new(load: Duration) -> Self {
        Self { load, running: Vec::new(), loads: 0 }
    }

    /// Starts a load.
    pub fn begin(&mut self, now: Time, engine: usize, adapter: usize, epoch: u64) {
        self.loads += 1;
        self.running.push(Loading { engine, adapter, epoch, end: now + self.load });
    }

    /// Removes and returns the loads that have ended.
    pub fn ended(&mut self, now: Time) -> Vec<Loading> {
        let (done, left) = self.running.iter().copied().partition(|load| load.end <= now);
        self.running = left;
        done
    }

    /// Number of running loads.
    pub fn running(&self) -> usize {
        self.running.len()
    }
}

/// Queue of requested loads, first come, first served, within the store's rate and concurrency.
#[derive(Debug, Clone)]
pub struct Fifo {
    per_second: f64,
    at_once: usize,
    tokens: f64,
    filled_at: Time,
    /// Engine and adapter of each requested load.
    pub wanted: VecDeque<(usize, usize)>,
}

impl Fifo {
    /// Creates an empty queue with the tokens of one second.
    pub fn new(per_second: f64, at_once: usize) -> Self {
        let wanted = VecDeque::new();
        Self { per_second, at_once, tokens: per_second, filled_at: Time(0), wanted }
    }

    /// Adds the tokens for the time since the last refill, up to those of one second.
    pub fn refill(&mut self, now: Time) {
        let passed = now.since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_second).min(self.per_second);
        self.filled_at = now;
    }

    /// True if one more load may start.
    pub fn can_start(&self, running: usize) -> bool {
        self.tokens >= 1.0 && running < self.at_once
    }

    /// Takes a token.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}
