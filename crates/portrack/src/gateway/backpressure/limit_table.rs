//! What is believed of the limits of all servers.

use super::limit::RateLimit;
use super::limit_state::{LimitObservation, LimitState};
use crate::types::Time;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

/// What is believed of a server that is gone is kept for so long: longer than the platform's store is away.
const GONE_KEPT: Duration = Duration::from_secs(60);

/// A limit that has changed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// What was believed; `None` for no limit.
    pub before: Option<RateLimit>,
    /// What is believed now.
    pub now: Option<RateLimit>,
}

/// Beliefs by the marks of servers' lives: a new life begins without a limit.
#[derive(Debug, Clone, Default)]
pub struct LimitTable(HashMap<u32, LimitState>);

impl LimitTable {
    /// The limit that a life of a server names, if any.
    pub fn limit(&self, server: u32) -> Option<RateLimit> {
        self.0.get(&server).and_then(LimitState::limit)
    }

    /// What is believed of a life of a server.
    pub fn get(&self, server: u32) -> Option<&LimitState> {
        self.0.get(&server)
    }

    /// Takes evidence in. That a server names no limit is kept too: late news of an earlier limit must not bring it back.
    pub fn take(&mut self, server: u32, evidence: LimitObservation) -> Option<LimitChange> {
        let before = self.limit(server);
        let changed = match self.0.entry(server) {
            Entry::Occupied(mut known) => known.get_mut().take(evidence),
            Entry::Vacant(first) => {
                first.insert(LimitState::new(evidence));
                evidence.limit.is_some()
            }
        };
        changed.then_some(LimitChange { before, now: evidence.limit })
    }

    /// The servers that name a limit.
    pub fn limited(&self) -> impl Iterator<Item = (u32, &LimitState)> {
        let all = self.0.iter().filter(|(_, belief)| belief.limit().is_some());
        all.map(|(server, belief)| (*server, belief))
    }

    /// Forgets servers that are not known any more, some time after what was heard of them last: an entry may lapse while
    /// its server lives, and come back.
    pub fn retain(&mut self, now: Time, is_known: impl Fn(u32) -> bool) {
        self.0.retain(|server, belief| {
            is_known(*server) || now.since(belief.evidence().heard_at) < GONE_KEPT
        });
    }
}
