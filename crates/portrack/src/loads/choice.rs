//! Selects the load planner to ask; planners that do not reply are skipped.

use crate::types::{NodeName, Time};
use std::collections::BTreeMap;
use std::time::Duration;

/// A planner that sends no reply for this long is skipped.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long an unresponsive planner is skipped.
const SKIP_FOR: Duration = Duration::from_secs(30);

/// Selects a load planner and skips those that do not reply. Members of other halls are declared
/// dead only after a long time, and loads must not wait for that. Two planners at the same time only
/// make loads slower.
#[derive(Debug, Clone, Default)]
pub struct PlannerSelector {
    asked: Option<(NodeName, Time)>,
    skipped: BTreeMap<NodeName, Time>,
}

impl PlannerSelector {
    /// Returns the planner to ask now; `ranked` lists the candidates in order of preference.
    pub fn choose(&mut self, now: Time, ranked: &[NodeName]) -> Option<NodeName> {
        self.skipped.retain(|_, until| now < *until);
        if let Some((unresponsive, since)) = &self.asked
            && now.since(*since) >= REPLY_TIMEOUT
        {
            self.skipped.insert(unresponsive.clone(), now + SKIP_FOR);
            self.asked = None;
        }
        let usable = ranked.iter().find(|node| !self.skipped.contains_key(*node));
        let chosen = usable.or(ranked.first())?.clone();
        let is_new = self.asked.as_ref().is_none_or(|(node, _)| *node != chosen);
        if is_new {
            self.asked = Some((chosen.clone(), now));
        }
        Some(chosen)
    }

    /// Records a reply from a planner.
    pub fn on_reply(&mut self, from: &NodeName) {
        if self.asked.as_ref().is_some_and(|(node, _)| node == from) {
            self.asked = None;
        }
    }
}
