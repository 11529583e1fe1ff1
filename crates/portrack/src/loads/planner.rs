//! Hands out load permits within the weight store's budget. Soft: losing it only slows loads.

use super::Budget;
use crate::types::{NodeName, Time};
use crate::wire::{PermitAsk, PermitRef};
use std::collections::BTreeMap;
use std::time::Duration;

/// An ask that is not repeated for this long is forgotten.
const ASK_TTL: Duration = Duration::from_secs(5);
/// Permits that may be given without a pause, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

#[derive(Debug, Clone)]
struct Asked {
    from: NodeName,
    ask: PermitAsk,
    since: Time,
    seen: Time,
}

#[derive(Debug, Clone)]
struct Given {
    to: NodeName,
    at: Time,
}

/// The load planner of a region.
#[derive(Debug, Clone)]
pub struct LoadPlanner {
    budget: Budget,
    tokens: f64,
    filled_at: Time,
    asked: BTreeMap<PermitRef, Asked>,
    given: BTreeMap<PermitRef, Given>,
}

impl LoadPlanner {
    /// A planner that starts with one second's permits.
    pub fn new(budget: Budget, now: Time) -> Self {
        let tokens = budget.per_second * BURST_SECONDS;
        Self { budget, tokens, filled_at: now, asked: BTreeMap::new(), given: BTreeMap::new() }
    }

    /// Takes a changed budget.
    pub fn set_budget(&mut self, budget: Budget) {
        self.budget = budget;
    }

    /// Takes an ask in; a repeated one is granted again if it was granted before.
    pub fn ask(&mut self, now: Time, from: NodeName, ask: PermitAsk) -> Vec<(NodeName, PermitRef)> {
        if let Some(given) = self.given.get_mut(&ask.load) {
            given.to = from.clone();
            return vec![(from, ask.load)];
        }
        let load = ask.load.clone();
        let since = self.asked.get(&load).map_or(now, |asked| asked.since);
        self.asked.insert(load, Asked { from, ask, since, seen: now });
        self.plan(now)
    }

    /// Takes a permit or an ask back.
    pub fn done(&mut self, now: Time, load: &PermitRef) -> Vec<(NodeName, PermitRef)> {
        self.asked.remove(load);
        self.given.remove(load);
        self.plan(now)
    }

    /// Gives as many permits as the budget allows, the most urgent first.
    pub fn plan(&mut self, now: Time) -> Vec<(NodeName, PermitRef)> {
        self.refill(now);
        self.asked.retain(|_, asked| now.since(asked.seen) < ASK_TTL);
        let ttl = self.budget.permit_ttl;
        self.given.retain(|_, given| now.since(given.at) < ttl);
        let mut granted = Vec::new();
        while self.given.len() < self.budget.at_once && self.tokens >= 1.0 {
            let Some(load) = self.most_urgent(now) else {
                break;
            };
            let Some(asked) = self.asked.remove(&load) else {
                break;
            };
            self.tokens -= 1.0;
            self.given.insert(load.clone(), Given { to: asked.from.clone(), at: now });
            granted.push((asked.from, load));
        }
        granted
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.filled_at).as_secs_f64();
        let full = (self.budget.per_second * BURST_SECONDS).max(1.0);
        self.tokens = (self.tokens + passed * self.budget.per_second).min(full);
        self.filled_at = now;
    }

    /// Waiting time times weight decides, so that one request is not put off for ever.
    fn most_urgent(&self, now: Time) -> Option<PermitRef> {
        let urgency = |asked: &Asked| {
            let waited = u64::from(asked.ask.waited_ms) + now.since(asked.seen).as_millis() as u64;
            (waited + 1) * u64::from(asked.ask.weight.max(1))
        };
        let most = self.asked.iter().max_by_key(|(_, asked)| urgency(asked));
        most.map(|(load, _)| load.clone())
    }

    /// Permits that are out.
    pub fn given_count(&self) -> usize {
        self.given.len()
    }

    /// Asks that wait.
    pub fn asked_count(&self) -> usize {
        self.asked.len()
    }
}
