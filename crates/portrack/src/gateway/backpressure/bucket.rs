//! Paces what one daemon lets go to a server that names a limit.

use super::limit::RateLimit;
use crate::types::Time;
use std::time::Duration;

/// A server that takes nothing gets one request in ten seconds all the same, in requests a second: it says only in
/// answers that it takes more again.
const LEAST_RATE: f64 = 0.1;
/// What did not go comes in later up to what a server takes in this time, or one request. All of four seconds stays below
/// one and a half times the limit and five requests, also where another daemon gives its doubtful part besides.
const DEPTH: Duration = Duration::from_millis(250);
/// Of the limit, this part is given by a daemon that may not be the only one that gives.
const DOUBTFUL_PART: f64 = 0.4;
/// Sums of parts of a request are this exact.
const EXACT: f64 = 1e-6;

/// What binds arrivals at a server that names a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitRule {
    /// What the server takes from all daemons.
    pub limit: RateLimit,
    /// Since when it is known to name a limit.
    pub since: Time,
    /// Another daemon may give out the limit too.
    pub may_be_shared: bool,
}

impl LimitRule {
    /// Requests a second.
    pub fn rate(&self) -> f64 {
        let part = if self.may_be_shared { DOUBTFUL_PART } else { 1.0 };
        (self.limit.get() * part).max(LEAST_RATE)
    }

    fn depth(&self) -> f64 {
        (self.rate() * DEPTH.as_secs_f64()).max(1.0)
    }
}

/// Requests that may go now: a token bucket. It begins empty at the time when the limit became known: until then others
/// sent without one.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateBucket {
    level: f64,
    at: Time,
    /// The rule since the last look; `None` while the server names no limit.
    rule: Option<LimitRule>,
}

impl RateBucket {
    /// Takes in the rule that holds from now on.
    pub fn set(&mut self, now: Time, rule: Option<LimitRule>) {
        self.level = match (self.rule, rule) {
            (Some(_), Some(rule)) => self.level(now).min(rule.depth()),
            (None, Some(rule)) => {
                (rule.rate() * now.since(rule.since).as_secs_f64()).min(rule.depth())
            }
            (_, None) => 0.0,
        };
        self.at = now;
        self.rule = rule;
    }

    fn level(&self, now: Time) -> f64 {
        let Some(rule) = self.rule else { return self.level };
        let came = rule.rate() * now.since(self.at).as_secs_f64();
        (self.level + came).min(rule.depth())
    }

    /// True while the server names a limit.
    pub fn is_set(&self) -> bool {
        self.rule.is_some()
    }

    /// True if a request may go.
    pub fn has_room(&self, now: Time) -> bool {
        self.rule.is_none() || self.level(now) + EXACT >= 1.0
    }

    /// A request goes.
    pub fn take(&mut self, now: Time) {
        self.set(now, self.rule);
        self.level -= 1.0;
    }

    /// A request that was to go did not.
    pub fn refund(&mut self) {
        if self.rule.is_some() {
            self.level += 1.0;
        }
    }

    /// How long the last of `waiting` requests waits for its turn.
    pub fn wait(&self, now: Time, waiting: usize) -> Duration {
        let Some(rule) = self.rule else { return Duration::ZERO };
        let missing = (waiting as f64 - self.level(now)).max(0.0);
        Duration::from_secs_f64(missing / rule.rate())
    }

    /// Between two requests on the average; zero while the server names no limit.
    pub fn mean_interval(&self) -> Duration {
        self.rule.map_or(Duration::ZERO, |rule| Duration::from_secs_f64(1.0 / rule.rate()))
    }
}
