//! Issues load permits within the weight store's budget. The state is soft: losing it only delays
//! loads.

use super::Budget;
use crate::types::{NodeName, Time};
use crate::wire::{PermitAsk, PermitRef};
use std::collections::BTreeMap;
use std::time::Duration;

/// A request that is not repeated for this long is dropped.
const REQUEST_TTL: Duration = Duration::from_secs(5);
/// Largest burst of permits, in seconds of the configured rate.
const BURST_SECONDS: f64 = 1.0;

#[derive(Debug, Clone)]
struct PendingRequest {
    from: NodeName,
    ask: PermitAsk,
    first_seen: Time,
    last_seen: Time,
}

#[derive(Debug, Clone)]
struct IssuedPermit {
    to: NodeName,
    at: Time,
}

/// The load planner of a region.
#[derive(Debug, Clone)]
pub struct LoadPlanner {
    budget: Budget,
    tokens: f64,
    filled_at: Time,
    pending: BTreeMap<PermitRef, PendingRequest>,
    issued: BTreeMap<PermitRef, IssuedPermit>,
}

impl LoadPlanner {
    /// Creates a planner with a full burst of permits.
    pub fn new(budget: Budget, now: Time) -> Self {
        let tokens = budget.per_second * BURST_SECONDS;
        Self { budget, tokens, filled_at: now, pending: BTreeMap::new(), issued: BTreeMap::new() }
    }

    /// Replaces the budget.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Adds or refreshes a request. A request that already has a permit is granted again.
    pub fn ask(&mut self, now: Time, from: NodeName, ask: PermitAsk) -> Vec<(NodeName, PermitRef)> {
        if let Some(issued) = self.issued.get_mut(&ask.load) {
            issued.to = from.clone();
            return vec![(from, ask.load)];
        }
        let load = ask.load.clone();
        let first_seen = self.pending.get(&load).map_or(now, |pending| pending.first_seen);
        self.pending.insert(load, PendingRequest { from, ask, first_seen, last_seen: now });
        self.plan(now)
    }

    /// Removes a permit or a pending request.
    pub fn done(&mut self, now: Time, load: &PermitRef) -> Vec<(NodeName, PermitRef)> {
        self.pending.remove(load);
        self.issued.remove(load);
        self.plan(now)
    }

    /// Issues as many permits as the budget allows, the most urgent first.
    pub fn plan(&mut self, now: Time) -> Vec<(NodeName, PermitRef)> {
        self.refill(now);
        self.pending.retain(|_, pending| now.since(pending.last_seen) < REQUEST_TTL);
        let ttl = self.budget.permit_ttl;
        self.issued.retain(|_, issued| now.since(issued.at) < ttl);
        let mut granted = Vec::new();
        while self.issued.len() < self.budget.at_once && self.tokens >= 1.0 {
            let Some(load) = self.most_urgent(now) else {
                break;
            };
            let Some(pending) = self.pending.remove(&load) else {
                break;
            };
            self.tokens -= 1.0;
            self.issued.insert(load.clone(), IssuedPermit { to: pending.from.clone(), at: now });
            granted.push((pending.from, load));
        }
        granted
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.filled_at).as_secs_f64();
        let full = (self.budget.per_second * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + passed * self.budget.per_second).min(full);
        self.filled_at = now;
    }

    /// Orders by waiting time multiplied by weight, so that no request starves.
    fn most_urgent(&self, now: Time) -> Option<PermitRef> {
        let urgency = |pending: &PendingRequest| {
            let waited =
                u64::from(pending.ask.waited_ms) + now.since(pending.last_seen).as_millis() as u64;
            (waited + 1) * u64::from(pending.ask.weight.max(1))
        };
        let most = self.pending.iter().max_by_key(|(_, pending)| urgency(pending));
        most.map(|(load, _)| load.clone())
    }

    /// Number of permits in use.
    pub fn given_count(&self) -> usize {
        self.issued.len()
    }

    /// Number of pending requests.
    pub fn asked_count(&self) -> usize {
        self.pending.len()
    }
}
