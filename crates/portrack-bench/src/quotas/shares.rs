//! Ways in which each node has a part of each quota.

use crate::quotas::demand::Request;
use crate::quotas::network::Fleet;
use crate::quotas::{ORGANISATIONS, QUOTAS, Way};
use portrack::Time;
use portrack::gateway::DecayingRate;

/// A node's part of a quota.
#[derive(Debug, Clone, Copy, Default)]
struct Part {
    level: f64,
    at: u64,
}

impl Part {
    /// Lets in what came since, of `share` of the quota, and takes units out if there are so many.
    fn take(&mut self, now: u64, organisation: usize, share: f64, units: f64) -> bool {
        let quota = &QUOTAS[organisation];
        let came = quota.per_second * share * (now - self.at) as f64 / 1_000.0;
        self.level = (self.level + came).min((quota.burst * share).max(units));
        self.at = now;
        let admitted = self.level >= units;
        self.level -= if admitted { units } else { 0.0 };
        admitted
    }
}

/// Every node has the same part.
pub struct EqualShares(Vec<[Part; ORGANISATIONS]>);

impl EqualShares {
    pub fn new(nodes: usize) -> Self {
        Self(vec![Default::default(); nodes])
    }
}

impl Way for EqualShares {
    fn name(&self) -> &'static str {
        "equal shares"
    }

    fn admit(&mut self, now: u64, request: &Request, fleet: &mut Fleet) -> bool {
        let share = 1.0 / fleet.nodes() as f64;
        let Request { node, organisation, units } = *request;
        self.0[node][organisation].take(now, organisation, share, units)
    }

    fn step(&mut self, _now: u64, _fleet: &mut Fleet) {}

    fn restarted(&mut self, now: u64, node: usize) {
        self.0[node] = [Part { level: 0.0, at: now }; ORGANISATIONS];
    }
}

/// Between tellings of a node's demand, which reach a part of the others, in milliseconds.
const TOLD_EVERY: u64 = 300;
/// Others that one telling reaches.
const FAN_OUT: usize = 12;

/// A node's part follows its part of the demand, which nodes tell each other with heartbeats.
pub struct DemandShares {
    parts: Vec<[Part; ORGANISATIONS]>,
    own: Vec<[DecayingRate; ORGANISATIONS]>,
    /// What each node believes of each other one.
    told: Vec<Vec<[f64; ORGANISATIONS]>>,
    turn: usize,
}

impl DemandShares {
    pub fn new(nodes: usize) -> Self {
        Self {
            parts: vec![Default::default(); nodes],
            own: vec![Default::default(); nodes],
            told: vec![vec![[0.0; ORGANISATIONS]; nodes]; nodes],
            turn: 0,
        }
    }
}

impl Way for DemandShares {
    fn name(&self) -> &'static str {
        "shares by demand"
    }

    fn admit(&mut self, now: u64, request: &Request, _fleet: &mut Fleet) -> bool {
        let Request { node, organisation, units } = *request;
        self.own[node][organisation].count(Time(now), units);
        let own = self.own[node][organisation].per_second(Time(now));
        let others = self.told[node].iter().enumerate().filter(|(other, _)| *other != node);
        let others: f64 = others.map(|(_, paces)| paces[organisation]).sum();
        let share = own / (own + others).max(QUOTAS[organisation].per_second * 0.2);
        self.parts[node][organisation].take(now, organisation, share, units)
    }

    fn step(&mut self, now: u64, fleet: &mut Fleet) {
        if !now.is_multiple_of(TOLD_EVERY) {
            return;
        }
        let nodes = fleet.nodes();
        self.turn += FAN_OUT;
        for from in 0..nodes {
            let paces = self.own[from].map(|pace| pace.per_second(Time(now)));
            for nth in 0..FAN_OUT.min(nodes) {
                let to = (from * 7 + self.turn + nth) % nodes;
                if fleet.copies(from, to) > 0 {
                    self.told[to][from] = paces;
                }
            }
        }
    }

    fn restarted(&mut self, now: u64, node: usize) {
        self.parts[node] = [Part { level: 0.0, at: now }; ORGANISATIONS];
        self.own[node] = Default::default();
        self.told[node] = vec![[0.0; ORGANISATIONS]; self.told.len()];
    }
}
