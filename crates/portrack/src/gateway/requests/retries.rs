//! The retry budget of each service, counted in a sliding window.

use crate::types::Time;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// Parts of the window that are counted apart.
const PARTS: u64 = 10;
/// Of the fleet's budget, this share is used; the rest covers uneven shares and late counts.
const USED_SHARE: f64 = 0.8;

/// The fleet's bounds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries as a share of requests.
    pub ratio: f64,
    /// Retries allowed besides, over all daemons.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Clone, Default)]
struct Count {
    part: u64,
    requests: u32,
    retries: u32,
}

/// What this daemon may repeat.
#[derive(Debug, Clone)]
pub struct RetryBudgets {
    bounds: RetryBounds,
    services: HashMap<Rc<str>, VecDeque<Count>>,
}

impl RetryBudgets {
    /// Budgets that are all full.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { bounds, services: HashMap::new() }
    }

    fn part(&self, now: Time) -> u64 {
        let part = (self.bounds.window.as_millis() as u64 / PARTS).max(1);
        now.0 / part
    }

    fn counts(&mut self, now: Time, service: &Rc<str>) -> &mut VecDeque<Count> {
        let part = self.part(now);
        let counts = self.services.entry(service.clone()).or_default();
        while counts.front().is_some_and(|count| count.part + PARTS < part) {
            counts.pop_front();
        }
        if counts.back().is_none_or(|count| count.part != part) {
            counts.push_back(Count { part, ..Count::default() });
        }
        counts
    }

    /// Counts a request for a service.
    pub fn note_request(&mut self, now: Time, service: &Rc<str>) {
        if let Some(count) = self.counts(now, service).back_mut() {
            count.requests += 1;
        }
    }

    /// Takes one retry, if this daemon's part of the budget has one. `daemons` share the slack.
    pub fn take(&mut self, now: Time, service: &Rc<str>, daemons: usize) -> bool {
        let bounds = self.bounds;
        let counts = self.counts(now, service);
        let requests: u32 = counts.iter().map(|count| count.requests).sum();
        let retries: u32 = counts.iter().map(|count| count.retries).sum();
        let slack = bounds.slack / daemons.max(1) as f64;
        let most = (bounds.ratio * f64::from(requests) + slack) * USED_SHARE;
        if f64::from(retries) + 1.0 > most {
            return false;
        }
        if let Some(count) = counts.back_mut() {
            count.retries += 1;
        }
        true
    }
}
