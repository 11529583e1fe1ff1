//! How busy and how reliable each backend server is, as this daemon knows it.

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

/// Failures lose half their weight in this time.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_500);
/// Share of a new outcome in the failure rate.
const OUTCOME_WEIGHT: f64 = 0.3;
/// A server that could not be reached is left alone for this long.
const UNREACHABLE_FOR: Duration = Duration::from_millis(700);
/// A server that says nothing for this long although it was asked is taken for cut off.
const SILENT_AFTER: Duration = Duration::from_millis(450);
/// What peers said of their own load counts for this long.
const PEER_FRESH: Duration = Duration::from_millis(2_500);

/// What a server reported of its load counts for this long: four reports.
const REPORT_FRESH: Duration = Duration::from_millis(1_300);

/// Requests at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OutstandingWork {
    /// Requests sent and not finished.
    pub requests: u32,
    /// Prompt tokens of those that have not begun to answer.
    pub waiting_tokens: u32,
}

#[derive(Debug, Clone, Default)]
struct Server {
    /// The mark of the life that all this is of.
    life: u32,
    own: OutstandingWork,
    /// Since when nothing was heard of it although it was asked.
    silent_since: Option<Time>,
    /// When it said something last.
    heard_at: Option<Time>,
    failure_rate: DecayingSum,
    unreachable_until: Time,
}

/// What a peer has at servers, by their marks.
#[derive(Debug, Default)]
struct PeerWork {
    told_at: Time,
    servers: HashMap<u32, OutstandingWork>,
}

/// What a server reported of its load.
#[derive(Debug, Clone, Copy)]
struct Reported {
    requests: u32,
    told_at: Time,
    /// Requests of this daemon that began since.
    own_since: u32,
}

/// Load and health of the servers.
#[derive(Debug, Default)]
pub struct LoadTable {
    /// The marks of the servers' present lives.
    lives: RefCell<HashMap<Rc<str>, u32>>,
    reported: RefCell<HashMap<u32, Reported>>,
    silent_halls: RefCell<Vec<Rc<str>>>,
    cold: RefCell<HashMap<Rc<str>, ColdServer>>,
    servers: RefCell<HashMap<Rc<str>, Server>>,
    peers: RefCell<HashMap<Rc<str>, PeerWork>>,
    /// Until when servers read, as their granters told.
    reading: RefCell<HashMap<Rc<str>, Time>>,
}

/// The short name of a server in messages between daemons.
pub fn server_hash(id: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(id.as_bytes()) as u32
}

impl LoadTable {
    /// Takes in which life of a server is the present one; what is known of a former one is forgotten.
    pub fn set_incarnation(&self, server: &Rc<str>, mark: u32) {
        let before = self.mark(server);
        if before == mark {
            return;
        }
        self.reported.borrow_mut().remove(&before);
        self.reading.borrow_mut().remove(server);
        self.servers.borrow_mut().remove(server);
        self.lives.borrow_mut().insert(server.clone(), mark);
    }

    /// The mark of a server's present life.
    pub fn mark(&self, server: &str) -> u32 {
        self.lives.borrow().get(server).copied().unwrap_or_else(|| server_hash(server))
    }

    /// What is known of a server's present life, for changes.
    fn entry<T>(&self, server: &Rc<str>, change: impl FnOnce(&mut Server) -> T) -> T {
        let life = self.mark(server);
        let mut servers = self.servers.borrow_mut();
        let fresh = || Server { life, ..Server::default() };
        change(servers.entry(server.clone()).or_insert_with(fresh))
    }

    /// Counts a request at a server until the guard is dropped.
    pub fn begin(self: &Rc<Self>, now: Time, server: &Rc<str>, tokens: u32) -> OutstandingGuard {
        let life = self.entry(server, |entry| {
            entry.silent_since.get_or_insert(now);
            entry.own.requests += 1;
            entry.own.waiting_tokens += tokens;
            entry.life
        });
        if let Some(reported) = self.reported.borrow_mut().get_mut(&life) {
            reported.own_since += 1;
        }
        OutstandingGuard { table: self.clone(), server: server.clone(), life, tokens }
    }

    /// Notes an outcome of a server.
    pub fn record_outcome(&self, now: Time, server: &Rc<str>, failed: bool) {
        let outcome = if failed { 1.0 } else { 0.0 };
        self.entry(server, |entry| {
            let rate = entry.rate(now);
            entry.failure_rate.set(now, rate + (outcome - rate) * OUTCOME_WEIGHT);
        });
    }

    /// Notes an outcome of one life of a server; that of a former one says nothing of the present one.
    pub fn record_outcome_of(&self, now: Time, backend: &Backend, failed: bool) {
        if self.is_current_incarnation(backend) {
            self.record_outcome(now, &backend.id, failed);
        }
    }

    /// True unless the server has started again since.
    pub fn is_current_incarnation(&self, backend: &Backend) -> bool {
        self.mark(&backend.id) == backend.incarnation_hash()
    }

    /// Notes that a server could not be reached.
    pub fn unreachable(&self, now: Time, server: &Rc<str>) {
        self.record_outcome(now, server, true);
        self.entry(server, |entry| entry.unreachable_until = now + UNREACHABLE_FOR);
    }

    /// True if the server was found unreachable a moment ago.
    pub fn is_unreachable(&self, now: Time, server: &str) -> bool {
        self.servers.borrow().get(server).is_some_and(|entry| now < entry.unreachable_until)
    }

    /// True if nothing was heard of a server for a while although it was asked.
    pub fn is_silent(&self, now: Time, server: &str) -> bool {
        let servers = self.servers.borrow();
        let since = servers.get(server).and_then(|entry| entry.silent_since);
        since.is_some_and(|since| now.since(since) >= SILENT_AFTER)
    }

    /// True if a server said something within a span.
    pub fn has_answered_within(&self, now: Time, server: &str, span: Duration) -> bool {
        let heard_at = self.servers.borrow().get(server).and_then(|entry| entry.heard_at);
        heard_at.is_some_and(|at| now.since(at) < span)
    }

    /// The share of recent requests that failed, fading with time.
    pub fn failure_rate(&self, now: Time, server: &str) -> f64 {
        self.servers.borrow().get(server).map_or(0.0, |entry| entry.rate(now))
    }

    /// What all daemons have at a server, as far as known.
    pub fn work(&self, now: Time, server: &str) -> OutstandingWork {
        let own = self.servers.borrow().get(server).map(|entry| entry.own).unwrap_or_default();
        let mark = self.mark(server);
        if let Some(reported) = self.reported(now, mark) {
            let requests = (reported.requests + reported.own_since).max(own.requests);
            return OutstandingWork { requests, ..own };
        }
        let peers = self.peers.borrow();
        let fresh = peers.values().filter(|peer| now.since(peer.told_at) < PEER_FRESH);
        fresh.filter_map(|peer| peer.servers.get(&mark)).fold(own, |sum, work| OutstandingWork {
            requests: sum.requests + work.requests,
            waiting_tokens: sum.waiting_tokens + work.waiting_tokens,
        })
    }

    fn reported(&self, now: Time, mark: u32) -> Option<Reported> {
        let reported = self.reported.borrow().get(&mark).copied();
        reported.filter(|reported| now.since(reported.told_at) < REPORT_FRESH)
    }

    /// Updates what servers reported of their load, which outweighs what peers tell of their own.
    pub fn record_reports(&self, now: Time, loads: &[ServerLoad]) {
        let mut reported = self.reported.borrow_mut();
        for load in loads {
            let requests = load.requests.into();
            reported.insert(load.server, Reported { requests, told_at: now, own_since: 0 });
        }
    }

    /// A server's granter told that it reads until then.
    pub fn reads_until(&self, server: &Rc<str>, until: Time) {
        self.reading.borrow_mut().insert(server.clone(), until);
    }

    /// How long a server reads what is waiting there, as its granter told.
    pub fn backlog(&self, now: Time, server: &str) -> Duration {
        self.reading.borrow().get(server).map_or(Duration::ZERO, |until| until.since(now))
    }

    /// This daemon's own work, for its peers.
    pub fn own_work(&self) -> Vec<(u32, OutstandingWork)> {
        let servers = self.servers.borrow();
        let busy = servers.values().filter(|entry| entry.own.requests > 0);
        busy.map(|entry| (entry.life, entry.own)).collect()
    }

    /// Takes a peer's work in.
    pub fn set_peer_work(&self, now: Time, peer: &Rc<str>, works: Vec<(u32, OutstandingWork)>) {
        let work = PeerWork { told_at: now, servers: works.into_iter().collect() };
        self.peers.borrow_mut().insert(peer.clone(), work);
    }

    /// Updates which servers have to be taken for cold.
    pub fn set_cold(&self, cold: HashMap<Rc<str>, ColdServer>) {
        self.cold.replace(cold);
    }

    /// Updates whether one server has to be taken for cold.
    pub fn set_one_cold(&self, server: &Rc<str>, cold: Option<ColdServer>) {
        let mut all = self.cold.borrow_mut();
        match cold {
            Some(cold) => all.insert(server.clone(), cold),
            None => all.remove(server),
        };
    }

    /// True if a server has to be taken for cold.
    pub fn is_cold(&self, now: Time, server: &str) -> bool {
        self.cold.borrow().get(server).is_some_and(|cold| now < cold.until)
    }

    /// What a request costs besides if its server is cold and has so many requests.
    pub fn cold_cost(&self, now: Time, server: &str, requests: u32) -> f64 {
        self.cold.borrow().get(server).map_or(0.0, |cold| cold.cost(now, requests))
    }

    /// Updates from which data halls nothing is heard.
    pub fn set_silent_halls(&self, halls: Vec<Rc<str>>) {
        self.silent_halls.replace(halls);
    }

    /// The data halls from which nothing is heard.
    pub fn silent_halls(&self) -> Vec<Rc<str>> {
        self.silent_halls.borrow().clone()
    }

    /// True if nothing is heard from a data hall: a request to it would be lost.
    pub fn is_hall_silent(&self, hall: &str) -> bool {
        self.silent_halls.borrow().iter().any(|silent| &**silent == hall)
    }

    /// Forgets a server that is gone.
    pub fn forget(&self, server: &str) {
        self.reading.borrow_mut().remove(server);
        self.reported.borrow_mut().remove(&self.mark(server));
        let mut servers = self.servers.borrow_mut();
        if servers.get(server).is_some_and(|entry| entry.own.requests > 0) {
            return;
        }
        servers.remove(server);
        self.lives.borrow_mut().remove(server);
    }
}

impl Server {
    fn rate(&self, now: Time) -> f64 {
        self.failure_rate.get(now, FAILURE_HALF_LIFE)
    }
}

/// Counts one request at a server for as long as it lives.
#[derive(Debug)]
pub struct OutstandingGuard {
    table: Rc<LoadTable>,
    server: Rc<str>,
    life: u32,
    tokens: u32,
}

impl OutstandingGuard {
    /// Changes what is known of the server, unless it has started again.
    fn change(&self, change: impl FnOnce(&mut Server)) {
        let mut servers = self.table.servers.borrow_mut();
        if let Some(entry) = servers.get_mut(&self.server).filter(|entry| entry.life == self.life) {
            change(entry);
        }
    }

    /// The server said something.
    pub fn record_activity(&self, now: Time) {
        self.change(|entry| {
            entry.silent_since = Some(now);
            entry.heard_at = Some(now);
        });
    }

    /// The server has begun to answer: the prompt is read.
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
