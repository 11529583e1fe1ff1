//! Policies to beat: an engine is chosen on arrival; slots are kept by last use.

use super::run::{DEADLINE_MS, Decide, Site};
use super::store::Fifo;
use super::trace::{Arrival, Shape, adapter};
use portrack::membership::highest;
use portrack::types::{ReservationId, Time};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};

/// How the engine is chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// The engine with the fewest requests.
    LeastConnections,
    /// Of the engines that hold the adapter the one with the fewest requests, else of all.
    HolderFirst,
    /// Any.
    Random,
    /// The adapter's own.
    Static,
}

struct Waiting {
    id: ReservationId,
    adapter: usize,
    tokens: u32,
    since: Time,
    cold: bool,
}

/// One of the baselines.
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
    /// A baseline that has seen nothing.
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

    fn fewest(&self, site: &Site, among: impl Iterator<Item = usize>) -> Option<usize> {
        among.min_by_key(|at| self.connections(site, *at))
    }

    fn choose(&mut self, site: &Site, wanted: usize) -> usize {
        let all = 0..site.engines.len();
        match self.rule {
            Rule::Random => self.rng.random_range(all),
            Rule::LeastConnections => self.fewest(site, all).unwrap_or(0),
            Rule::HolderFirst => {
                let holds = |at: &usize| {
                    let engine = &site.engines[*at];
                    engine.loaded.contains(&wanted) || engine.loading.contains(&wanted)
                };
                let holder = self.fewest(site, all.clone().filter(holds));
                holder.or_else(|| self.fewest(site, all)).unwrap_or(0)
            }
            Rule::Static => {
                let name = highest(&adapter(wanted).to_string(), &self.names);
                self.names.iter().position(|n| Some(n) == name).unwrap_or(0)
            }
        }
    }

    fn want(&mut self, site: &Site, engine: usize, adapter: usize) {
        let there = &site.engines[engine];
        let known = there.loaded.contains(&adapter) || there.loading.contains(&adapter);
        if !known && !self.fifo.wanted.contains(&(engine, adapter)) {
            self.fifo.wanted.push_back((engine, adapter));
        }
    }

    /// Begins as many wanted loads as the store and the slots allow, oldest first.
    fn load(&mut self, now: Time, site: &mut Site) {
        self.fifo.refill(now);
        let mut at = 0;
        while at < self.fifo.wanted.len() && self.fifo.may_begin(site.store.running()) {
            let (engine, adapter) = self.fifo.wanted[at];
            let needed = self.queues[engine].iter().any(|w| w.adapter == adapter);
            if needed && !self.make_room(site, engine) {
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

    /// Frees the slot whose last use is longest ago, if all are taken.
    fn make_room(&mut self, site: &mut Site, engine: usize) -> bool {
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

    fn start(&mut self, now: Time, site: &mut Site, engine: usize) {
        let mut at = 0;
        while at < self.queues[engine].len() {
            let there = &mut site.engines[engine];
            let waiting = &self.queues[engine][at];
            let late = now.since(waiting.since).as_millis() as u64 >= DEADLINE_MS;
            let starts =
                there.running.len() < self.batch && there.loaded.contains(&waiting.adapter);
            if !late && !starts {
                at += 1;
                continue;
            }
            let Some(waiting) = self.queues[engine].remove(at) else { break };
            let waited = now.since(waiting.since).as_millis() as u64;
            site.outcome.waited(waited, waiting.cold);
            if late {
                site.outcome.refused += 1;
                continue;
            }
            there.start(waiting.id, waiting.adapter, waiting.tokens);
            self.used[engine].insert(waiting.adapter, now);
        }
    }
}

impl Decide for Baseline {
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
        self.want(site, engine, arrival.adapter);
        self.start(now, site, engine);
    }

    fn tick(&mut self, now: Time, site: &mut Site, _: &[(usize, ReservationId)]) {
        for engine in 0..site.engines.len() {
            self.start(now, site, engine);
        }
        self.load(now, site);
    }

    fn loaded(&mut self, now: Time, engine: usize, adapter: usize, site: &mut Site) {
        self.used[engine].insert(adapter, now);
        self.start(now, site, engine);
    }

    fn restarted(&mut self, _: Time, engine: usize, site: &mut Site) {
        let waiting: Vec<usize> = self.queues[engine].iter().map(|w| w.adapter).collect();
        for adapter in waiting {
            self.want(site, engine, adapter);
        }
    }
}
