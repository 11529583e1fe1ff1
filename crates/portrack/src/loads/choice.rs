//! Which planner to ask, when the first one is silent.

use crate::types::{NodeName, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A planner that says nothing for this long is passed over.
const PATIENCE: Duration = Duration::from_millis(1_200);
/// For how long it is passed over.
const PASS_OVER: Duration = Duration::from_secs(30);

/// Passes over planners that do not answer. Members of other halls are slow to be called dead, and
/// loads must not wait for that; two planners at a time only make loads slower.
#[derive(Debug, Clone, Default)]
pub struct PlannerChoice {
    asked: Option<(NodeName, Time)>,
    passed_over: BTreeMap<NodeName, Time>,
}

impl PlannerChoice {
    /// The planner to ask now, of the candidates in their order.
    pub fn choose(&mut self, now: Time, ranked: &[NodeName]) -> Option<NodeName> {
        self.passed_over.retain(|_, until| now < *until);
        if let Some((silent, since)) = &self.asked
            && now.since(*since) >= PATIENCE
        {
            self.passed_over.insert(silent.clone(), now + PASS_OVER);
            self.asked = None;
        }
        let usable = ranked.iter().find(|node| !self.passed_over.contains_key(*node));
        let chosen = usable.or(ranked.first())?.clone();
        let other = self.asked.as_ref().is_none_or(|(node, _)| *node != chosen);
        if other {
            self.asked = Some((chosen.clone(), now));
        }
        Some(chosen)
    }

    /// A planner has said something.
    pub fn heard(&mut self, from: &NodeName) {
        if self.asked.as_ref().is_some_and(|(node, _)| node == from) {
            self.asked = None;
        }
    }
}
