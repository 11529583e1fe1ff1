//! Requests of two organisations, spread unevenly over the nodes.

use crate::quotas::network::Trouble;
use crate::quotas::{QUOTAS, STEP_MS};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// The usual demand as a share of the quota: quotas are 1.8 times the usual on the users' sheets.
const USUAL: f64 = 0.55;
/// How many times its usual an organisation sends at its hottest.
const HOT: f64 = 7.5;
/// When it does, in milliseconds.
pub(crate) const HOT_FROM: u64 = 8_000;
const HOT_UNTIL: u64 = 15_000;
/// Tokens of a request on average.
const MEAN_TOKENS: f64 = 1_500.0;

/// One request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// The node that takes it.
    pub node: usize,
    /// Its organisation.
    pub organisation: usize,
    /// Tokens.
    pub units: f64,
}

/// Where requests come from.
pub struct Demand {
    /// Each node's part of the callers; parts are uneven.
    weights: Vec<f64>,
    hot: bool,
}

impl Demand {
    /// The demand of one play.
    pub fn new(nodes: usize, trouble: Trouble, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let weights = (0..nodes).map(|_| 0.4 + random.random::<f64>()).collect();
        Self { weights, hot: trouble.is_hot() }
    }

    /// The requests of one step.
    pub fn next(&mut self, now: u64, random: &mut SmallRng) -> Vec<Request> {
        let mut requests = Vec::new();
        for (organisation, quota) in QUOTAS.iter().enumerate() {
            let hot = self.hot && organisation == 0 && (HOT_FROM..HOT_UNTIL).contains(&now);
            let usual = quota.per_second * USUAL;
            let tokens = usual * if hot { HOT } else { 1.0 } * STEP_MS as f64 / 1_000.0;
            let mut expected = tokens / MEAN_TOKENS;
            while expected > 0.0 {
                if random.random::<f64>() < expected {
                    requests.push(self.request(organisation, random));
                }
                expected -= 1.0;
            }
        }
        requests
    }

    fn request(&self, organisation: usize, random: &mut SmallRng) -> Request {
        let mut point = random.random::<f64>() * self.weights.iter().sum::<f64>();
        let node = self.weights.iter().position(|weight| {
            point -= weight;
            point < 0.0
        });
        let tail = -random.random::<f64>().max(1e-6).ln();
        let units = (300.0 + (MEAN_TOKENS - 300.0) * tail).min(6_000.0);
        Request { node: node.unwrap_or(0), organisation, units }
    }
}
