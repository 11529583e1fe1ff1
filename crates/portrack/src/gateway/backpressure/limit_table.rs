//! The limits of all servers.

use super::limit::RateLimit;
use super::limit_state::{LimitObservation, LimitState};
use crate::types::Time;
use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

/// How long the state of a removed server is kept: longer than outages of the platform's store.
const REMOVED_TTL: Duration = Duration::from_secs(60);

/// A change of a limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The previous limit; `None` for no limit.
    pub before: Option<RateLimit>,
    /// The current limit.
    pub now: Option<RateLimit>,
}

/// Limit states by the incarnation hashes of servers: a new incarnation starts without a limit.
#[derive(Debug, Clone, Default)]
pub struct LimitTable(HashMap<u32, LimitState>);

impl LimitTable {
    /// The limit of a server's incarnation, if any.
    pub fn limit(&self, server: u32) -> Option<RateLimit> {
        self.0.get(&server).and_then(LimitState::limit)
    }

    /// The limit state of a server's incarnation.
    pub fn get(&self, server: u32) -> Option<&LimitState> {
        self.0.get(&server)
    }

    /// Applies an observation. That a server has no limit is stored too, so that a late report of
    /// an earlier limit does not restore it.
    pub fn apply(&mut self, server: u32, observation: LimitObservation) -> Option<LimitChange> {
        let before = self.limit(server);
        let changed = match self.0.entry(server) {
            Entry::Occupied(mut known) => known.get_mut().apply(observation),
            Entry::Vacant(first) => {
                first.insert(LimitState::new(observation));
                observation.limit.is_some()
            }
        };
        changed.then_some(LimitChange { before, now: observation.limit })
    }

    /// The servers that advertise a limit.
    pub fn limited(&self) -> impl Iterator<Item = (u32, &LimitState)> {
        let all = self.0.iter().filter(|(_, state)| state.limit().is_some());
        all.map(|(server, state)| (*server, state))
    }

    /// Removes unknown servers some time after their last observation: an entry may lapse while its
    /// server is alive, and come back.
    pub fn retain(&mut self, now: Time, is_known: impl Fn(u32) -> bool) {
        self.0.retain(|server, state| {
            is_known(*server) || now.since(state.observation().received_at) < REMOVED_TTL
        });
    }
}
