//! Load and health of the backend servers as known to this daemon.

use super::decay::DecayingSum;
use crate::gateway::cold::server::ColdServer;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::message::ServerLoad;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Half-life of the failure rate.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Weight of a new outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.3;
/// How long an unreachable server is avoided.
const UNREACHABLE_FOR: Duration = Duration::from_millis(700);
/// A server that does not answer its outstanding requests for this long counts as silent.
const SILENT_AFTER: Duration = Duration::from_millis(450);
/// How long the loads reported by a peer are valid.
const PEER_FRESH: Duration = Duration::from_millis(2_500);

/// How long the load reported by a server is valid: four report intervals.
const REPORT_FRESH: Duration = Duration::from_millis(1_300);

/// Requests at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingWork {
    /// Requests sent and not finished.
    pub requests: u32,
    /// Prompt tokens of the requests that have not started to answer.
    pub waiting_tokens: u32,
}

#[derive(Debug, Clone, Default)]
struct Server {
    /// Hash of the incarnation that this state belongs to.
    incarnation: u32,
    own: OutstandingWork,
    /// When the server last answered, or since when it has had requests without answering.
    silent_since: Option<Time>,
    /// When the server last answered.
    answered_at: Option<Time>,
    failure_rate: DecayingSum,
    unreachable_until: Time,
}

/// A peer's outstanding work by server hash.
#[derive(Debug, Default)]
struct PeerWork {
    received_at: Time,
    servers: HashMap<u32, OutstandingWork>,
}

/// The load that a server reported.
#[derive(Debug, Clone, Copy)]
struct Reported {
    requests: u32,
    received_at: Time,
    /// Requests that this daemon has started since the report.
    own_since: u32,
}

/// Load and health of the servers.
#[derive(Debug, Default)]
pub struct LoadTable {
    /// Incarnation hashes of the servers' current incarnations.
    incarnations: RefCell<HashMap<Rc<str>, u32>>,
    reported: RefCell<HashMap<u32, Reported>>,
    silent_halls: RefCell<Vec<Rc<str>>>,
    cold: RefCell<HashMap<Rc<str>, ColdServer>>,
    servers: RefCell<HashMap<Rc<str>, Server>>,
    peers: RefCell<HashMap<Rc<str>, PeerWork>>,
    /// When each server is expected to have worked off its backlog, as reported by its granter.
    backlog_until: RefCell<HashMap<Rc<str>, Time>>,
}

/// The hash that identifies a server in messages between daemons.
pub fn server_hash(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

impl LoadTable {
    /// Sets a server's current incarnation. State of an earlier incarnation is dropped.
    pub fn set_incarnation(&self, server: &Rc<str>, hash: u32) {
        let before = self.incarnation_hash(server);
        if before == hash {
            return;
        }
        self.reported.borrow_mut().remove(&before);
        self.backlog_until.borrow_mut().remove(server);
        self.servers.borrow_mut().remove(server);
        self.incarnations.borrow_mut().insert(server.clone(), hash);
    }

    /// Hash of a server's current incarnation.
    pub fn incarnation_hash(&self, server: &str) -> u32 {
        self.incarnations.borrow().get(server).copied().unwrap_or_else(|| server_hash(server))
    }

    /// Changes the state of a server's current incarnation.
    fn entry<T>(&self, server: &Rc<str>, change: impl FnOnce(&mut Server) -> T) -> T {
        let incarnation = self.incarnation_hash(server);
        let mut servers = self.servers.borrow_mut();
        let fresh = || Server { incarnation, ..Server::default() };
        change(servers.entry(server.clone()).or_insert_with(fresh))
    }

    /// Counts a request at a server until the guard is dropped.
    pub fn begin(self: &Rc<Self>, now: Time, server: &Rc<str>, tokens: u32) -> OutstandingGuard {
        let incarnation = self.entry(server, |entry| {
            entry.silent_since.get_or_insert(now);
            entry.own.requests += 1;
            entry.own.waiting_tokens += tokens;
            entry.incarnation
        });
        if let Some(reported) = self.reported.borrow_mut().get_mut(&incarnation) {
            reported.own_since += 1;
        }
        OutstandingGuard { table: self.clone(), server: server.clone(), incarnation, tokens }
    }

    /// Records whether a request to a server failed.
    pub fn record_outcome(&self, now: Time, server: &Rc<str>, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.entry(server, |entry| {
            let rate = entry.rate(now);
            entry.failure_rate.set(now, rate + (outcome - rate) * OUTCOME_WEIGHT);
        });
    }

    /// Records the outcome of a request to one incarnation of a server. Outcomes of earlier
    /// incarnations are ignored.
    pub fn record_outcome_of(&self, now: Time, backend: &Backend, failed: bool) {
        if self.is_current_incarnation(backend) {
            self.record_outcome(now, &backend.id, failed);
        }
    }

    /// Returns whether the server has not restarted since.
    pub fn is_current_incarnation(&self, backend: &Backend) -> bool {
        self.incarnation_hash(&backend.id) == backend.incarnation_hash()
    }

    /// Records that a server could not be reached.
    pub fn unreachable(&self, now: Time, server: &Rc<str>) {
        self.record_outcome(now, server, true);
        self.entry(server, |entry| entry.unreachable_until = now + UNREACHABLE_FOR);
    }

    /// Returns whether the server was unreachable a moment ago.
    pub fn is_unreachable(&self, now: Time, server: &str) -> bool {
        self.servers.borrow().get(server).is_some_and(|entry| now < entry.unreachable_until)
    }

    /// Returns whether a server has not answered its outstanding requests for a while.
    pub fn is_silent(&self, now: Time, server: &str) -> bool {
        let servers = self.servers.borrow();
        let since = servers.get(server).and_then(|entry| entry.silent_since);
        since.is_some_and(|since| now.since(since) >= SILENT_AFTER)
    }

    /// Returns whether a server has answered within a time span.
    pub fn has_answered_within(&self, now: Time, server: &str, span: Duration) -> bool {
        let answered_at = self.servers.borrow().get(server).and_then(|entry| entry.answered_at);
        answered_at.is_some_and(|at| now.since(at) < span)
    }

    /// The decayed share of recent requests that failed.
    pub fn failure_rate(&self, now: Time, server: &str) -> f64 {
        self.servers.borrow().get(server).map_or(0.0, |entry| entry.rate(now))
    }

    /// The outstanding work of all daemons at a server, as far as known.
    pub fn work(&self, now: Time, server: &str) -> OutstandingWork {
        let own = self.servers.borrow().get(server).map(|entry| entry.own).unwrap_or_default();
        let hash = self.incarnation_hash(server);
        if let Some(reported) = self.reported(now, hash) {
            let requests = (reported.requests + reported.own_since).max(own.requests);
            return OutstandingWork { requests, ..own };
        }
        let peers = self.peers.borrow();
        let fresh = peers.values().filter(|peer| now.since(peer.received_at) < PEER_FRESH);
        fresh.filter_map(|peer| peer.servers.get(&hash)).fold(own, |sum, work| OutstandingWork {
            requests: sum.requests + work.requests,
            waiting_tokens: sum.waiting_tokens + work.waiting_tokens,
        })
    }

    fn reported(&self, now: Time, hash: u32) -> Option<Reported> {
        let reported = self.reported.borrow().get(&hash).copied();
        reported.filter(|reported| now.since(reported.received_at) < REPORT_FRESH)
    }

    /// Records the loads that servers reported. They take precedence over the loads reported by
    /// peers.
    pub fn record_reports(&self, now: Time, loads: &[ServerLoad]) {
        let mut reported = self.reported.borrow_mut();
        for load in loads {
            let requests = load.requests.into();
            reported.insert(load.server, Reported { requests, received_at: now, own_since: 0 });
        }
    }

    /// Records when a server will have worked off its backlog, as reported by its granter.
    pub fn set_backlog_until(&self, server: &Rc<str>, until: Time) {
        self.backlog_until.borrow_mut().insert(server.clone(), until);
    }

    /// How long a server needs for its backlog, as reported by its granter.
    pub fn backlog(&self, now: Time, server: &str) -> Duration {
        self.backlog_until.borrow().get(server).map_or(Duration::ZERO, |until| until.since(now))
    }

    /// This daemon's outstanding work, to be sent to its peers.
    pub fn own_work(&self) -> Vec<(u32, OutstandingWork)> {
        let servers = self.servers.borrow();
        let busy = servers.values().filter(|entry| entry.own.requests > 0);
        busy.map(|entry| (entry.incarnation, entry.own)).collect()
    }

    /// Returns true if this daemon has outstanding requests.
    pub fn has_outstanding(&self) -> bool {
        self.servers.borrow().values().any(|entry| entry.own.requests > 0)
    }

    /// Replaces a peer's outstanding work.
    pub fn set_peer_work(&self, now: Time, peer: &Rc<str>, works: Vec<(u32, OutstandingWork)>) {
        let work = PeerWork { received_at: now, servers: works.into_iter().collect() };
        self.peers.borrow_mut().insert(peer.clone(), work);
    }

    /// Replaces the set of servers that may be cold.
    pub fn set_cold(&self, cold: HashMap<Rc<str>, ColdServer>) {
        self.cold.replace(cold);
    }

    /// Sets or clears whether one server may be cold.
    pub fn set_one_cold(&self, server: &Rc<str>, cold: Option<ColdServer>) {
        let mut all = self.cold.borrow_mut();
        match cold {
            Some(cold) => all.insert(server.clone(), cold),
            None => all.remove(server),
        };
    }

    /// Returns whether a server may be cold.
    pub fn is_cold(&self, now: Time, server: &str) -> bool {
        self.cold.borrow().get(server).is_some_and(|cold| now < cold.until)
    }

    /// Extra cost of a request at a server that may be cold and has this many requests.
    pub fn cold_cost(&self, now: Time, server: &str, requests: u32) -> f64 {
        self.cold.borrow().get(server).map_or(0.0, |cold| cold.cost(now, requests))
    }

    /// Replaces the set of data halls from which nothing is received.
    pub fn set_silent_halls(&self, halls: Vec<Rc<str>>) {
        self.silent_halls.replace(halls);
    }

    /// The data halls from which nothing is received.
    pub fn silent_halls(&self) -> Vec<Rc<str>> {
        self.silent_halls.borrow().clone()
    }

    /// Returns whether nothing is received from a data hall. A request sent there would be lost.
    pub fn is_hall_silent(&self, hall: &str) -> bool {
        self.silent_halls.borrow().iter().any(|silent| &**silent == hall)
    }

    /// Drops the state of a removed server.
    pub fn forget(&self, server: &str) {
        self.backlog_until.borrow_mut().remove(server);
        self.reported.borrow_mut().remove(&self.incarnation_hash(server));
        let mut servers = self.servers.borrow_mut();
        if servers.get(server).is_some_and(|entry| entry.own.requests > 0) {
            return;
        }
        servers.remove(server);
        self.incarnations.borrow_mut().remove(server);
    }
}

impl Server {
    fn rate(&self, now: Time) -> f64 {
        self.failure_rate.get(now, FAILURE_HALF_LIFE)
    }
}

/// Counts one request at a server until dropped.
#[derive(Debug)]
pub struct OutstandingGuard {
    table: Rc<LoadTable>,
    server: Rc<str>,
    incarnation: u32,
    tokens: u32,
}

impl OutstandingGuard {
    /// Changes the state of the server unless it has restarted.
    fn change(&self, change: impl FnOnce(&mut Server)) {
        let mut servers = self.table.servers.borrow_mut();
        if let Some(entry) =
            servers.get_mut(&self.server).filter(|entry| entry.incarnation == self.incarnation)
        {
            change(entry);
        }
    }

    /// Records that the server has answered something.
    pub fn record_activity(&self, now: Time) {
        self.change(|entry| {
            entry.silent_since = Some(now);
            entry.answered_at = Some(now);
        });
    }

    /// Records that the server has started to answer, so the prompt has been read.
    pub fn begun(&mut self) {
        let tokens = std::mem::take(&mut self.tokens);
        self.change(|entry| {
            entry.own.waiting_tokens = entry.own.waiting_tokens.saturating_sub(tokens);
        });
    }
}

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.begun();
        self.change(|entry| {
            entry.own.requests = entry.own.requests.saturating_sub(1);
            if entry.own.requests == 0 {
                entry.silent_since = None;
            }
        });
    }
}
