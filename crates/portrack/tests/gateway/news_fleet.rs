//! A simulated fleet of daemons that learn from a store and from each other. The daemons use the
//! product's source selection; connections and datagrams are simulated.

use portrack::Time;
use portrack::gateway::{
    Distance, FreshnessProof, PeerTopology, SourceFailure, SourceSelector, SyncReport, SyncSource,
    SyncTimings,
};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The simulation step, in milliseconds.
pub const STEP: u64 = 25;
const HEARTBEAT_INTERVAL: u64 = 300;
const FAN_OUT: usize = 12;
const STORE_TIMEOUT: u64 = 1_200;
const SINGLE_GROUP_LIMIT: usize = 12;
/// Number of daemons outside its group that a daemon notifies immediately when it has reached the
/// store again.
const MAX_IMMEDIATE_NOTICES: usize = 64;
/// Percentage of datagrams that are lost, and that arrive late.
const LOSS_PERCENT: u32 = 10;
const DELAY_PERCENT: u32 = 3;

/// How the store responds to one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    Served,
    Rejected,
    Silent,
}

#[derive(Debug, Clone)]
enum Activity {
    Idle {
        until: u64,
    },
    /// Waiting for the store; `answer` is the time of its response, if it responds.
    Querying {
        requested_at: u64,
        wait: u64,
        response_at: Option<u64>,
    },
    Pausing {
        until: u64,
    },
    Following(Feed),
}

#[derive(Debug, Clone)]
struct Feed {
    source: usize,
    incarnation: u64,
    queried_at: u64,
    frame_at: u64,
    sent_proof: Option<i64>,
    checked_at: u64,
}

struct Reply {
    at: u64,
    from: usize,
    requested_at: u64,
    /// The age of the peer's proof; the outer `None` stands for no response.
    age: Option<Option<u32>>,
    /// The time up to which the peer's copy is complete.
    complete_until: u64,
}

struct Node {
    hall: usize,
    up: bool,
    incarnation: u64,
    started_at: u64,
    partition: usize,
    access: Access,
    /// The times since which the daemon is up, in its partition, and served by the store.
    up_since: u64,
    partition_since: u64,
    access_since: u64,
    selector: SourceSelector,
    proof: FreshnessProof,
    /// The time up to which its copy is actually complete.
    complete_until: u64,
    activity: Activity,
    replies: Vec<Reply>,
    last_heard: BTreeMap<usize, u64>,
    last_received: u64,
    next_target: usize,
    watched_since: Option<u64>,
}

struct Datagram {
    at: u64,
    from: usize,
    to: usize,
    reports: Vec<SyncReport>,
}

/// A simulated fleet.
pub struct Fleet {
    pub now: u64,
    pub calls: u64,
    pub timings: SyncTimings,
    nodes: Vec<Node>,
    regions: Vec<usize>,
    datagrams: Vec<Datagram>,
    random: SmallRng,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000))
}

fn node_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("all addresses are IPv4") };
    let octets = address.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3])
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

impl Fleet {
    /// Creates daemons spread over halls; `regions` lists the region of each hall.
    pub fn new(seed: u64, daemons: usize, regions: Vec<usize>, within: Duration) -> Self {
        let timings = SyncTimings::new(within);
        let node = |n: usize| Node {
            hall: n % regions.len(),
            up: true,
            incarnation: 1,
            started_at: 0,
            partition: 0,
            access: Access::Served,
            up_since: 0,
            partition_since: 0,
            access_since: 0,
            selector: SourceSelector::new(address(n), timings),
            proof: FreshnessProof::default(),
            complete_until: 0,
            activity: Activity::Idle { until: 0 },
            replies: Vec::new(),
            last_heard: BTreeMap::new(),
            last_received: 0,
            next_target: n * 7,
            watched_since: None,
        };
        let nodes = (0..daemons).map(node).collect();
        let random = SmallRng::seed_from_u64(seed);
        Self { now: 0, calls: 0, timings, nodes, regions, datagrams: Vec::new(), random }
    }

    pub fn random(&mut self) -> &mut SmallRng {
        &mut self.random
    }

    pub fn count(&self) -> usize {
        self.nodes.len()
    }

    pub fn hall(&self, node: usize) -> usize {
        self.nodes[node].hall
    }

    pub fn watching(&self) -> Vec<usize> {
        (0..self.count()).filter(|n| self.nodes[*n].selector.watches()).collect()
    }

    /// Changes how the store responds to a daemon.
    pub fn set_access(&mut self, node: usize, access: Access) {
        let state = &mut self.nodes[node];
        if state.access != access {
            state.access = access;
            state.access_since = self.now;
        }
    }

    /// Moves a daemon into a partition. Only daemons of the same partition reach each other; the
    /// store is in partition 0.
    pub fn set_partition(&mut self, node: usize, partition: usize) {
        let state = &mut self.nodes[node];
        if state.partition != partition {
            state.partition = partition;
            state.partition_since = self.now;
        }
    }

    /// Kills a daemon.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
        self.nodes[node].up_since = self.now;
        self.nodes[node].watched_since = None;
    }

    /// Starts a daemon with a new clock.
    pub fn start(&mut self, node: usize) {
        let now = self.now;
        let timings = self.timings;
        let state = &mut self.nodes[node];
        state.up = true;
        state.incarnation += 1;
        (state.started_at, state.up_since) = (now, now);
        state.selector = SourceSelector::new(address(node), timings);
        state.proof = FreshnessProof::default();
        state.complete_until = 0;
        state.activity = Activity::Idle { until: now };
        state.replies.clear();
        state.last_heard.clear();
        state.last_received = now;
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up
    }

    fn is_linked(&self, a: usize, b: usize) -> bool {
        self.nodes[a].partition == self.nodes[b].partition
    }

    fn store_access(&self, node: usize) -> Access {
        match self.nodes[node].partition {
            0 => self.nodes[node].access,
            _ => Access::Silent,
        }
    }

    fn local_time(&self, node: usize) -> Time {
        Time(self.now - self.nodes[node].started_at)
    }

    fn heartbeat_round(&self, node: usize) -> u64 {
        HEARTBEAT_INTERVAL * self.nodes[node].last_heard.len().div_ceil(FAN_OUT).max(1) as u64
    }

    fn topology(&self, node: usize) -> PeerTopology {
        let expiry = 3_000.max(self.heartbeat_round(node) * 5);
        let state = &self.nodes[node];
        let up = state
            .last_heard
            .iter()
            .filter(|(_, at)| self.now - **at < expiry)
            .map(|(peer, _)| *peer);
        let distance = |peer: usize| {
            let hall = self.nodes[peer].hall;
            match (hall == state.hall, self.regions[hall] == self.regions[state.hall]) {
                (true, _) => Distance::Hall,
                (false, true) => Distance::Region,
                (false, false) => Distance::Far,
            }
        };
        let others: Vec<(usize, Distance)> = up.map(|peer| (peer, distance(peer))).collect();
        let small = others.iter().filter(|(_, distance)| *distance != Distance::Far).count()
            < SINGLE_GROUP_LIMIT;
        let farthest = if small { Distance::Region } else { Distance::Hall };
        let near =
            others.iter().filter(|(_, distance)| *distance <= farthest).map(|(peer, _)| *peer);
        let mut group: Vec<usize> = near.chain([node]).collect();
        group.sort_unstable();
        PeerTopology {
            group: group.into_iter().map(address).collect(),
            others: others.into_iter().map(|(peer, distance)| (address(peer), distance)).collect(),
        }
    }

    fn own_sync_report(&self, node: usize) -> SyncReport {
        let state = &self.nodes[node];
        SyncReport {
            address: address(node),
            incarnation: state.incarnation,
            age_ms: state.proof.age_for_peer(self.local_time(node)),
            standing: state.selector.state(),
        }
    }

    fn reports(&self, node: usize) -> Vec<SyncReport> {
        let forwarded = self.nodes[node]
            .selector
            .reports_to_forward(self.local_time(node), &self.topology(node));
        std::iter::once(self.own_sync_report(node)).chain(forwarded).collect()
    }

    fn select_source(&mut self, node: usize) -> SyncSource {
        let (topology, local) = (self.topology(node), self.local_time(node));
        let watched = self.nodes[node].selector.watches();
        let state = &mut self.nodes[node];
        let source = state.selector.select_source(local, &topology, state.proof.proven_at());
        self.announce_watching(node, watched, false);
        source
    }

    fn announce_watching(&mut self, node: usize, before: bool, was_stale: bool) {
        let watches = self.nodes[node].selector.watches();
        if watches == before {
            return;
        }
        self.nodes[node].watched_since = watches.then_some(self.now);
        let PeerTopology { group, others } = self.topology(node);
        let others = others.into_iter().map(|(peer, _)| peer).filter(|peer| !group.contains(peer));
        let limit = if was_stale { MAX_IMMEDIATE_NOTICES } else { 0 };
        let targets = group.iter().copied().chain(others.take(limit));
        let targets: Vec<usize> = targets.map(node_of).filter(|peer| *peer != node).collect();
        self.send(node, &targets);
    }

    fn send(&mut self, from: usize, to: &[usize]) {
        let reports = self.reports(from);
        for to in to {
            if self.random.random_range(0..100) < LOSS_PERCENT || !self.is_linked(from, *to) {
                continue;
            }
            let delay = match self.random.random_range(0..100) < DELAY_PERCENT {
                true => self.random.random_range(200..3_000),
                false => self.random.random_range(1..40),
            };
            let reports = reports.clone();
            self.datagrams.push(Datagram { at: self.now + delay, from, to: *to, reports });
        }
    }

    fn send_heartbeat(&mut self, node: usize) {
        if !(self.now + node as u64 * STEP).is_multiple_of(HEARTBEAT_INTERVAL) {
            return;
        }
        let count = self.count();
        let targets = FAN_OUT.min(count - 1);
        let start = self.nodes[node].next_target;
        self.nodes[node].next_target += targets;
        let others: Vec<usize> = (0..count).filter(|peer| *peer != node).collect();
        let to: Vec<usize> = (0..targets).map(|n| others[(start + n) % others.len()]).collect();
        self.send(node, &to);
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) =
            std::mem::take(&mut self.datagrams).into_iter().partition(|d| d.at <= now);
        self.datagrams = later;
        let due: Vec<Datagram> = due;
        for datagram in due {
            let local = Time(now.saturating_sub(self.nodes[datagram.to].started_at));
            let state = &mut self.nodes[datagram.to];
            if !state.up || datagram.reports[0].incarnation == 0 {
                continue;
            }
            if now - state.last_received >= 900 {
                state.selector.reconnected();
            }
            state.last_received = now;
            state.last_heard.insert(datagram.from, now);
            let (own, others) = datagram.reports.split_first().expect("the own report comes first");
            state.selector.heard(local, own, others);
        }
    }

    /// Advances the simulation by one step.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let mut order: Vec<usize> = (0..self.count()).filter(|n| self.nodes[*n].up).collect();
        order.shuffle(&mut self.random);
        for node in order {
            self.send_heartbeat(node);
            self.advance(node);
            self.catch_up_from_peers(node);
        }
    }

    fn advance(&mut self, node: usize) {
        match self.nodes[node].activity.clone() {
            Activity::Idle { until } | Activity::Pausing { until } if self.now < until => {}
            Activity::Idle { .. } | Activity::Pausing { .. } => self.start_activity(node),
            Activity::Querying { requested_at, wait, response_at } => {
                self.poll_store(node, requested_at, wait, response_at)
            }
            Activity::Following(feed) => self.follow(node, feed),
        }
    }

    fn start_activity(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].activity = match self.select_source(node) {
            SyncSource::Nobody => {
                Activity::Idle { until: now + millis(self.timings.response_time()) }
            }
            SyncSource::Store => {
                self.calls += 1;
                let watches = self.nodes[node].selector.watches();
                let wait = if watches { millis(self.timings.watch_timeout()) } else { 0 };
                let delay = self.random.random_range(1..40);
                let response_at = match self.store_access(node) {
                    Access::Served => Some(now + wait + delay),
                    Access::Rejected => Some(now + delay),
                    Access::Silent => None,
                };
                Activity::Querying { requested_at: now, wait, response_at }
            }
            SyncSource::Peer(peer) => {
                let source = node_of(peer);
                let incarnation = self.nodes[source].incarnation;
                let sent_proof = None;
                let (queried_at, frame_at, checked_at) = (now, now, now);
                Activity::Following(Feed {
                    source,
                    incarnation,
                    queried_at,
                    frame_at,
                    sent_proof,
                    checked_at,
                })
            }
        };
    }

    fn poll_store(&mut self, node: usize, requested_at: u64, wait: u64, response_at: Option<u64>) {
        let now = self.now;
        let local = self.local_time(node);
        let watched = self.nodes[node].selector.watches();
        if response_at.is_some_and(|at| now >= at) && self.store_access(node) == Access::Served {
            let was_stale =
                !self.nodes[node].proof.is_within(local, self.timings.healthy_staleness());
            let state = &mut self.nodes[node];
            state.proof.renew(Time(requested_at - state.started_at));
            // The store read its state one step before its response arrived.
            state.complete_until = state.complete_until.max(now - STEP);
            state.selector.on_store_response();
            state.activity =
                Activity::Pausing { until: now + millis(self.timings.max_watch_pause()) };
            self.announce_watching(node, watched, was_stale);
            return;
        }
        let rejected = self.store_access(node) == Access::Rejected;
        let is_stale = !self.nodes[node].proof.is_within(local, self.timings.healthy_staleness());
        let overdue =
            is_stale && now >= requested_at + wait + millis(self.timings.silence_timeout());
        let topology = self.topology(node);
        let state = &mut self.nodes[node];
        let fresh_at = state.proof.proven_at();
        let overtaken =
            overdue && !state.selector.fresher_peers(local, &topology, fresh_at, 1).is_empty();
        if rejected || overtaken || now >= requested_at + wait + STORE_TIMEOUT {
            state
                .selector
                .on_store_failure(local, Time(requested_at.saturating_sub(state.started_at)));
            state.activity = match state.selector.watches() {
                true => Activity::Pausing { until: now + 100 },
                false => Activity::Idle { until: now },
            };
            self.announce_watching(node, watched, false);
        }
    }

    fn drop_source(&mut self, node: usize, source: usize, failure: SourceFailure) {
        let (now, local) = (self.now, self.local_time(node));
        let state = &mut self.nodes[node];
        let until = match now - state.last_received >= 900 {
            true => now + 400,
            false => {
                state.selector.mark_failed(local, address(source), failure);
                now
            }
        };
        state.activity = Activity::Idle { until };
    }

    fn follow(&mut self, node: usize, mut feed: Feed) {
        let now = self.now;
        let source = feed.source;
        if !self.is_linked(node, source) {
            let timeout = match feed.sent_proof {
                None => self.timings.first_response_timeout(),
                Some(_) => self.timings.silence_timeout(),
            };
            if now - feed.frame_at >= millis(timeout) {
                return self.drop_source(node, source, SourceFailure::Unreachable);
            }
        } else if !self.nodes[source].up || self.nodes[source].incarnation != feed.incarnation {
            return self.drop_source(node, source, SourceFailure::Ended);
        } else if !self.nodes[source].selector.watches() {
            let reports = self.reports(source);
            let (local, queried_at) =
                (self.local_time(node), Time(feed.queried_at - self.nodes[node].started_at));
            self.nodes[node].selector.record_response(local, queried_at, &reports);
            return self.drop_source(node, source, SourceFailure::Ended);
        } else {
            self.receive_frame(node, &mut feed);
        }
        if now - feed.checked_at >= millis(self.timings.response_time()) {
            feed.checked_at = now;
            if self.select_source(node) != SyncSource::Peer(address(source)) {
                self.nodes[node].activity = Activity::Idle { until: now };
                return;
            }
        }
        if now - feed.queried_at >= millis(self.timings.query_interval()) {
            feed.queried_at = now;
        }
        self.nodes[node].activity = Activity::Following(feed);
    }

    fn receive_frame(&mut self, node: usize, feed: &mut Feed) {
        let now = self.now;
        let proof = self.nodes[feed.source].proof.proven_at();
        let waited = now - feed.frame_at;
        let every = 100.min(millis(self.timings.response_time()));
        let due = waited >= millis(self.timings.query_interval());
        // A query takes one step to arrive.
        if feed.queried_at == now || !(due || (proof != feed.sent_proof && waited >= every)) {
            return;
        }
        (feed.frame_at, feed.sent_proof) = (now, proof);
        let received_at =
            Time(feed.queried_at + STEP - self.nodes[feed.source].started_at.min(feed.queried_at));
        let age = self.nodes[feed.source].proof.age_for_peer(received_at);
        let complete_until = self.nodes[feed.source].complete_until;
        let reports = [SyncReport { age_ms: age, ..self.own_sync_report(feed.source) }];
        let local = self.local_time(node);
        let state = &mut self.nodes[node];
        let queried_at = Time(feed.queried_at - state.started_at);
        let Some(age) = age else { return };
        state.complete_until = state.complete_until.max(complete_until);
        state.proof.renew_from_peer(queried_at, Duration::from_millis(age.into()));
        state.selector.record_response(local, queried_at, &reports);
    }

    fn catch_up_from_peers(&mut self, node: usize) {
        let (now, local) = (self.now, self.local_time(node));
        let ready: Vec<Reply> = {
            let state = &mut self.nodes[node];
            let (ready, later) =
                std::mem::take(&mut state.replies).into_iter().partition(|reply| reply.at <= now);
            state.replies = later;
            ready
        };
        for reply in ready {
            let state = &mut self.nodes[node];
            match reply.age {
                None => state.selector.mark_unresponsive(local, address(reply.from)),
                Some(None) => {}
                Some(Some(age)) => {
                    let queried_at = Time(reply.requested_at - state.started_at);
                    state.complete_until = state.complete_until.max(reply.complete_until);
                    state.proof.renew_from_peer(queried_at, Duration::from_millis(age.into()));
                }
            }
        }
        let state = &self.nodes[node];
        let fresh = state.proof.is_within(local, self.timings.healthy_staleness());
        if fresh
            || !state.replies.is_empty()
            || !now.is_multiple_of(millis(self.timings.response_time()))
        {
            return;
        }
        let topology = self.topology(node);
        let peers = state.selector.fresher_peers(local, &topology, state.proof.proven_at(), 3);
        for from in peers.into_iter().map(node_of) {
            let responds = self.nodes[from].up && self.is_linked(node, from);
            let age = responds.then(|| self.nodes[from].proof.age_for_peer(self.local_time(from)));
            let at =
                now + if responds { STEP } else { millis(self.timings.first_response_timeout()) };
            let complete_until = self.nodes[from].complete_until;
            self.nodes[node].replies.push(Reply {
                at,
                from,
                requested_at: now,
                age,
                complete_until,
            });
        }
    }

    /// The age of a daemon's proof; `None` without a proof.
    pub fn age(&self, node: usize) -> Option<u64> {
        self.nodes[node].proof.age(self.local_time(node)).map(millis)
    }

    /// By how many milliseconds a daemon's proof claims more than its copy contains; 0 if the proof
    /// is valid.
    pub fn overclaim(&self, node: usize) -> u64 {
        let state = &self.nodes[node];
        let Some(proven_at) = state.proof.proven_at() else { return 0 };
        let claimed = proven_at + state.started_at as i64;
        u64::try_from(claimed - state.complete_until as i64).unwrap_or(0)
    }

    /// The daemons that have been up for `contact` milliseconds and could reach the store, or a
    /// daemon that the store served, all that time.
    pub fn connected(&self, duration: u64) -> Vec<usize> {
        let before = |since: u64| since + duration <= self.now;
        let steady = |n: &usize| {
            let state = &self.nodes[*n];
            state.up && before(state.up_since) && before(state.partition_since)
        };
        let steady: Vec<usize> = (0..self.count()).filter(steady).collect();
        let serving = steady.iter().any(|n| {
            let state = &self.nodes[*n];
            state.partition == 0 && state.access == Access::Served && before(state.access_since)
        });
        let connected = steady.into_iter().filter(|n| serving && self.nodes[*n].partition == 0);
        connected.collect()
    }

    /// Returns true if the store has served a daemon itself all that time.
    pub fn is_served(&self, node: usize, duration: u64) -> bool {
        let state = &self.nodes[node];
        state.access == Access::Served && state.access_since + duration <= self.now
    }

    /// Describes what a daemon does, for test messages.
    pub fn describe(&self, node: usize) -> String {
        let state = &self.nodes[node];
        format!(
            "{:?} {:?} hall {} {:?}",
            state.activity,
            state.access,
            state.hall,
            state.selector.source()
        )
    }
}
