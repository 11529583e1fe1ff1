//! What this node can reach: its links to the servers.
//!
//! Input is the outcome of each attempt to connect, receipts, and what other daemons found; output is
//! whether to connect to a server directly, through another daemon, or not at all. A failed attempt says
//! something about this node's link only. That a server is unreachable takes the word of another daemon.

use crate::types::Time;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Links that have not been tried for this long are forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);
/// How long the word of another daemon that it cannot reach a server either is believed.
const PEER_FAILURE_TTL: Duration = Duration::from_millis(700);
/// Interval at which other daemons are asked about a server for which this node has duties.
const OPINION_INTERVAL: Duration = Duration::from_secs(2);
/// Number of servers that this node must fail to reach, without contact to any other, to be cut off.
const MIN_FAILING: usize = 2;
/// Interval between attempts to reach a server again.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of servers probed at once.
const MAX_PROBES: usize = 4;
/// With requests outstanding, silence of all servers for this long is checked by probes.
const SUSPICIOUS_SILENCE: Duration = Duration::from_millis(500);
/// Number of servers probed for that check.
const SILENCE_PROBES: usize = MIN_FAILING;

/// How to connect to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reachability {
    /// Directly.
    Direct,
    /// Through another daemon.
    Tunnel,
    /// Not at all: neither this daemon nor another one has reached it.
    Unreachable,
}

/// Why a server could not be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFailure {
    /// The connection was refused or reset. Open ones may live on.
    Refused,
    /// Nothing was received.
    TimedOut,
}

/// Failed attempts to reach a server.
#[derive(Debug, Clone, Copy)]
struct Failing {
    since: Time,
    failure: LinkFailure,
    /// What another daemon last found, and when.
    by_peer: Option<(PeerResult, Time)>,
}

/// Whether another daemon reached a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerResult {
    /// It opened a connection.
    Reached,
    /// It could not open one.
    Failed,
}

/// The link to one server.
#[derive(Debug, Clone, Copy, Default)]
struct Link {
    reached_at: Option<Time>,
    /// Set by the first failed attempt since the server was reached.
    failing: Option<Failing>,
    tried_at: Time,
}

/// A change of the link to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The first failed attempt, with the time since the server was last reached, if it ever was.
    Lost(Option<Duration>),
    /// The server was reached again after failed attempts; with the time since the first of them.
    Restored(Duration),
}

/// The links from this node to the servers, by server id.
#[derive(Debug, Default)]
pub struct ServerLinks {
    links: RefCell<HashMap<Rc<str>, Link>>,
    /// When any server was last heard on a direct connection.
    contact_at: Rc<Cell<Option<Time>>>,
}

impl ServerLinks {
    /// The time of the last contact with any server, to be updated by direct connections.
    pub fn contact(&self) -> Rc<Cell<Option<Time>>> {
        self.contact_at.clone()
    }

    /// Records that a server was reached. If this node was cut off, the links that failed meanwhile may be back
    /// too: nothing is known of them any more.
    pub fn reached(&self, now: Time, server: &Rc<str>) -> Option<LinkChange> {
        let was_cut_off = self.is_cut_off();
        let contact_at = self.contact_at.replace(Some(now));
        let link = Link { reached_at: Some(now), failing: None, tried_at: now };
        let mut links = self.links.borrow_mut();
        let before = links.insert(server.clone(), link);
        if was_cut_off {
            let failed_since = |failing: &Failing| Some(failing.since) > contact_at;
            links.values_mut().for_each(|link| {
                link.failing = link.failing.filter(|failing| !failed_since(failing));
            });
        }
        let failing = before?.failing?;
        Some(LinkChange::Restored(now.since(failing.since)))
    }

    /// Records that a server could not be reached.
    pub fn failed(&self, now: Time, server: &Rc<str>, failure: LinkFailure) -> Option<LinkChange> {
        let mut links = self.links.borrow_mut();
        let link = links.entry(server.clone()).or_default();
        link.tried_at = now;
        if let Some(failing) = &mut link.failing {
            failing.failure = failure;
            return None;
        }
        link.failing = Some(Failing { since: now, failure, by_peer: None });
        Some(LinkChange::Lost(link.reached_at.map(|at| now.since(at))))
    }

    /// Records whether another daemon reached a server that this one cannot reach.
    pub fn on_peer_result(&self, now: Time, server: &str, result: PeerResult) {
        let mut links = self.links.borrow_mut();
        if let Some(failing) = links.get_mut(server).and_then(|link| link.failing.as_mut()) {
            failing.by_peer = Some((result, now));
        }
    }

    /// Returns true if this node has failed to reach a server for `span`, and others reach it as far as
    /// known.
    pub fn is_only_mine(&self, now: Time, server: &str, span: Duration) -> bool {
        let failing = self.links.borrow().get(server).and_then(|link| link.failing);
        failing.is_some_and(|failing| {
            let by_peer = failing.by_peer.map(|(result, _)| result);
            let others_reach = by_peer == Some(PeerResult::Reached) || self.is_cut_off();
            others_reach && now.since(failing.since) >= span
        })
    }

    /// Returns true if this node has failed to reach a server for `span`, and no other daemon has told lately
    /// whether it does.
    pub fn needs_opinion(&self, now: Time, server: &str, span: Duration) -> bool {
        let failing = self.links.borrow().get(server).and_then(|link| link.failing);
        failing.is_some_and(|failing| {
            let is_told = failing.by_peer.is_some_and(|(_, at)| now.since(at) < OPINION_INTERVAL);
            !is_told && now.since(failing.since) >= span
        })
    }

    /// How to connect to a server now.
    pub fn reachability(&self, now: Time, server: &str) -> Reachability {
        let failing = self.links.borrow().get(server).and_then(|link| link.failing);
        match failing {
            Some(failing) if failing.is_confirmed(now) => Reachability::Unreachable,
            Some(_) => Reachability::Tunnel,
            None if self.is_cut_off() => Reachability::Tunnel,
            None => Reachability::Direct,
        }
    }

    /// Returns true if this node reaches no server: several attempts failed since the last contact.
    pub fn is_cut_off(&self) -> bool {
        let contact_at = self.contact_at.get();
        let links = self.links.borrow();
        let failing = links.values().filter_map(|link| link.failing);
        failing.filter(|failing| Some(failing.since) > contact_at).count() >= MIN_FAILING
    }

    /// Returns true if an open direct connection to a server that cannot be connected to may live on.
    pub fn keeps_connections(&self, server: &str) -> bool {
        let failing = self.links.borrow().get(server).and_then(|link| link.failing);
        match failing {
            Some(failing) => failing.failure == LinkFailure::Refused,
            None => !self.is_cut_off(),
        }
    }

    /// Why this node failed to reach a server when it last tried.
    pub fn failure(&self, server: &str) -> Option<LinkFailure> {
        let failing = self.links.borrow().get(server).and_then(|link| link.failing);
        failing.map(|failing| failing.failure)
    }

    /// Number of servers that this node cannot reach.
    pub fn failing_count(&self) -> usize {
        self.links.borrow().values().filter(|link| link.failing.is_some()).count()
    }

    /// The servers to probe now: those that cannot be reached and, if no server has been heard for a while
    /// although requests are outstanding, or this node is cut off, others too.
    pub fn due_probes(&self, now: Time, has_outstanding: bool) -> Vec<Rc<str>> {
        let contact_at = self.contact_at.get();
        let silent = contact_at.is_some_and(|at| now.since(at) >= SUSPICIOUS_SILENCE);
        let healthy_probes = match self.is_cut_off() || (has_outstanding && silent) {
            true => SILENCE_PROBES,
            false => 0,
        };
        let mut links = self.links.borrow_mut();
        let is_due = |link: &Link| {
            let is_suspect = link.failing.is_some() || healthy_probes > 0;
            is_suspect && now.since(link.tried_at) >= PROBE_INTERVAL
        };
        let mut due: Vec<(&Rc<str>, &mut Link)> =
            links.iter_mut().filter(|(_, link)| is_due(link)).collect();
        due.sort_by_key(|(_, link)| link.tried_at);
        let (failing, healthy): (Vec<_>, Vec<_>) =
            due.into_iter().partition(|(_, link)| link.failing.is_some());
        let probed = failing.into_iter().take(MAX_PROBES);
        let probed = probed.chain(healthy.into_iter().take(healthy_probes));
        let probed = probed.map(|(server, link)| {
            link.tried_at = now;
            server.clone()
        });
        probed.collect()
    }

    /// Forgets the failed attempts to reach servers that get no requests any more: nobody tries to reach these again,
    /// so nothing would ever correct what is known of them.
    pub fn forget_unused(&self, is_used: impl Fn(&str) -> bool) {
        let is_kept = |server: &str, link: &Link| link.failing.is_none() || is_used(server);
        self.links.borrow_mut().retain(|server, link| is_kept(server, link));
    }

    /// Makes servers that were never connected to candidates for probes: a node that is cut off sends them nothing, so
    /// it would not notice that it reaches them.
    pub fn add_untried<'a>(&self, servers: impl Iterator<Item = &'a Rc<str>>) {
        let mut links = self.links.borrow_mut();
        for server in servers {
            links.entry(server.clone()).or_default();
        }
    }

    /// Forgets a removed server.
    pub fn forget(&self, server: &str) {
        self.links.borrow_mut().remove(server);
    }

    /// Forgets links that have not been tried for long.
    pub fn sweep(&self, now: Time) {
        self.links.borrow_mut().retain(|_, link| now.since(link.tried_at) < FORGOTTEN_AFTER);
    }
}

impl Failing {
    /// Returns true if another daemon has failed to reach the server too.
    fn is_confirmed(self, now: Time) -> bool {
        let failed = self.by_peer.filter(|(result, _)| *result == PeerResult::Failed);
        failed.is_some_and(|(_, at)| now.since(at) < PEER_FAILURE_TTL)
    }
}
