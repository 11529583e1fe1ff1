//! Retries of a service that this daemon's requests have earned.

use super::bounds::{RetryBounds, TRANSIT_SLOTS, USABLE_SHARE, WINDOW_SLOTS};
use super::slots::SlotCounts;
use crate::types::Time;

/// Slots before the start of a window whose requests earn its retries, with those of the window itself.
const EARNING_SLOTS: u64 = WINDOW_SLOTS - 1;
/// Slots before the current one that are kept.
const KEPT_SLOTS: u64 = WINDOW_SLOTS + EARNING_SLOTS;
/// Windows over which the requests are averaged: the window itself and the one before it.
const EARNING_WINDOWS: f64 = 2.0;

/// Requests and earned retries of one service at one daemon.
///
/// Users count the requests of a window in the window itself or in the one before it, whichever has more. The
/// mean of both is never more than that. It is the same for all daemons, so their parts add up to no more than
/// the bound of the fleet, however many daemons there are and whenever they started.
#[derive(Debug, Clone)]
pub struct RetryAccount {
    bounds: RetryBounds,
    requests: SlotCounts,
    retries: SlotCounts,
}

impl RetryAccount {
    /// Creates an account without requests.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, requests: SlotCounts::default(), retries: SlotCounts::default() }
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        let slot = self.bounds.slot(now);
        self.forget_old(slot);
        self.requests.add(slot);
    }

    /// Takes one retry if the requests have earned it; returns its slot.
    pub fn try_take(&mut self, now: Time) -> Option<u64> {
        if self.available(now) < 1.0 {
            return None;
        }
        let slot = self.bounds.slot(now);
        self.retries.add(slot);
        Some(slot)
    }

    /// Gives back a retry that was not sent.
    pub fn give_back(&mut self, slot: u64) {
        self.retries.remove(slot);
    }

    /// Number of requests that are still counted.
    pub fn requests(&self) -> u32 {
        self.requests.total()
    }

    /// Number of retries that are still counted.
    pub fn retries(&self) -> u32 {
        self.retries.total()
    }

    /// The number of retries that may be taken now.
    pub fn available(&mut self, now: Time) -> f64 {
        let current = self.bounds.slot(now);
        self.forget_old(current);
        let first = current.saturating_sub(KEPT_SLOTS);
        let length = (current - first + 1) as usize;
        let requests = self.requests.running_totals(first, length);
        let retries = self.retries.running_totals(first, length);
        let starts = current.saturating_sub(WINDOW_SLOTS)..=current;
        let available = starts.map(|start| {
            let earned_from = start.saturating_sub(EARNING_SLOTS).max(first) - first;
            let earned = requests[length] - requests[earned_from as usize];
            let spent_from = start.saturating_sub(TRANSIT_SLOTS).max(first) - first;
            let spent = retries[length] - retries[spent_from as usize];
            let earned = f64::from(earned) / EARNING_WINDOWS * self.bounds.ratio * USABLE_SHARE;
            earned - f64::from(spent)
        });
        available.fold(f64::INFINITY, f64::min)
    }

    fn forget_old(&mut self, current: u64) {
        let first = current.saturating_sub(KEPT_SLOTS);
        self.requests.forget_before(first);
        self.retries.forget_before(first);
    }
}
