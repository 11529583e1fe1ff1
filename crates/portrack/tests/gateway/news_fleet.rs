//! A fleet of daemons that learn from a store and from each other, in simulated time: their decisions
//! are the product's, their connections and datagrams are this model's.

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

/// The model's step, in milliseconds.
pub const STEP: u64 = 25;
const BEAT: u64 = 300;
const FAN_OUT: usize = 12;
const STORE_PATIENCE: u64 = 1_200;
const SMALL_REGION: usize = 12;
/// Daemons beyond its group that one which has found the store again tells at once.
const TOLD_AT_ONCE: usize = 64;
/// Datagrams that are lost, and that come late, of a hundred.
const LOST: u32 = 10;
const LATE: u32 = 3;

/// How the store treats one daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Access {
    Open,
    Refuses,
    Silent,
}

#[derive(Debug, Clone)]
enum Doing {
    Nothing {
        until: u64,
    },
    /// Asked the store; `answer` is when it answers, and whether it does.
    Asking {
        asked_at: u64,
        wait: u64,
        answer: Option<u64>,
    },
    Pausing {
        until: u64,
    },
    Following(Feed),
}

#[derive(Debug, Clone)]
struct Feed {
    source: usize,
    life: u64,
    question: u64,
    frame_at: u64,
    told: Option<i64>,
    looked_at: u64,
}

struct Reply {
    at: u64,
    from: usize,
    asked_at: u64,
    /// The age of the other's proof, or no answer.
    age: Option<Option<u32>>,
    /// Up to when the other knew everything.
    knows: u64,
}

struct Node {
    hall: usize,
    up: bool,
    life: u64,
    born: u64,
    part: usize,
    access: Access,
    /// Since when it has been up, in its part, and served by the store.
    up_since: u64,
    part_since: u64,
    open_since: u64,
    course: SourceSelector,
    proof: FreshnessProof,
    /// Up to when it really knows everything.
    knows: u64,
    doing: Doing,
    replies: Vec<Reply>,
    heard: BTreeMap<usize, u64>,
    heard_any: u64,
    turn: usize,
    watched_since: Option<u64>,
}

struct Datagram {
    at: u64,
    from: usize,
    to: usize,
    reports: Vec<SyncReport>,
}

/// The fleet.
pub struct Fleet {
    pub now: u64,
    pub calls: u64,
    pub bounds: SyncTimings,
    nodes: Vec<Node>,
    regions: Vec<usize>,
    datagrams: Vec<Datagram>,
    random: SmallRng,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000))
}

fn node_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("all are of version 4") };
    let octets = address.ip().octets();
    usize::from(octets[2]) * 250 + usize::from(octets[3])
}

fn millis(span: Duration) -> u64 {
    span.as_millis() as u64
}

impl Fleet {
    /// Daemons spread over halls, whose regions are given.
    pub fn new(seed: u64, daemons: usize, regions: Vec<usize>, within: Duration) -> Self {
        let bounds = SyncTimings::new(within);
        let node = |n: usize| Node {
            hall: n % regions.len(),
            up: true,
            life: 1,
            born: 0,
            part: 0,
            access: Access::Open,
            up_since: 0,
            part_since: 0,
            open_since: 0,
            course: SourceSelector::new(address(n), bounds),
            proof: FreshnessProof::default(),
            knows: 0,
            doing: Doing::Nothing { until: 0 },
            replies: Vec::new(),
            heard: BTreeMap::new(),
            heard_any: 0,
            turn: n * 7,
            watched_since: None,
        };
        let nodes = (0..daemons).map(node).collect();
        let random = SmallRng::seed_from_u64(seed);
        Self { now: 0, calls: 0, bounds, nodes, regions, datagrams: Vec::new(), random }
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
        (0..self.count()).filter(|n| self.nodes[*n].course.watches()).collect()
    }

    /// The store treats a daemon otherwise from now on.
    pub fn set_access(&mut self, node: usize, access: Access) {
        let held = &mut self.nodes[node];
        if held.access != access {
            held.access = access;
            held.open_since = self.now;
        }
    }

    /// A daemon hears only those of the same part from now on; the store is in part 0.
    pub fn set_part(&mut self, node: usize, part: usize) {
        let held = &mut self.nodes[node];
        if held.part != part {
            held.part = part;
            held.part_since = self.now;
        }
    }

    /// A daemon is killed.
    pub fn kill(&mut self, node: usize) {
        self.nodes[node].up = false;
        self.nodes[node].up_since = self.now;
        self.nodes[node].watched_since = None;
    }

    /// A daemon starts, with a clock of its own.
    pub fn start(&mut self, node: usize) {
        let now = self.now;
        let bounds = self.bounds;
        let held = &mut self.nodes[node];
        held.up = true;
        held.life += 1;
        (held.born, held.up_since) = (now, now);
        held.course = SourceSelector::new(address(node), bounds);
        held.proof = FreshnessProof::default();
        held.knows = 0;
        held.doing = Doing::Nothing { until: now };
        held.replies.clear();
        held.heard.clear();
        held.heard_any = now;
    }

    pub fn is_up(&self, node: usize) -> bool {
        self.nodes[node].up
    }

    fn linked(&self, one: usize, other: usize) -> bool {
        self.nodes[one].part == self.nodes[other].part
    }

    fn served(&self, node: usize) -> Access {
        match self.nodes[node].part {
            0 => self.nodes[node].access,
            _ => Access::Silent,
        }
    }

    fn local(&self, node: usize) -> Time {
        Time(self.now - self.nodes[node].born)
    }

    fn round(&self, node: usize) -> u64 {
        BEAT * self.nodes[node].heard.len().div_ceil(FAN_OUT).max(1) as u64
    }

    fn around(&self, node: usize) -> PeerTopology {
        let gone = 3_000.max(self.round(node) * 5);
        let me = &self.nodes[node];
        let up = me.heard.iter().filter(|(_, at)| self.now - **at < gone).map(|(peer, _)| *peer);
        let distance = |peer: usize| {
            let hall = self.nodes[peer].hall;
            match (hall == me.hall, self.regions[hall] == self.regions[me.hall]) {
                (true, _) => Distance::Hall,
                (false, true) => Distance::Region,
                (false, false) => Distance::Far,
            }
        };
        let others: Vec<(usize, Distance)> = up.map(|peer| (peer, distance(peer))).collect();
        let small = others.iter().filter(|(_, off)| *off != Distance::Far).count() < SMALL_REGION;
        let farthest = if small { Distance::Region } else { Distance::Hall };
        let near = others.iter().filter(|(_, off)| *off <= farthest).map(|(peer, _)| *peer);
        let mut group: Vec<usize> = near.chain([node]).collect();
        group.sort_unstable();
        PeerTopology {
            group: group.into_iter().map(address).collect(),
            others: others.into_iter().map(|(peer, off)| (address(peer), off)).collect(),
        }
    }

    fn own_sync_report(&self, node: usize) -> SyncReport {
        let held = &self.nodes[node];
        SyncReport {
            address: address(node),
            incarnation: held.life,
            age_ms: held.proof.age_for_peer(self.local(node)),
            standing: held.course.standing(),
        }
    }

    fn reports(&self, node: usize) -> Vec<SyncReport> {
        let told = self.nodes[node].course.to_tell(self.local(node), &self.around(node));
        std::iter::once(self.own_sync_report(node)).chain(told).collect()
    }

    fn decide(&mut self, node: usize) -> SyncSource {
        let (around, local) = (self.around(node), self.local(node));
        let watched = self.nodes[node].course.watches();
        let held = &mut self.nodes[node];
        let source = held.course.decide(local, &around, held.proof.proven_at());
        self.note_watching(node, watched, false);
        source
    }

    fn note_watching(&mut self, node: usize, before: bool, had_old_news: bool) {
        let watches = self.nodes[node].course.watches();
        if watches == before {
            return;
        }
        self.nodes[node].watched_since = watches.then_some(self.now);
        let PeerTopology { group, others } = self.around(node);
        let others = others.into_iter().map(|(peer, _)| peer).filter(|peer| !group.contains(peer));
        let far = if had_old_news { TOLD_AT_ONCE } else { 0 };
        let told = group.iter().copied().chain(others.take(far));
        let told: Vec<usize> = told.map(node_of).filter(|peer| *peer != node).collect();
        self.send(node, &told);
    }

    fn send(&mut self, from: usize, to: &[usize]) {
        let reports = self.reports(from);
        for to in to {
            if self.random.random_range(0..100) < LOST || !self.linked(from, *to) {
                continue;
            }
            let way = match self.random.random_range(0..100) < LATE {
                true => self.random.random_range(200..3_000),
                false => self.random.random_range(1..40),
            };
            let reports = reports.clone();
            self.datagrams.push(Datagram { at: self.now + way, from, to: *to, reports });
        }
    }

    fn beat(&mut self, node: usize) {
        if !(self.now + node as u64 * STEP).is_multiple_of(BEAT) {
            return;
        }
        let count = self.count();
        let targets = FAN_OUT.min(count - 1);
        let start = self.nodes[node].turn;
        self.nodes[node].turn += targets;
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
            let local = Time(now.saturating_sub(self.nodes[datagram.to].born));
            let held = &mut self.nodes[datagram.to];
            if !held.up || datagram.reports[0].incarnation == 0 {
                continue;
            }
            if now - held.heard_any >= 900 {
                held.course.reconnected();
            }
            held.heard_any = now;
            held.heard.insert(datagram.from, now);
            let (own, others) = datagram.reports.split_first().expect("its own comes first");
            held.course.heard(local, own, others);
        }
    }

    /// One step of time.
    pub fn step(&mut self) {
        self.now += STEP;
        self.deliver();
        let mut order: Vec<usize> = (0..self.count()).filter(|n| self.nodes[*n].up).collect();
        order.shuffle(&mut self.random);
        for node in order {
            self.beat(node);
            self.act(node);
            self.ask_peers(node);
        }
    }

    fn act(&mut self, node: usize) {
        match self.nodes[node].doing.clone() {
            Doing::Nothing { until } | Doing::Pausing { until } if self.now < until => {}
            Doing::Nothing { .. } | Doing::Pausing { .. } => self.begin(node),
            Doing::Asking { asked_at, wait, answer } => {
                self.hear_store(node, asked_at, wait, answer)
            }
            Doing::Following(feed) => self.follow(node, feed),
        }
    }

    fn begin(&mut self, node: usize) {
        let now = self.now;
        self.nodes[node].doing = match self.decide(node) {
            SyncSource::Nobody => Doing::Nothing { until: now + millis(self.bounds.answer()) },
            SyncSource::Store => {
                self.calls += 1;
                let watches = self.nodes[node].course.watches();
                let wait = if watches { millis(self.bounds.watch()) } else { 0 };
                let way = self.random.random_range(1..40);
                let answer = match self.served(node) {
                    Access::Open => Some(now + wait + way),
                    Access::Refuses => Some(now + way),
                    Access::Silent => None,
                };
                Doing::Asking { asked_at: now, wait, answer }
            }
            SyncSource::Peer(peer) => {
                let source = node_of(peer);
                let life = self.nodes[source].life;
                let told = None;
                let (question, frame_at, looked_at) = (now, now, now);
                Doing::Following(Feed { source, life, question, frame_at, told, looked_at })
            }
        };
    }

    fn hear_store(&mut self, node: usize, asked_at: u64, wait: u64, answer: Option<u64>) {
        let now = self.now;
        let local = self.local(node);
        let watched = self.nodes[node].course.watches();
        if answer.is_some_and(|at| now >= at) && self.served(node) == Access::Open {
            let had_old_news = !self.nodes[node].proof.is_within(local, self.bounds.calm());
            let held = &mut self.nodes[node];
            held.proof.renew(Time(asked_at - held.born));
            // The store read its state one step before its answer came.
            held.knows = held.knows.max(now - STEP);
            held.course.store_answered();
            held.doing = Doing::Pausing { until: now + millis(self.bounds.pause()) };
            self.note_watching(node, watched, had_old_news);
            return;
        }
        let refused = self.served(node) == Access::Refuses;
        let is_old = !self.nodes[node].proof.is_within(local, self.bounds.calm());
        let late = is_old && now >= asked_at + wait + millis(self.bounds.silent());
        let around = self.around(node);
        let held = &mut self.nodes[node];
        let known_at = held.proof.proven_at();
        let outrun = late && !held.course.know_more(local, &around, known_at, 1).is_empty();
        if refused || outrun || now >= asked_at + wait + STORE_PATIENCE {
            held.course.store_failed(local, Time(asked_at.saturating_sub(held.born)));
            held.doing = match held.course.watches() {
                true => Doing::Pausing { until: now + 100 },
                false => Doing::Nothing { until: now },
            };
            self.note_watching(node, watched, false);
        }
    }

    fn leave(&mut self, node: usize, source: usize, why: SourceFailure) {
        let (now, local) = (self.now, self.local(node));
        let held = &mut self.nodes[node];
        let until = match now - held.heard_any >= 900 {
            true => now + 400,
            false => {
                held.course.left(local, address(source), why);
                now
            }
        };
        held.doing = Doing::Nothing { until };
    }

    fn follow(&mut self, node: usize, mut feed: Feed) {
        let now = self.now;
        let source = feed.source;
        if !self.linked(node, source) {
            let silent = match feed.told {
                None => self.bounds.patience(),
                Some(_) => self.bounds.silent(),
            };
            if now - feed.frame_at >= millis(silent) {
                return self.leave(node, source, SourceFailure::Unreachable);
            }
        } else if !self.nodes[source].up || self.nodes[source].life != feed.life {
            return self.leave(node, source, SourceFailure::Ended);
        } else if !self.nodes[source].course.watches() {
            let reports = self.reports(source);
            let (local, asked) = (self.local(node), Time(feed.question - self.nodes[node].born));
            self.nodes[node].course.redirected(local, asked, &reports);
            return self.leave(node, source, SourceFailure::Ended);
        } else {
            self.take_frame(node, &mut feed);
        }
        if now - feed.looked_at >= millis(self.bounds.answer()) {
            feed.looked_at = now;
            if self.decide(node) != SyncSource::Peer(address(source)) {
                self.nodes[node].doing = Doing::Nothing { until: now };
                return;
            }
        }
        if now - feed.question >= millis(self.bounds.question()) {
            feed.question = now;
        }
        self.nodes[node].doing = Doing::Following(feed);
    }

    fn take_frame(&mut self, node: usize, feed: &mut Feed) {
        let now = self.now;
        let proof = self.nodes[feed.source].proof.proven_at();
        let waited = now - feed.frame_at;
        let every = 100.min(millis(self.bounds.answer()));
        let due = waited >= millis(self.bounds.question());
        // A question is on its way for a step.
        if feed.question == now || !(due || (proof != feed.told && waited >= every)) {
            return;
        }
        (feed.frame_at, feed.told) = (now, proof);
        let heard_at = Time(feed.question + STEP - self.nodes[feed.source].born.min(feed.question));
        let age = self.nodes[feed.source].proof.age_for_peer(heard_at);
        let knows = self.nodes[feed.source].knows;
        let reports = [SyncReport { age_ms: age, ..self.own_sync_report(feed.source) }];
        let local = self.local(node);
        let held = &mut self.nodes[node];
        let asked = Time(feed.question - held.born);
        let Some(age) = age else { return };
        held.knows = held.knows.max(knows);
        held.proof.renew_from_peer(asked, Duration::from_millis(age.into()));
        held.course.redirected(local, asked, &reports);
    }

    fn ask_peers(&mut self, node: usize) {
        let (now, local) = (self.now, self.local(node));
        let ready: Vec<Reply> = {
            let held = &mut self.nodes[node];
            let (ready, later) =
                std::mem::take(&mut held.replies).into_iter().partition(|reply| reply.at <= now);
            held.replies = later;
            ready
        };
        for reply in ready {
            let held = &mut self.nodes[node];
            match reply.age {
                None => held.course.unanswered(local, address(reply.from)),
                Some(None) => {}
                Some(Some(age)) => {
                    let asked = Time(reply.asked_at - held.born);
                    held.knows = held.knows.max(reply.knows);
                    held.proof.renew_from_peer(asked, Duration::from_millis(age.into()));
                }
            }
        }
        let held = &self.nodes[node];
        let fresh = held.proof.is_within(local, self.bounds.calm());
        if fresh || !held.replies.is_empty() || !now.is_multiple_of(millis(self.bounds.answer())) {
            return;
        }
        let around = self.around(node);
        let asked = held.course.know_more(local, &around, held.proof.proven_at(), 3);
        for from in asked.into_iter().map(node_of) {
            let answers = self.nodes[from].up && self.linked(node, from);
            let age = answers.then(|| self.nodes[from].proof.age_for_peer(self.local(from)));
            let at = now + if answers { STEP } else { millis(self.bounds.patience()) };
            let knows = self.nodes[from].knows;
            self.nodes[node].replies.push(Reply { at, from, asked_at: now, age, knows });
        }
    }

    /// The age of a daemon's proof; `None` for one without.
    pub fn age(&self, node: usize) -> Option<u64> {
        self.nodes[node].proof.age(self.local(node)).map(millis)
    }

    /// How much later the moment is that a daemon claims to know everything of than the truth is; 0
    /// where the claim holds.
    pub fn false_claim(&self, node: usize) -> u64 {
        let held = &self.nodes[node];
        let Some(moment) = held.proof.proven_at() else { return 0 };
        let claimed = moment + held.born as i64;
        u64::try_from(claimed - held.knows as i64).unwrap_or(0)
    }

    /// The daemons that have been up for a time, and all that time could reach the store or a daemon
    /// that the store served.
    pub fn in_touch(&self, contact: u64) -> Vec<usize> {
        let before = |since: u64| since + contact <= self.now;
        let steady = |n: &usize| {
            let held = &self.nodes[*n];
            held.up && before(held.up_since) && before(held.part_since)
        };
        let steady: Vec<usize> = (0..self.count()).filter(steady).collect();
        let serving = steady.iter().any(|n| {
            let held = &self.nodes[*n];
            held.part == 0 && held.access == Access::Open && before(held.open_since)
        });
        let in_touch = steady.into_iter().filter(|n| serving && self.nodes[*n].part == 0);
        in_touch.collect()
    }

    /// True if the store has served a daemon itself all that time.
    pub fn is_served(&self, node: usize, contact: u64) -> bool {
        let held = &self.nodes[node];
        held.access == Access::Open && held.open_since + contact <= self.now
    }

    /// What a daemon does, for messages of tests.
    pub fn doing(&self, node: usize) -> String {
        let held = &self.nodes[node];
        format!("{:?} {:?} hall {} {:?}", held.doing, held.access, held.hall, held.course.source())
    }
}
