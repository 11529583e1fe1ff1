//! Paces the requests that one daemon admits to a server with a limit.

use super::limit::RateLimit;
use crate::types::Time;
use std::time::Duration;

/// Minimum rate in requests per second. A server with a limit of zero still gets one request in ten
/// seconds, because only its responses can raise the limit.
const MIN_RATE: f64 = 0.1;
/// Burst size: unused capacity accumulates up to what a server takes in this time, or one request.
/// With it any four seconds stay below one and a half times the limit plus five requests, even if
/// another daemon also grants its reduced share.
const BURST: Duration = Duration::from_millis(250);
/// Share of the limit that a daemon grants if it may not be the only granter.
const SHARED_FRACTION: f64 = 0.4;
/// Tolerance for sums of fractions of a request.
const TOLERANCE: f64 = 1e-6;

/// The rate limit that applies to a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitRule {
    /// What the server accepts from all daemons together.
    pub limit: RateLimit,
    /// Since when the server is known to advertise a limit.
    pub since: Time,
    /// Another daemon may be granting the same limit.
    pub may_be_shared: bool,
}

impl LimitRule {
    /// Effective rate in requests per second.
    pub fn rate(&self) -> f64 {
        let fraction = if self.may_be_shared { SHARED_FRACTION } else { 1.0 };
        (self.limit.get() * fraction).max(MIN_RATE)
    }

    fn burst(&self) -> f64 {
        (self.rate() * BURST.as_secs_f64()).max(1.0)
    }
}

/// Token bucket of the requests that may be sent now. It starts empty at the time when the limit
/// became known: until then others sent without a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RateBucket {
    tokens: f64,
    updated_at: Time,
    /// The rule at the last update; `None` while the server has no limit.
    rule: Option<LimitRule>,
}

impl RateBucket {
    /// Sets the rule that applies from now on.
    pub fn set(&mut self, now: Time, rule: Option<LimitRule>) {
        self.tokens = match (self.rule, rule) {
            (Some(_), Some(rule)) => self.tokens(now).min(rule.burst()),
            (None, Some(rule)) => {
                (rule.rate() * now.since(rule.since).as_secs_f64()).min(rule.burst())
            }
            (_, None) => 0.0,
        };
        self.updated_at = now;
        self.rule = rule;
    }

    fn tokens(&self, now: Time) -> f64 {
        let Some(rule) = self.rule else { return self.tokens };
        let refilled = rule.rate() * now.since(self.updated_at).as_secs_f64();
        (self.tokens + refilled).min(rule.burst())
    }

    /// Returns true while the server has a limit.
    pub fn is_set(&self) -> bool {
        self.rule.is_some()
    }

    /// Returns true if a request may be sent.
    pub fn has_room(&self, now: Time) -> bool {
        self.rule.is_none() || self.tokens(now) + TOLERANCE >= 1.0
    }

    /// Takes a token for a request.
    pub fn take(&mut self, now: Time) {
        self.set(now, self.rule);
        self.tokens -= 1.0;
    }

    /// Returns the token of a request that was not sent.
    pub fn refund(&mut self) {
        if self.rule.is_some() {
            self.tokens += 1.0;
        }
    }

    /// How long the last of `waiting` requests has to wait.
    pub fn wait(&self, now: Time, waiting: usize) -> Duration {
        let Some(rule) = self.rule else { return Duration::ZERO };
        let missing = (waiting as f64 - self.tokens(now)).max(0.0);
        Duration::from_secs_f64(missing / rule.rate())
    }

    /// Mean time between two requests; zero while the server has no limit.
    pub fn mean_interval(&self) -> Duration {
        self.rule.map_or(Duration::ZERO, |rule| Duration::from_secs_f64(1.0 / rule.rate()))
    }
}
