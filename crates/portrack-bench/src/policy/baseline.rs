//! Baseline policies: an engine is chosen on arrival and slots are evicted least recently used first.

use super::run::{DEADLINE_MS, PlacementPolicy, Site};
use super::store::Fifo;
use super::trace::{Arrival, Shape, adapter};
use portrack::membership::highest;
use portrack::types::{ReservationId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// How an engine is chosen for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// The engine with the fewest requests.
    LeastConnections,
    /// The engine with the fewest requests among those with the adapter, otherwise among all.
    HolderFirst,
    /// A random engine.
    Random,
    /// The adapter's engine by rendezvous hash.
    Static,
}

struct Waiting {
    id: ReservationId,
    adapter: usize,
    tokens: u32,
    since: Time,
    cold: bool,
}

/// A baseline policy.
pub struct Baseline {
    rule: Rule,
    slots: usize,
    batch: usize,
    rng: SmallRng,
    fifo: Fifo,
    names: Vec<String>,
    queues: Vec<VecDeque<Waiting>>,
    used: Vec<BTreeMap<usize, Time>>,
    next_id: u128,
}

impl Baseline {
    /// Creates a policy without queued requests.
    pub fn new(shape: &Shape, rule: Rule, seed: u64) -> Self {
        let count = shape.halls * shape.engines;
        Self {
            rule,
            slots: shape.slots,
            batch: shape.batch,
            rng: SmallRng::seed_from_u64(seed),
            fifo: Fifo::new(shape.loads_per_second, shape.loads_at_once),
            names: (0..count).map(|at| format!("e{at}")).collect(),
            queues: (0..count).map(|_| VecDeque::new()).collect(),
            used: vec![BTreeMap::new(); count],
            next_id: 0,
        }
    }

    fn connections(&self, site: &Site, engine: usize) -> usize {
        site.engines[engine].running.len() + self.queues[engine].len()
    }

    fn least_connections(&self, site: &Site, among: impl Iterator<Item = usize>) -> Option<usize> {
        among.min_by_key(|at| self.connections(site, *at))
    }

    fn choose(&mut self, site: &Site, wanted: usize) -> usize {
        let all = 0..site.engines.len();
        match self.rule {
            Rule::Random => self.rng.random_range(all),
            Rule::LeastConnections => self.least_connections(site, all).unwrap_or(0),
            Rule::HolderFirst => {
                let holds = |at: &usize| {
                    let engine = &site.engines[*at];
                    engine.loaded.contains(&wanted) || engine.loading.contains(&wanted)
                };
                let holder = self.least_connections(site, all.clone().filter(holds));
                holder.or_else(|| self.least_connections(site, all)).unwrap_or(0)
            }
            Rule::Static => {
                let name = highest(&adapter(wanted).to_string(), &self.names);
                self.names.iter().position(|n| Some(n) == name).unwrap_or(0)
            }
        }
    }

    fn request_load(&mut self, site: &Site, engine: usize, adapter: usize) {
        let there = &site.engines[engine];
        let known = there.loaded.contains(&adapter) || there.loading.contains(&adapter);
        if !known && !self.fifo.wanted.contains(&(engine, adapter)) {
            self.fifo.wanted.push_back((engine, adapter));
        }
    }

    /// Starts requested loads, oldest first, as far as store and slots allow.
    fn start_loads(&mut self, now: Time, site: &mut Site) {
        self.fifo.refill(now);
        let mut at = 0;
        while at < self.fifo.wanted.len() && self.fifo.can_start(site.store.running()) {
            let (engine, adapter) = self.fifo.wanted[at];
            let needed = self.queues[engine].iter().any(|w| w.adapter == adapter);
            if needed && !self.ensure_free_slot(site, engine) {
                at += 1;
                continue;
            }
            self.fifo.wanted.remove(at);
            if needed {
                self.fifo.take();
                site.engines[engine].loading.insert(adapter);
                site.store.begin(now, engine, adapter, site.engines[engine].epoch);
            }
        }
    }

    /// Evicts the least recently used idle adapter if all slots are taken. False if none is idle.
    fn ensure_free_slot(&mut self, site: &mut Site, engine: usize) -> bool {
        let there = &mut site.engines[engine];
        if there.loaded.len() + there.loading.len() < self.slots {
            return true;
        }
        let waits = |adapter: usize| self.queues[engine].iter().any(|w| w.adapter == adapter);
        let free = there.loaded.iter().copied().filter(|a| !there.uses(*a) && !waits(*a));
        let oldest = free.min_by_key(|a| self.used[engine].get(a).copied().unwrap_or_default());
        let Some(oldest) = oldest else { return false };
        there.loaded.remove(&oldest);
        true
    }

    fn start_requests(&mut self, now: Time, site: &mut Site, engine: usize) {
        let mut at = 0;
        while at < self.queues[engine].len() {
            let there = &mut site.engines[engine];
            let waiting = &self.queues[engine][at];
            let timed_out = now.since(waiting.since).as_millis() as u64 >= DEADLINE_MS;
            let can_start =
                there.running.len() < self.batch && there.loaded.contains(&waiting.adapter);
            if !timed_out && !can_start {
                at += 1;
                continue;
            }
            let Some(waiting) = self.queues[engine].remove(at) else { break };
            let waited = now.since(waiting.since).as_millis() as u64;
            site.outcome.record_wait(waited, waiting.cold);
            if timed_out {
                site.outcome.refused += 1;
                continue;
            }
            there.start(waiting.id, waiting.adapter, waiting.tokens);
            self.used[engine].insert(waiting.adapter, now);
        }
    }
}

impl PlacementPolicy for Baseline {
    fn arrive(&mut self, now: Time, arrival: &Arrival, site: &mut Site) {
        let engine = self.choose(site, arrival.adapter);
        self.next_id += 1;
        let cold = !site.engines[engine].loaded.contains(&arrival.adapter);
        self.queues[engine].push_back(Waiting {
            id: ReservationId(self.next_id),
            adapter: arrival.adapter,
            tokens: arrival.tokens,
            since: now,
            cold,
        });
        self.request_load(site, engine, arrival.adapter);
        self.start_requests(now, site, engine);
    }

    fn tick(&mut self, now: Time, site: &mut Site, _: &[(usize, ReservationId)]) {
        for engine in 0..site.engines.len() {
            self.start_requests(now, site, engine);
        }
        self.start_loads(now, site);
    }

    fn loaded(&mut self, now: Time, engine: usize, adapter: usize, site: &mut Site) {
        self.used[engine].insert(adapter, now);
        self.start_requests(now, site, engine);
    }

    fn restarted(&mut self, _: Time, engine: usize, site: &mut Site) {
        let waiting: Vec<usize> = self.queues[engine].iter().map(|w| w.adapter).collect();
        for adapter in waiting {
            self.request_load(site, engine, adapter);
        }
    }
}
