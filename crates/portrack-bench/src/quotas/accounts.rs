//! Ways in which what the whole fleet has let in is counted.

use crate::quotas::demand::Request;
use crate::quotas::judge::SLACK;
use crate::quotas::network::Fleet;
use crate::quotas::{HALLS, ORGANISATIONS, QUOTAS, Way};
use portrack::Time;
use portrack::gateway::{
    Capabilities, DaemonInfo, Daemons, FallbackShare, OrganisationHash, QuotaCount, QuotaDecision,
    QuotaLedger,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Between tellings of counts with heartbeats, in milliseconds; each reaches some of the others.
const HEARTBEAT: u64 = 300;
/// Others that a heartbeat reaches.
const FAN_OUT: usize = 12;

/// Every node counts what it lets in and hears of the others' counts with their heartbeats. Debt is
/// paid back.
pub struct LateCount {
    admitted: Vec<[f64; ORGANISATIONS]>,
    levels: Vec<[(f64, u64); ORGANISATIONS]>,
    told: Vec<Vec<[f64; ORGANISATIONS]>>,
    turn: usize,
}

impl LateCount {
    pub fn new(nodes: usize) -> Self {
        let full = std::array::from_fn(|organisation| (QUOTAS[organisation].burst, 0));
        Self {
            admitted: vec![[0.0; ORGANISATIONS]; nodes],
            levels: vec![full; nodes],
            told: vec![vec![[0.0; ORGANISATIONS]; nodes]; nodes],
            turn: 0,
        }
    }
}

impl Way for LateCount {
    fn name(&self) -> &'static str {
        "one late count with debt"
    }

    fn admit(&mut self, now: u64, request: &Request, _fleet: &mut Fleet) -> bool {
        let Request { node, organisation, units } = *request;
        let quota = &QUOTAS[organisation];
        let (level, at) = &mut self.levels[node][organisation];
        *level += quota.refill(Duration::from_millis(now - *at));
        *level = level.min(quota.burst);
        *at = now;
        let admitted = *level > 0.0;
        if admitted {
            *level -= units;
            self.admitted[node][organisation] += units;
        }
        admitted
    }

    fn step(&mut self, now: u64, fleet: &mut Fleet) {
        if !now.is_multiple_of(HEARTBEAT) {
            return;
        }
        let nodes = fleet.nodes();
        self.turn += FAN_OUT;
        for from in 0..nodes {
            for nth in 0..FAN_OUT.min(nodes) {
                let to = (from * 7 + self.turn + nth) % nodes;
                if to == from || fleet.copies(from, to) == 0 {
                    continue;
                }
                for organisation in 0..ORGANISATIONS {
                    let all = self.admitted[from][organisation];
                    let news = all - self.told[to][from][organisation];
                    self.levels[to][organisation].0 -= news.max(0.0);
                    self.told[to][from][organisation] = all;
                }
            }
        }
    }

    fn restarted(&mut self, now: u64, node: usize) {
        self.admitted[node] = [0.0; ORGANISATIONS];
        self.levels[node] = [(0.0, now); ORGANISATIONS];
        for (from, told) in self.told[node].iter_mut().enumerate() {
            *told = self.admitted[from];
        }
    }
}

/// Between tellings of accountants, in milliseconds; organisations far from their limit are told of in
/// each third.
const TOLD_EVERY: u64 = 100;
/// Daemons of each hall that are told.
const OF_EACH_HALL: usize = 2;
/// Accountants that one request asks before its node decides by itself.
const TRIES: usize = 2;
/// One that did not answer is not asked for so long, in milliseconds.
const SHUNNED_MS: u64 = 500;
/// The way of a telling, in milliseconds, and the longest delay on top.
const WAY_MS: f64 = 2.0;
const LATE_MS: f64 = 30.0;

struct Telling {
    at: u64,
    from: usize,
    to: usize,
    counts: Vec<QuotaCount>,
}

/// The gateway's own way: accountants of each hall.
pub struct WithAccountants {
    ledgers: Vec<QuotaLedger>,
    blind: Vec<[FallbackShare; ORGANISATIONS]>,
    all: Daemons,
    lives: Vec<u64>,
    on_the_way: Vec<Telling>,
    tellings: u64,
    /// Accountants that did not answer a node, each until a time.
    shunned: Vec<Vec<(SocketAddr, u64)>>,
}

fn hall(node: usize) -> Rc<str> {
    format!("hall-{}", Fleet::hall(node)).into()
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into()
}

fn node_of(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}

fn mark(organisation: usize) -> OrganisationHash {
    OrganisationHash(organisation as u64 + 1)
}

impl WithAccountants {
    pub fn new(nodes: usize) -> Self {
        // Two nodes of each hall are larger than the others.
        let daemon = |node: usize| DaemonInfo {
            address: address(node),
            hall: hall(node),
            capacity: if node < 2 * HALLS { 100 } else { 1 },
            capabilities: Capabilities::OWN,
        };
        Self {
            ledgers: (0..nodes).map(|node| QuotaLedger::new(&hall(node), SLACK)).collect(),
            blind: vec![Default::default(); nodes],
            all: Daemons::new((0..nodes).map(daemon).collect()),
            lives: vec![1; nodes],
            on_the_way: Vec::new(),
            tellings: 0,
            shunned: vec![Vec::new(); nodes],
        }
    }

    fn ask_accountants(
        &mut self,
        now: u64,
        request: &Request,
        fleet: &mut Fleet,
        shunned: &mut Vec<(SocketAddr, u64)>,
    ) -> bool {
        let Request { node, organisation, units } = *request;
        let (mark, quota) = (mark(organisation), &QUOTAS[organisation]);
        for _ in 0..TRIES {
            let fits =
                |daemon: &DaemonInfo| shunned.iter().all(|(other, _)| *other != daemon.address);
            let first = self.all.first_of_hall(mark.0, &hall(node), OF_EACH_HALL, fits);
            let Some(asked) = first else { break };
            let at = node_of(asked);
            if at != node && (fleet.copies(node, at) == 0 || fleet.copies(at, node) == 0) {
                shunned.push((asked, now + SHUNNED_MS));
                continue;
            }
            let born = self.lives[at] * 1_000_000 + now;
            let verdict = self.ledgers[at].ask(Time(now), mark, quota, units, born);
            let used = self.ledgers[at].usage(Time(now), mark, quota);
            let share = &mut self.blind[node][organisation];
            share.update_usage(Time(now), used);
            if verdict == QuotaDecision::Granted {
                share.record_granted(Time(now), units);
            }
            return verdict == QuotaDecision::Granted;
        }
        self.blind[node][organisation].admit(Time(now), quota, units, self.all.count())
    }

    fn deliver(&mut self, now: u64) {
        let (due, later) =
            std::mem::take(&mut self.on_the_way).into_iter().partition(|told| told.at <= now);
        self.on_the_way = later;
        let due: Vec<Telling> = due;
        for Telling { from, to, counts, .. } in due {
            for count in counts {
                let quota = &QUOTAS[count.organisation.0 as usize - 1];
                let born = self.lives[to] * 1_000_000 + now;
                let hall = hall(from);
                self.ledgers[to].merge_count(Time(now), address(from), &hall, &count, quota, born);
            }
        }
    }

    fn listeners(&self, now: u64, node: usize, mark: OrganisationHash) -> Vec<usize> {
        let mut all = self.all.of_each_hall(mark.0, OF_EACH_HALL);
        all.extend(self.ledgers[node].known_accountants(Time(now), mark));
        all.sort();
        all.dedup();
        all.into_iter().map(node_of).filter(|other| *other != node).collect()
    }
}

impl Way for WithAccountants {
    fn name(&self) -> &'static str {
        "accountants of each hall"
    }

    fn admit(&mut self, now: u64, request: &Request, fleet: &mut Fleet) -> bool {
        let node = request.node;
        let mut skipped = std::mem::take(&mut self.shunned[node]);
        skipped.retain(|(_, until)| now < *until);
        let verdict = self.ask_accountants(now, request, fleet, &mut skipped);
        self.shunned[node] = skipped;
        verdict
    }

    fn step(&mut self, now: u64, fleet: &mut Fleet) {
        self.deliver(now);
        if !now.is_multiple_of(TOLD_EVERY) {
            return;
        }
        self.tellings += 1;
        let all = self.tellings.is_multiple_of(3);
        let quota_of = |mark: OrganisationHash| QUOTAS.get(mark.0 as usize - 1).copied();
        for from in 0..fleet.nodes() {
            if !fleet.is_up(from) {
                continue;
            }
            for count in self.ledgers[from].counts(Time(now), all, quota_of) {
                for to in self.listeners(now, from, count.organisation) {
                    for _ in 0..fleet.copies(from, to) {
                        let at = now + (WAY_MS + LATE_MS * fleet.chance()) as u64;
                        let counts = vec![count.clone()];
                        self.on_the_way.push(Telling { at, from, to, counts });
                    }
                }
            }
        }
    }

    fn restarted(&mut self, _now: u64, node: usize) {
        self.lives[node] += 1;
        self.ledgers[node] = QuotaLedger::new(&hall(node), SLACK);
        self.blind[node] = Default::default();
    }
}
