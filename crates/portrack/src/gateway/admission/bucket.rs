//! A bucket of units that refills with time and may run into debt.

use super::organisations::Quota;
use crate::types::Time;
use std::time::Duration;

/// A bucket holds at least what comes in within this, so that a quota without a burst can be used.
const LEAST_DEPTH: Duration = Duration::from_millis(250);
/// Of a quota's burst, a bucket holds this share: the rest covers what is let in before accountants have
/// heard of each other. Where the whole was given out, three of ten nodes cut off from everybody as an
/// organisation became hot made 1.02 of what a window may hold.
const BURST_SHARE: f64 = 0.6;
/// Of what users allow beyond a quota whatever its size, a bucket holds this share: a small organisation's
/// burst is less than two of its requests.
const SLACK_SHARE: f64 = 0.3;
/// A new bucket begins with what comes in within this: whoever counted before may have given out the
/// rest a moment ago.
const FIRST_LEVEL: Duration = Duration::from_millis(100);
/// Debt is forgiven beyond what comes in within this, for a limit that was lowered far below what it
/// was.
const MOST_DEBT: Duration = Duration::from_millis(2_000);

/// The bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// A bucket of which nothing is known.
    pub fn new(now: Time, quota: &Quota) -> Self {
        Self { level: quota.refill(FIRST_LEVEL), at: now }
    }

    /// How much a full one holds, where users allow `slack` units beyond any quota.
    pub fn depth(quota: &Quota, slack: f64) -> f64 {
        let burst = quota.burst * BURST_SHARE;
        burst.max(quota.refill(LEAST_DEPTH)) + slack * SLACK_SHARE
    }

    /// Lets in what has come since; `share` is the part of it that is this bucket's.
    pub fn refill(&mut self, now: Time, quota: &Quota, slack: f64, share: f64) {
        let came = quota.refill(now.since(self.at)) * share;
        let most_debt = -quota.refill(MOST_DEBT);
        self.level = (self.level + came).clamp(most_debt, Self::depth(quota, slack));
        self.at = now;
    }

    /// When it was refilled last.
    pub fn refilled_at(&self) -> Time {
        self.at
    }

    /// What is in it; negative for a debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes units out, or puts them back if they are negative.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Believes another bucket of the same quota, which knows more.
    pub fn set_level(&mut self, level: f64) {
        self.level = level;
    }
}
