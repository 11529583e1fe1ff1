//! Retry budgets of services, in a sliding window.

use crate::types::Time;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Number of slots into which the window is divided.
const WINDOW_SLOTS: u64 = 10;
/// Share of the fleet's budget that is used; the rest covers uneven shares and delayed counts.
const BUDGET_SHARE: f64 = 0.8;

/// Bounds on the retries of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Maximum retries as a share of requests.
    pub ratio: f64,
    /// Additional retries in a window, across all daemons.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// State of a service's budget at one daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BudgetState {
    /// Requests in the window.
    pub requests: u32,
    /// Retries in the window.
    pub spent: u32,
    /// Maximum retries in the window.
    pub allowed: f64,
}

#[derive(Debug, Clone, Default)]
struct SlotCounts {
    slot: u64,
    requests: u32,
    retries: u32,
}

/// This daemon's retry budgets, by service.
#[derive(Debug, Clone)]
pub struct RetryBudgets {
    bounds: RetryBounds,
    services: HashMap<Rc<str>, VecDeque<SlotCounts>>,
}

impl RetryBudgets {
    /// Creates full budgets.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, services: HashMap::new() }
    }

    fn slot(&self, now: Time) -> u64 {
        let slot = (self.bounds.window.as_millis() as u64 / WINDOW_SLOTS).max(1);
        now.0 / slot
    }

    fn counts(&mut self, now: Time, service: &Rc<str>) -> &mut VecDeque<SlotCounts> {
        let slot = self.slot(now);
        let counts = self.services.entry(service.clone()).or_default();
        while counts.front().is_some_and(|count| count.slot + WINDOW_SLOTS < slot) {
            counts.pop_front();
        }
        if counts.back().is_none_or(|count| count.slot != slot) {
            counts.push_back(SlotCounts { slot, ..SlotCounts::default() });
        }
        counts
    }

    /// Counts a request for a service.
    pub fn record_request(&mut self, now: Time, service: &Rc<str>) {
        if let Some(count) = self.counts(now, service).back_mut() {
            count.requests += 1;
        }
    }

    /// The state of a service's budget. `daemons` is the number of daemons that share the slack.
    pub fn state(&mut self, now: Time, service: &Rc<str>, daemons: usize) -> BudgetState {
        let bounds = self.bounds;
        let counts = self.counts(now, service);
        let requests: u32 = counts.iter().map(|count| count.requests).sum();
        let spent: u32 = counts.iter().map(|count| count.retries).sum();
        let slack = bounds.slack / daemons.max(1) as f64;
        let allowed = (bounds.ratio * f64::from(requests) + slack) * BUDGET_SHARE;
        BudgetState { requests, spent, allowed }
    }

    /// Takes one retry if this daemon's share of the budget allows it. `daemons` is the number of daemons
    /// that share the slack.
    pub fn try_take(&mut self, now: Time, service: &Rc<str>, daemons: usize) -> bool {
        let state = self.state(now, service, daemons);
        if f64::from(state.spent) + 1.0 > state.allowed {
            return false;
        }
        if let Some(count) = self.counts(now, service).back_mut() {
            count.retries += 1;
        }
        true
    }
}
