//! How fast the servers of a service read prompts, as seen from the times to first parts.

use super::quantile::Quantile;
use std::time::Duration;

/// The least pace that is reckoned with, in tokens a millisecond: none is no divisor.
const LEAST_PACE: f64 = 0.001;
/// Prompt tokens a millisecond before anything is known: slow engines read so, and what is reckoned too
/// slow costs some waiting for the first seconds only.
const FIRST_PACE: f64 = 8.0;
/// Of the tokens a millisecond up to the first part, the way included, the middle one is a first guess.
const PACE_SHARE: f64 = 0.5;
/// Share of one prompt in what is known: older ones fade after some fifty.
const WEIGHT: f64 = 0.02;
/// Prompts before the way is told apart from the reading.
const LEAST_SEEN: u32 = 12;
/// A time so many times as long as expected tells of a queue, a pause or a slow node, not of reading.
const OUTLIER: f64 = 2.0;
/// The pace is at most so many times the first guess.
const MOST_FASTER: f64 = 2.0;

/// The pace of one service.
///
/// The time to a first part grows with the tokens of the prompt by the time that one is read. All else
/// is the same for long and short prompts: the way, the first step, a part of the prompt that is at hand.
#[derive(Debug, Clone)]
pub struct PrefillRate {
    guess: Quantile,
    seen: u32,
    tokens: f64,
    millis: f64,
    /// Of the tokens with themselves, and with the times.
    variance: f64,
    covariance: f64,
}

impl Default for PrefillRate {
    fn default() -> Self {
        let guess = Quantile::new(PACE_SHARE, FIRST_PACE);
        Self { guess, seen: 0, tokens: 0.0, millis: 0.0, variance: 0.0, covariance: 0.0 }
    }
}

impl PrefillRate {
    /// A prompt sent to a server that was reading nothing had its first part after so long.
    pub fn observe(&mut self, tokens: u32, millis: f64) {
        let tokens = f64::from(tokens);
        if tokens < 1.0 || self.is_outlier(tokens, millis) {
            return;
        }
        self.seen = self.seen.saturating_add(1);
        let weight = (1.0 / f64::from(self.seen)).max(WEIGHT);
        let (more_tokens, more_millis) = (tokens - self.tokens, millis - self.millis);
        self.tokens += weight * more_tokens;
        self.millis += weight * more_millis;
        let fresh = weight * (1.0 - weight);
        self.variance += fresh * more_tokens * more_tokens - weight * self.variance;
        self.covariance += fresh * more_tokens * more_millis - weight * self.covariance;
        // Short prompts tell of the way rather than of reading.
        if tokens >= self.tokens {
            self.guess.observe(tokens / millis.max(1.0));
        }
    }

    fn is_outlier(&self, tokens: f64, millis: f64) -> bool {
        let expected = self.millis + (tokens - self.tokens) / self.get();
        self.seen >= LEAST_SEEN && millis > expected.max(self.millis) * OUTLIER
    }

    /// How long a prompt of average length is read; zero before any was seen.
    pub fn reads(&self) -> Duration {
        reading_time(self.tokens, self.get())
    }

    /// Prompt tokens a millisecond.
    pub fn get(&self) -> f64 {
        let guess = self.guess.get();
        if self.seen < LEAST_SEEN || self.covariance <= 0.0 {
            return guess;
        }
        (self.variance / self.covariance).clamp(guess, guess * MOST_FASTER)
    }
}

/// How long a server reads so many prompt tokens at a pace in tokens a millisecond.
pub(super) fn reading_time(tokens: f64, pace: f64) -> Duration {
    Duration::from_secs_f64(tokens / pace.max(LEAST_PACE) / 1_000.0)
}
