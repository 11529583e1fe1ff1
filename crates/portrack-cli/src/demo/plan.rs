//! The load of the demonstration, generated from a fixed seed.

use crate::args::Demo;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// Exponent of the Zipf distribution of requests over adapters.
const ZIPF_EXPONENT: f64 = 1.3;
/// Seed of the random generator.
const SEED: u64 = 2_026;

/// The name of an adapter.
pub fn adapter_name(at: usize) -> String {
    format!("adapter-{at:04}")
}

/// One request to send.
#[derive(Debug, Clone)]
pub enum Planned {
    /// A completion.
    Completion {
        /// `adapter` or `adapter@version`.
        model: String,
        /// The adapter and version that must serve it.
        exact: String,
        /// Unique among all prompts.
        prompt: String,
        /// Number of tokens requested.
        tokens: usize,
        /// True for the background class.
        background: bool,
    },
    /// An unlock that must not run twice, under an idempotency key.
    Unlock {
        /// The key, which is also the body.
        key: String,
        /// True if it is sent to two daemons at the same time.
        twice: bool,
    },
    /// A lookup that may be repeated.
    Lookup,
}

/// Generator of the load.
pub struct Plan {
    rng: SmallRng,
    weights: Vec<f64>,
    sent: usize,
    /// Duration of the load.
    pub span: Duration,
    /// Time between requests.
    pub pause: Duration,
}

impl Plan {
    /// Creates a plan from the arguments.
    pub fn new(args: &Demo) -> Self {
        let weight = |at: usize| 1.0 / ((at + 1) as f64).powf(ZIPF_EXPONENT);
        Self {
            rng: SmallRng::seed_from_u64(SEED),
            weights: (0..args.adapters.max(1)).map(weight).collect(),
            sent: 0,
            span: Duration::from_secs(args.seconds),
            pause: Duration::from_secs_f64(1.0 / args.rate.max(1) as f64),
        }
    }

    fn adapter(&mut self) -> usize {
        let total: f64 = self.weights.iter().sum();
        let mut left = self.rng.random_range(0.0..total);
        for (at, weight) in self.weights.iter().enumerate() {
            if left < *weight {
                return at;
            }
            left -= weight;
        }
        0
    }

    /// The next request.
    pub fn next(&mut self) -> Planned {
        self.sent += 1;
        let number = self.sent;
        match self.rng.random_range(0..100) {
            0..60 => self.completion(number, false),
            60..70 => self.completion(number, true),
            70..90 => {
                let twice = self.rng.random_bool(0.2);
                Planned::Unlock { key: format!("unlock-{number}"), twice }
            }
            _ => Planned::Lookup,
        }
    }

    fn completion(&mut self, number: usize, background: bool) -> Planned {
        let name = adapter_name(self.adapter());
        let named = self.rng.random_bool(0.3);
        let (model, exact) = match named {
            true => (format!("{name}@v2"), format!("{name}@v2")),
            false => (name.clone(), format!("{name}@v1")),
        };
        let prompt = format!("request {number}");
        let tokens = self.rng.random_range(5..40);
        Planned::Completion { model, exact, prompt, tokens, background }
    }
}
