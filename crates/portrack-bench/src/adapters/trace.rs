//! Requests for adapters, by fixed seed.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::HashSet;

/// Adapters, and the exponent of their popularity.
const ADAPTERS: usize = 3_000;
const ZIPF: f64 = 1.2;
/// The busiest adapter falls silent this often, and a new one comes in among the busy.
const MOVES_MS: u64 = 5_000;
/// How long a request runs.
const RUN_MS: std::ops::Range<u64> = 500..4_500;

/// One request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// When it comes, in milliseconds.
    pub at: u64,
    /// The number of its adapter.
    pub adapter: usize,
    /// How long it runs.
    pub run_ms: u64,
}

/// A day's requests, in order.
#[derive(Debug, Clone)]
pub struct Trace {
    /// The requests.
    pub requests: Vec<Request>,
}

impl Trace {
    /// A trace of one seed that lasts `span_ms`.
    pub fn new(seed: u64, per_second: f64, span_ms: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let weights: Vec<f64> = (1..=ADAPTERS).map(|rank| (rank as f64).powf(-ZIPF)).collect();
        let total: f64 = weights.iter().sum();
        let mut by_rank: Vec<usize> = (0..ADAPTERS).collect();
        let mut moved = 0;
        let mut at = 0.0;
        let mut requests = Vec::new();
        while (at as u64) < span_ms {
            at += -rng.random_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / per_second;
            while moved < at as u64 / MOVES_MS {
                by_rank.rotate_left(1);
                let newcomer = by_rank.remove(ADAPTERS / 2);
                by_rank.insert(rng.random_range(0..10), newcomer);
                moved += 1;
            }
            let mut left = rng.random_range(0.0..total);
            let rank = weights.iter().position(|weight| {
                left -= weight;
                left < 0.0
            });
            requests.push(Request {
                at: at as u64,
                adapter: by_rank[rank.unwrap_or(0)],
                run_ms: rng.random_range(RUN_MS),
            });
        }
        Self { requests }
    }

    /// Adapters asked for: each has to be fetched once at least.
    pub fn distinct(&self) -> usize {
        self.requests.iter().map(|request| request.adapter).collect::<HashSet<_>>().len()
    }
}
