//! Estimates how fast the servers of a service prefill prompts, from the time to the first part of
//! a response.

use super::quantile::Quantile;
use std::time::Duration;

/// Minimum rate in tokens per millisecond, to avoid a division by zero.
const MIN_RATE: f64 = 0.001;
/// Assumed rate in prompt tokens per millisecond, typical of slow engines. Assuming too low a rate
/// only costs some waiting in the first seconds.
const DEFAULT_RATE: f64 = 8.0;
/// The first estimate is the median of the tokens per millisecond up to the first part, network
/// latency included.
const RATE_QUANTILE: f64 = 0.5;
/// Weight of one prompt in the estimate: older ones decay after about fifty.
const MIN_WEIGHT: f64 = 0.02;
/// Prompts needed before latency can be separated from prefill.
const MIN_SAMPLES: u32 = 12;
/// A time longer than expected by this factor indicates a queue, a pause or a slow node rather than
/// prefill.
const OUTLIER_RATIO: f64 = 2.0;
/// Maximum ratio of the rate to the first estimate.
const MAX_RATE_RATIO: f64 = 2.0;

/// The prefill rate of one service, estimated by linear regression.
///
/// The time to the first part grows with each prompt token by the time that one token takes.
/// Everything else is the same for long and short prompts: network latency, the first step, a
/// cached part of the prompt.
#[derive(Debug, Clone)]
pub struct PrefillRate {
    estimate: Quantile,
    samples: u32,
    tokens: f64,
    millis: f64,
    /// Variance of the tokens, and their covariance with the times.
    variance: f64,
    covariance: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        let estimate = Quantile::new(RATE_QUANTILE, DEFAULT_RATE);
        Self { estimate, samples: 0, tokens: 0.0, millis: 0.0, variance: 0.0, covariance: 0.0 }
    }
}

impl PrefillRate {
    /// Records the time to the first part for a prompt on a server without other prefill.
    pub fn observe(&mut self, tokens: u32, millis: f64) {
        let tokens = f64::from(tokens);
        if tokens < 1.0 || self.is_outlier(tokens, millis) {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(MIN_WEIGHT);
        let (token_delta, millis_delta) = (tokens - self.tokens, millis - self.millis);
        self.tokens += weight * token_delta;
        self.millis += weight * millis_delta;
        let new_weight = weight * (1.0 - weight);
        self.variance += new_weight * token_delta * token_delta - weight * self.variance;
        self.covariance += new_weight * token_delta * millis_delta - weight * self.covariance;
        // For short prompts the time is mostly latency rather than prefill.
        if tokens >= self.tokens {
            self.estimate.observe(tokens / millis.max(1.0));
        }
    }

    fn is_outlier(&self, tokens: f64, millis: f64) -> bool {
        let expected = self.millis + (tokens - self.tokens) / self.get();
        self.samples >= MIN_SAMPLES && millis > expected.max(self.millis) * OUTLIER_RATIO
    }

    /// Mean prefill time of a prompt; zero before any was observed.
    pub fn mean_prefill_time(&self) -> Duration {
        prefill_time(self.tokens, self.get())
    }

    /// The rate in prompt tokens per millisecond.
    pub fn get(&self) -> f64 {
        let estimate = self.estimate.get();
        if self.samples < MIN_SAMPLES || self.covariance <= 0.0 {
            return estimate;
        }
        (self.variance / self.covariance).clamp(estimate, estimate * MAX_RATE_RATIO)
    }
}

/// Prefill time of prompt tokens at a rate in tokens per millisecond.
pub(super) fn prefill_time(tokens: f64, rate: f64) -> Duration {
    Duration::from_secs_f64(tokens / rate.max(MIN_RATE) / 1_000.0)
}
