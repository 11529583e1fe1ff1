//! The slack of a service's budget, granted by one daemon for all.

use super::bounds::{RetryBounds, TRANSIT_SLOTS, USABLE_SHARE, WINDOW_SLOTS};
use super::slots::SlotCounts;
use crate::types::Time;

/// Retries that were granted from the slack of one service.
#[derive(Debug, Clone)]
pub struct SlackAccount {
    bounds: RetryBounds,
    granted: SlotCounts,
}

impl SlackAccount {
    /// Creates an account from which nothing was granted.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, granted: SlotCounts::default() }
    }

    /// Returns true if the slack of the window is not used up.
    pub fn has_left(&mut self, now: Time) -> bool {
        let first = self.bounds.slot(now).saturating_sub(WINDOW_SLOTS + TRANSIT_SLOTS);
        self.granted.forget_before(first);
        f64::from(self.granted.total()) + 1.0 <= self.bounds.slack * USABLE_SHARE
    }

    /// Grants one retry unless the slack of the window is used up; returns its slot.
    pub fn try_grant(&mut self, now: Time) -> Option<u64> {
        if !self.has_left(now) {
            return None;
        }
        let slot = self.bounds.slot(now);
        self.granted.add(slot);
        Some(slot)
    }

    /// Gives back a retry that was not sent.
    pub fn give_back(&mut self, slot: u64) {
        self.granted.remove(slot);
    }
}
