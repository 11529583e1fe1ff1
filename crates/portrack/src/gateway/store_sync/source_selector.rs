//! Selects the source from which a daemon learns of store changes. A state machine without sockets.

use super::peer_freshness::{PeerFreshness, PeerFreshnessTable, duration_millis, time_millis};
use super::report::{SyncReport, SyncState};
use super::timings::SyncTimings;
use crate::types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Number of daemons per group that watch the store when nothing fails. With two, losing one costs
/// its followers a new connection but no call to the store.
const WATCHERS_PER_GROUP: usize = 2;
/// Delay before the store is queried again after it has rejected a call. All daemons of a fleet
/// query a store that is down, and every call has a cost; a daemon that depends on the store alone
/// notices its return this late.
const STORE_RETRY_DELAY: Duration = Duration::from_millis(4_000);
/// The same delay for one of the first two daemons of a group, if its copy is stale.
const NEEDED_STORE_RETRY_DELAY: Duration = Duration::from_millis(800);
/// How long another daemon's report that the store rejects it is taken into account: it retries
/// within this time.
const TURNED_AWAY_TTL: Duration = Duration::from_millis(10_000);
/// How long a daemon that was unreachable or silent is not followed.
const UNREACHABLE_BACKOFF: Duration = Duration::from_millis(3_000);
/// How long a peer's freshness is remembered: heartbeats of a large fleet take 9 s to reach every
/// daemon.
const PEER_FRESHNESS_TTL: Duration = Duration::from_secs(30);
/// How many reports are forwarded about daemons of the group, and about others.
const MAX_FORWARDED: usize = 2;

/// Where this daemon learns of store changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SyncSource {
    /// From the store itself.
    Store,
    /// From a daemon that watches the store.
    Peer(SocketAddr),
    /// From nowhere: no peer is known to be usable, and the store must not be queried yet.
    Nobody,
}

/// The network distance to a daemon, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// In the same data hall.
    Hall,
    /// In another data hall of the same region.
    Region,
    /// In another region.
    Far,
}

/// The daemons that are up and not leaving, as far as this daemon knows.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerTopology {
    /// The daemons that share watchers, this daemon included, in the order in which they become
    /// watchers.
    pub group: Vec<SocketAddr>,
    /// All other daemons, the most suitable first.
    pub others: Vec<(SocketAddr, Distance)>,
}

/// Why a source was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceFailure {
    /// It could not be reached, or sent nothing for a while.
    Unreachable,
    /// It closed the connection.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Backoff {
    at: Time,
    until: Time,
}

/// Decides how a daemon keeps its copy of the store fresh: by watching the store or by following a
/// peer.
#[derive(Debug, Clone)]
pub struct SourceSelector {
    own_address: SocketAddr,
    timings: SyncTimings,
    peers: PeerFreshnessTable,
    backoffs: BTreeMap<SocketAddr, Backoff>,
    /// When the store rejected this daemon, if it has not responded since.
    turned_away_at: Option<Time>,
    /// The time since which all calls to the store have failed.
    failing_since: Option<Time>,
    source: SyncSource,
    /// When `source` was selected.
    selected_at: Time,
    /// The time since which no usable source is known.
    no_source_since: Option<Time>,
    /// The store responded, and this daemon has been watching it since.
    watches: bool,
}

impl SourceSelector {
    /// A selector that knows of no peers.
    pub fn new(own_address: SocketAddr, timings: SyncTimings) -> Self {
        Self {
            own_address,
            timings,
            peers: PeerFreshnessTable::default(),
            backoffs: BTreeMap::new(),
            turned_away_at: None,
            failing_since: None,
            source: SyncSource::Nobody,
            selected_at: Time(0),
            no_source_since: None,
            watches: false,
        }
    }

    /// The timings in use.
    pub fn timings(&self) -> SyncTimings {
        self.timings
    }

    /// Sets the timings.
    pub fn set_timings(&mut self, timings: SyncTimings) {
        self.timings = timings;
    }

    /// Returns true while this daemon watches the store and others may follow it.
    pub fn watches(&self) -> bool {
        self.watches
    }

    /// Records a heartbeat: the sender's own report, and the reports that it forwards.
    pub fn heard(&mut self, now: Time, own: &SyncReport, forwarded: &[SyncReport]) {
        self.peers.record_own(now, own);
        for report in forwarded.iter().filter(|report| report.address != self.own_address) {
            self.peers.record_forwarded(now, report);
        }
        let oldest = Time(now.0.saturating_sub(PEER_FRESHNESS_TTL.as_millis() as u64));
        self.peers.remove_before(oldest);
        self.backoffs.retain(|_, backoff| backoff.at >= oldest);
    }

    /// Records the reports in a daemon's response to a query sent at `asked_at`, its own report
    /// first. A daemon that does not watch the store names others that do.
    pub fn record_response(&mut self, now: Time, requested_at: Time, reports: &[SyncReport]) {
        for (index, report) in
            reports.iter().enumerate().filter(|(_, report)| report.address != self.own_address)
        {
            self.peers.record_response(now, requested_at, report, index == 0);
        }
    }

    /// Records that a source failed. It is followed again once it has had fresher state from the
    /// store.
    pub fn mark_failed(&mut self, now: Time, peer: SocketAddr, failure: SourceFailure) {
        let until = match failure {
            SourceFailure::Unreachable => now + UNREACHABLE_BACKOFF,
            SourceFailure::Ended => now,
        };
        self.backoffs.insert(peer, Backoff { at: now, until });
        self.source = SyncSource::Nobody;
    }

    /// Records that a daemon did not answer a query.
    pub fn mark_unresponsive(&mut self, now: Time, peer: SocketAddr) {
        self.backoffs.insert(peer, Backoff { at: now, until: now + UNREACHABLE_BACKOFF });
    }

    /// Clears all backoffs, since other daemons are reachable again.
    pub fn reconnected(&mut self) {
        self.backoffs.clear();
        self.turned_away_at = None;
    }

    /// Records that the store responded to a call.
    pub fn on_store_response(&mut self) {
        self.watches = true;
        self.turned_away_at = None;
        self.failing_since = None;
    }

    /// Records that a call to the store made at `asked_at` failed. A watcher tolerates failures for
    /// a while; any other daemon counts as rejected at once.
    pub fn on_store_failure(&mut self, now: Time, requested_at: Time) {
        let since = *self.failing_since.get_or_insert(requested_at);
        if self.watches && now.since(since) < self.timings.silence_timeout() {
            return;
        }
        self.turned_away_at = Some(now);
        self.watches = false;
    }

    /// Returns true while a daemon that failed recently must not be queried.
    pub fn is_in_backoff(&self, now: Time, peer: SocketAddr) -> bool {
        self.backoffs.get(&peer).is_some_and(|backoff| now < backoff.until)
    }

    /// The selected source.
    pub fn source(&self) -> SyncSource {
        self.source
    }

    /// Returns true if the store must not be queried now because it rejected this daemon. A daemon
    /// that others depend on and whose copy is stale retries sooner.
    fn is_turned_away(&self, now: Time, is_needed: bool) -> bool {
        let pause = if is_needed { NEEDED_STORE_RETRY_DELAY } else { STORE_RETRY_DELAY };
        self.turned_away_at.is_some_and(|at| now.since(at) < pause)
    }

    /// Where this daemon gets its updates from, as reported to others.
    pub fn state(&self) -> SyncState {
        match (self.watches, self.turned_away_at, self.source) {
            (true, _, _) => SyncState::Watches,
            (false, Some(_), _) => SyncState::TurnedAway,
            (false, None, SyncSource::Peer(_)) => SyncState::Follows,
            (false, None, _) => SyncState::Alone,
        }
    }

    /// Selects the source. `fresh_at` is the latest time at which this daemon's copy is proven
    /// complete, if there is a proof.
    pub fn select_source(
        &mut self,
        now: Time,
        topology: &PeerTopology,
        fresh_at: Option<i64>,
    ) -> SyncSource {
        let source = self.preferred_source(now, topology, fresh_at);
        if let SyncSource::Peer(followed) = self.source
            && source != self.source
            && self.is_stale(now, fresh_at)
        {
            // The daemon reports that it watches the store, but its updates did not arrive.
            self.mark_failed(now, followed, SourceFailure::Unreachable);
        }
        self.watches &= source == SyncSource::Store;
        self.no_source_since = match source {
            SyncSource::Nobody => self.no_source_since.or(Some(now)),
            SyncSource::Store | SyncSource::Peer(_) => None,
        };
        if source != self.source {
            self.selected_at = now;
        }
        self.source = source;
        source
    }

    fn is_stale(&self, now: Time, fresh_at: Option<i64>) -> bool {
        fresh_at.is_none_or(|at| {
            time_millis(now) - at >= duration_millis(self.timings.healthy_staleness())
        })
    }

    fn preferred_source(
        &self,
        now: Time,
        topology: &PeerTopology,
        fresh_at: Option<i64>,
    ) -> SyncSource {
        let rank = self.rank(now, topology);
        let may_query_store =
            !self.is_turned_away(now, rank < WATCHERS_PER_GROUP && self.is_stale(now, fresh_at));
        if may_query_store
            && (rank < WATCHERS_PER_GROUP || (self.watches && !self.is_redundant(now, topology)))
        {
            return SyncSource::Store;
        }
        let followed = match self.source {
            SyncSource::Peer(peer) if self.is_usable(now, topology, peer) => Some(peer),
            _ => None,
        };
        let is_recent = now.since(self.selected_at) < self.timings.first_response_timeout();
        if let Some(peer) = followed.filter(|_| is_recent) {
            return SyncSource::Peer(peer);
        }
        let fallback_delay = self.timings.fallback_delay(rank);
        let oldest =
            time_millis(now) - duration_millis(self.timings.healthy_staleness() + fallback_delay);
        if may_query_store && fresh_at.is_none_or(|at| at <= oldest) {
            return SyncSource::Store;
        }
        let source = match (followed, self.is_stale(now, fresh_at)) {
            (Some(peer), false) => self.nearer_watcher(now, topology, peer).or(Some(peer)),
            (Some(peer), true) => {
                self.freshest_watcher(now, topology, fresh_at, Some(peer)).or(Some(peer))
            }
            (None, _) => self.choose_watcher(now, topology, fresh_at),
        };
        let is_fallback_due =
            self.no_source_since.is_some_and(|since| now.since(since) >= fallback_delay);
        match source {
            Some(peer) => SyncSource::Peer(peer),
            None if may_query_store && is_fallback_due => SyncSource::Store,
            None => SyncSource::Nobody,
        }
    }

    /// The number of daemons of the group that come before this one and may watch the store.
    fn rank(&self, now: Time, topology: &PeerTopology) -> usize {
        self.ranked_before(topology).filter(|peer| !self.reports_turned_away(now, *peer)).count()
    }

    fn ranked_before<'a>(
        &self,
        topology: &'a PeerTopology,
    ) -> impl Iterator<Item = SocketAddr> + 'a {
        let own_address = self.own_address;
        topology.group.iter().copied().take_while(move |peer| *peer != own_address)
    }

    /// Returns true if enough daemons that come first are known to watch the store, so that this
    /// one need not.
    fn is_redundant(&self, now: Time, topology: &PeerTopology) -> bool {
        self.ranked_before(topology).filter(|peer| self.is_fresh_watcher(now, *peer)).count()
            >= WATCHERS_PER_GROUP
    }

    fn reports_turned_away(&self, now: Time, peer: SocketAddr) -> bool {
        self.peers.get(peer).is_some_and(|freshness| {
            let is_recent = now.since(freshness.received_at) < TURNED_AWAY_TTL;
            freshness.state == SyncState::TurnedAway && is_recent
        })
    }

    /// The time up to which a watching daemon's copy is known to be complete; `None` if it does not
    /// watch or has failed since.
    fn watcher_fresh_at(&self, now: Time, peer: SocketAddr) -> Option<i64> {
        let freshness = self.peers.get(peer)?;
        let fresh_at = freshness.fresh_at.filter(|_| freshness.state == SyncState::Watches)?;
        let in_backoff = self
            .backoffs
            .get(&peer)
            .is_some_and(|backoff| now < backoff.until || fresh_at <= time_millis(backoff.at));
        (!in_backoff).then_some(fresh_at)
    }

    fn is_fresh_watcher(&self, now: Time, peer: SocketAddr) -> bool {
        let oldest = time_millis(now) - duration_millis(self.timings.max_staleness());
        self.watcher_fresh_at(now, peer).is_some_and(|fresh_at| fresh_at >= oldest)
    }

    fn is_usable(&self, now: Time, topology: &PeerTopology, peer: SocketAddr) -> bool {
        let is_up = topology.others.iter().any(|(other, _)| *other == peer);
        is_up && self.watcher_fresh_at(now, peer).is_some()
    }

    /// The peer to follow: one of the first two among the nearest fresh watchers, alternating
    /// between followers; otherwise the watcher with the freshest copy, if it is fresher than the
    /// copy here.
    fn choose_watcher(
        &self,
        now: Time,
        topology: &PeerTopology,
        fresh_at: Option<i64>,
    ) -> Option<SocketAddr> {
        let nearest = [Distance::Hall, Distance::Region, Distance::Far];
        let fresh = nearest.into_iter().find_map(|distance| {
            let near =
                topology.others.iter().filter(|(_, peer_distance)| *peer_distance == distance);
            let fresh =
                near.map(|(peer, _)| *peer).filter(|peer| self.is_fresh_watcher(now, *peer));
            let first: Vec<SocketAddr> = fresh.take(WATCHERS_PER_GROUP).collect();
            first.get(self.group_index(topology) % first.len().max(1)).copied()
        });
        fresh.or_else(|| self.freshest_watcher(now, topology, fresh_at, None))
    }

    fn group_index(&self, topology: &PeerTopology) -> usize {
        topology.group.iter().position(|peer| *peer == self.own_address).unwrap_or_default()
    }

    /// A fresh watcher that is nearer than the followed daemon.
    fn nearer_watcher(
        &self,
        now: Time,
        topology: &PeerTopology,
        followed: SocketAddr,
    ) -> Option<SocketAddr> {
        let distance_to =
            |peer| topology.others.iter().find(|(other, _)| *other == peer).map(|other| other.1);
        let candidate = self.choose_watcher(now, topology, None)?;
        (distance_to(candidate) < distance_to(followed) && self.is_fresh_watcher(now, candidate))
            .then_some(candidate)
    }

    /// The watcher with the freshest known copy, if it is fresher than the copy here.
    fn freshest_watcher(
        &self,
        now: Time,
        topology: &PeerTopology,
        fresh_at: Option<i64>,
        excluded: Option<SocketAddr>,
    ) -> Option<SocketAddr> {
        let threshold =
            fresh_at.map_or(i64::MIN, |at| at + duration_millis(self.timings.query_interval()));
        let others = topology.others.iter().filter(|(peer, _)| Some(*peer) != excluded);
        let known = others.filter_map(|(peer, peer_distance)| {
            let fresh_at = self.watcher_fresh_at(now, *peer).filter(|at| *at > threshold)?;
            Some((fresh_at, std::cmp::Reverse(*peer_distance), *peer))
        });
        known.max().map(|(_, _, peer)| peer)
    }

    /// Up to `limit` daemons whose copies are provably fresher than the copy here, the freshest
    /// first. They are queried once, whether they watch the store or not.
    pub fn fresher_peers(
        &self,
        now: Time,
        topology: &PeerTopology,
        fresh_at: Option<i64>,
        limit: usize,
    ) -> Vec<SocketAddr> {
        let threshold =
            fresh_at.map_or(i64::MIN, |at| at + duration_millis(self.timings.query_interval()));
        let others = topology.others.iter().map(|(peer, _)| *peer);
        let mut known: Vec<(i64, SocketAddr)> = others
            .filter(|peer| !self.is_in_backoff(now, *peer))
            .filter_map(|peer| Some((self.peers.get(peer)?.fresh_at?, peer)))
            .filter(|(at, _)| *at > threshold)
            .collect();
        known.sort_unstable_by(|a, b| b.cmp(a));
        known.into_iter().take(limit).map(|(_, peer)| peer).collect()
    }

    /// Reports to forward: the freshest watchers of the group and the freshest of the other
    /// daemons.
    pub fn reports_to_forward(&self, now: Time, topology: &PeerTopology) -> Vec<SyncReport> {
        let mut known: Vec<(i64, SocketAddr, &PeerFreshness)> = self
            .peers
            .iter()
            .filter_map(|(peer, freshness)| {
                Some((self.watcher_fresh_at(now, peer)?, peer, freshness))
            })
            .collect();
        known.sort_unstable_by_key(|(fresh_at, peer, _)| (std::cmp::Reverse(*fresh_at), *peer));
        let (near, far): (Vec<_>, Vec<_>) =
            known.into_iter().partition(|(_, peer, _)| topology.group.contains(peer));
        let forwarded =
            near.into_iter().take(MAX_FORWARDED).chain(far.into_iter().take(MAX_FORWARDED));
        forwarded
            .map(|(fresh_at, address, freshness)| SyncReport {
                address,
                incarnation: freshness.incarnation,
                age_ms: u32::try_from(time_millis(now) - fresh_at).ok(),
                standing: freshness.state,
            })
            .collect()
    }
}
