//! Simulation of an engine's slots and batch.

use portrack::types::{ReservationId, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Base duration of a step at reference speed, in milliseconds.
const STEP_MS: f64 = 18.0;
/// Milliseconds that each request in the batch adds to a step.
const STEP_EACH_MS: f64 = 0.6;

/// A simulated engine.
#[derive(Debug, Clone)]
pub struct Engine {
    /// Speed in percent of the reference.
    pub speed: u32,
    /// Loaded adapters.
    pub loaded: BTreeSet<usize>,
    /// Adapters being loaded.
    pub loading: BTreeSet<usize>,
    /// Running requests: their adapter and the tokens left.
    pub running: BTreeMap<ReservationId, (usize, u32)>,
    /// Increases with each restart.
    pub epoch: u64,
    next_step: f64,
    /// Steps with at least one request.
    pub steps: u64,
    /// Sum of the batch sizes of those steps.
    pub batch_size_sum: u64,
}

impl Engine {
    /// Creates an engine without adapters and requests.
    pub fn new(speed: u32) -> Self {
        Self {
            speed,
            loaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            running: BTreeMap::new(),
            epoch: 1,
            next_step: 0.0,
            steps: 0,
            batch_size_sum: 0,
        }
    }

    /// Starts a request.
    pub fn start(&mut self, id: ReservationId, adapter: usize, tokens: u32) {
        self.running.insert(id, (adapter, tokens));
    }

    /// Runs the steps that are due and returns the requests that ended.
    pub fn advance(&mut self, now: Time) -> Vec<ReservationId> {
        let now = now.0 as f64;
        let mut ended = Vec::new();
        self.next_step = self.next_step.max(now - 1_000.0);
        while self.next_step <= now {
            if self.running.is_empty() {
                self.next_step = now + 1.0;
                break;
            }
            self.steps += 1;
            self.batch_size_sum += self.running.len() as u64;
            let step = STEP_MS + STEP_EACH_MS * self.running.len() as f64;
            self.next_step += step * 100.0 / f64::from(self.speed);
            for (_, left) in self.running.values_mut() {
                *left -= 1;
            }
            let done = self.running.iter().filter(|(_, (_, left))| *left == 0);
            ended.extend(done.map(|(id, _)| *id));
            self.running.retain(|_, (_, left)| *left > 0);
        }
        ended
    }

    /// True if a running request uses the adapter.
    pub fn uses(&self, adapter: usize) -> bool {
        self.running.values().any(|(a, _)| *a == adapter)
    }

    /// Restarts the engine empty. Returns the requests that were aborted.
    pub fn restart(&mut self) -> Vec<ReservationId> {
        self.epoch += 1;
        self.loaded.clear();
        self.loading.clear();
        std::mem::take(&mut self.running).into_keys().collect()
    }
}
