//! A token bucket that may go into debt.

use super::organisations::Quota;
use crate::types::Time;
use std::time::Duration;

/// Minimum capacity, as the time it takes to refill it, so that a quota without a burst is usable.
const MIN_DEPTH: Duration = Duration::from_millis(250);
/// Share of a quota's burst that a bucket holds. The rest covers what accountants admit before they
/// receive each other's counts: with the whole burst, and three of ten nodes isolated just as an
/// organisation's traffic rose, 1.02 times what a window may hold was admitted.
const BURST_SHARE: f64 = 0.6;
/// Share of the slack, which users allow beyond any quota whatever its size, that a bucket holds. The
/// burst of a small organisation is less than two of its requests.
const SLACK_SHARE: f64 = 0.3;
/// Initial level of a bucket, as the time it takes to refill it: the previous accountant may have
/// granted the rest a moment ago.
const INITIAL_LEVEL: Duration = Duration::from_millis(100);
/// Maximum debt, as the time it takes to refill it. It bounds the debt after a quota has been lowered
/// far below its previous value.
const MAX_DEBT: Duration = Duration::from_millis(2_000);

/// A bucket of quota units that refills over time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    level: f64,
    at: Time,
}

impl TokenBucket {
    /// A new bucket at its initial level.
    pub fn new(now: Time, quota: &Quota) -> Self {
        Self { level: quota.refill(INITIAL_LEVEL), at: now }
    }

    /// The capacity of a bucket; `slack` is the number of units that users allow beyond any quota.
    pub fn depth(quota: &Quota, slack: f64) -> f64 {
        let burst = quota.burst * BURST_SHARE;
        burst.max(quota.refill(MIN_DEPTH)) + slack * SLACK_SHARE
    }

    /// Refills for the time since the last refill; `share` is this bucket's share of the quota.
    pub fn refill(&mut self, now: Time, quota: &Quota, slack: f64, share: f64) {
        let refilled = quota.refill(now.since(self.at)) * share;
        let max_debt = -quota.refill(MAX_DEBT);
        self.level = (self.level + refilled).clamp(max_debt, Self::depth(quota, slack));
        self.at = now;
    }

    /// The time of the last refill.
    pub fn refilled_at(&self) -> Time {
        self.at
    }

    /// The units available; negative for a debt.
    pub fn level(&self) -> f64 {
        self.level
    }

    /// Takes units, or returns them if negative.
    pub fn take(&mut self, units: f64) {
        self.level -= units;
    }

    /// Adopts the level of another bucket of the same quota that has counted for longer.
    pub fn set_level(&mut self, level: f64) {
        self.level = level;
    }
}
