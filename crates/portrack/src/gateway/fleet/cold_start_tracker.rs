//! Tracks which servers may still be slow after their start. When in doubt, a server counts as
//! cold.
//!
//! That applies to servers that are unknown, whose entry may be outdated, that broke off a
//! connection, or that got no requests for a while.

use super::backend::Backend;
use super::config::ColdStart;
use crate::types::Time;
use std::collections::HashMap;
use std::rc::Rc;

/// Source name in logs for a store change received from another daemon.
pub const SOURCE_PEER: &str = "peer";
/// Source name in logs for a server's own report that arrived before its entry.
pub const SOURCE_REPORT: &str = "report";

/// How a server's entry was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// From the store, or from a daemon that watches it: the entry is current.
    Direct,
    /// From a daemon whose entry may be outdated, or from a server's report, which gives its
    /// incarnation but not how cold it is.
    Indirect,
}

impl EntrySource {
    /// Maps the source name used in logs.
    pub fn of(source: &str) -> Self {
        match source {
            SOURCE_PEER | SOURCE_REPORT => Self::Indirect,
            _ => Self::Direct,
        }
    }
}

/// Cold state of one server.
#[derive(Debug, Clone, Copy)]
struct ServerState {
    /// The incarnation that this is about.
    born: Option<u64>,
    /// From this time on the server may have turned cold without reporting it; `None` if there is
    /// no such time.
    assumed_cold_at: Option<Time>,
    /// The server reported that it is cold until this time.
    reported_until: Time,
}

/// Cold state of the known servers.
#[derive(Debug, Clone, Default)]
pub struct ColdStartTracker {
    servers: HashMap<Rc<str>, ServerState>,
}

impl ColdStartTracker {
    /// Applies a server's entry. The remaining time in it is counted from now; the entry was
    /// written earlier, so the server is cold no longer than that. A server that is new here or has
    /// restarted is assumed cold if the entry may be outdated. Entries from the store are current,
    /// so a daemon that starts need not treat all servers as cold.
    pub fn on_entry(&mut self, now: Time, backend: &Backend, source: EntrySource) {
        let reported_until = now + backend.cold_for;
        let assumed_cold_at = (source == EntrySource::Indirect).then_some(now);
        let initial = ServerState { born: backend.born, assumed_cold_at, reported_until };
        let state = self.servers.entry(backend.id.clone()).or_insert(initial);
        if state.born != backend.born {
            *state = initial;
        }
        state.reported_until = state.reported_until.max(reported_until);
    }

    /// Assumes that a server may have turned cold by now, for instance after a time without
    /// requests.
    pub fn assume_cold(&mut self, now: Time, server: &str) {
        if let Some(state) = self.servers.get_mut(server) {
            state.assumed_cold_at = Some(now);
        }
    }

    /// Removes a server.
    pub fn gone(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// The time until which a server has to be treated as cold, for a service whose servers start
    /// slowly. An unknown server is cold.
    pub fn cold_until(&self, now: Time, server: &str, start: &ColdStart) -> Time {
        let Some(state) = self.servers.get(server) else { return now + start.duration };
        let assumed = state.assumed_cold_at.map(|at| at + start.duration);
        assumed.map_or(state.reported_until, |until| until.max(state.reported_until))
    }

    /// Returns true if a server has to be treated as cold.
    pub fn is_cold(&self, now: Time, server: &str, start: Option<&ColdStart>) -> bool {
        start.is_some_and(|start| now < self.cold_until(now, server, start))
    }
}
