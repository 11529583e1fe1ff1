//! How fast the servers of a service read prompts, as seen from the times to first parts.

use super::quantile::Quantile;
use std::time::Duration;

/// Prompt tokens a millisecond before anything is known: slow engines read so, and what is reckoned too
/// slow costs some waiting for the first seconds only.
const FIRST_PACE: f64 = 8.0;
/// Times to first parts hold a queue or a slow way now and then, which makes the pace look slower, and
/// prompts of which a part is at hand, which makes it look faster.
const PACE_SHARE: f64 = 0.5;
/// Share of one prompt in their average length.
const LENGTH_WEIGHT: f64 = 0.05;

/// The pace of one service.
#[derive(Debug, Clone)]
pub struct ReadingPace {
    pace: Quantile,
    mean_tokens: f64,
}

impl Default for ReadingPace {
    fn default() -> Self {
        Self { pace: Quantile::new(PACE_SHARE, FIRST_PACE), mean_tokens: 0.0 }
    }
}

impl ReadingPace {
    /// A prompt sent to a server that was reading nothing had its first part after so long, less the
    /// usual time of an event. Short prompts tell of the way rather than of reading.
    pub fn observe(&mut self, tokens: u32, millis: f64) {
        let tokens = f64::from(tokens);
        self.mean_tokens += (tokens - self.mean_tokens) * LENGTH_WEIGHT;
        if tokens >= self.mean_tokens {
            self.pace.observe(tokens / millis.max(1.0));
        }
    }

    /// How long a prompt of average length is read; zero before any was seen.
    pub fn reads(&self) -> Duration {
        Duration::from_secs_f64(self.mean_tokens / self.get().max(0.001) / 1_000.0)
    }

    /// Prompt tokens a millisecond.
    pub fn get(&self) -> f64 {
        self.pace.get()
    }
}
