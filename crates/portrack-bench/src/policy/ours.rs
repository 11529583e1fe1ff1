//! portrack's own decisions: router, owners and load planner, joined without messages.

use super::run::{DEADLINE_MS, Decide, Site};
use super::trace::{Arrival, Shape, adapter};
use super::trial::Trial;
use portrack::loads::{Budget, LoadPlanner};
use portrack::owner::{
    Answer, Ask, End, EngineOwner, Event, Lock, Order, OrderKind, OrderResult, Output, Report,
    Running, Verdict,
};
use portrack::router::{BackendKind, BackendServer, PrefixMemory, View, Wanted, Weights};
use portrack::settings::Effective;
use portrack::types::{
    AdapterVersion, EngineName, Fence, FenceMaker, HallName, Instance, NodeName, ReservationId,
    Time,
};
use portrack::wire::{PermitAsk, PermitRef};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::BTreeMap;

/// Between ticks of an owner, in milliseconds.
const OWNER_TICK_MS: u64 = 50;
/// Between heartbeats, in milliseconds: how old the router's view may be.
const BEAT_MS: u64 = 1_000;
/// Engines tried for one request.
const TRIES: usize = 3;

struct Pending {
    wanted: Wanted,
    hall: usize,
    tokens: u32,
    since: Time,
    cold: bool,
}

/// portrack's policy.
pub struct Ours {
    shape: Shape,
    view: View,
    owners: Vec<EngineOwner>,
    planner: LoadPlanner,
    weights: Weights,
    prefixes: PrefixMemory,
    rng: SmallRng,
    me: Instance,
    pending: BTreeMap<ReservationId, Pending>,
    next_id: u128,
}

fn engine_name(at: usize) -> EngineName {
    format!("e{at}").parse().expect("a valid name")
}

fn number(engine: &EngineName) -> usize {
    engine.as_str()[1..].parse().expect("engines are numbered")
}

fn adapter_number(adapter: &AdapterVersion) -> usize {
    adapter.adapter.as_str()[2..].parse().expect("adapters are numbered")
}

fn hall(at: usize) -> HallName {
    format!("h{at}").parse().expect("a valid name")
}

fn base() -> portrack::types::BaseName {
    "base".parse().expect("a valid name")
}

impl Ours {
    /// Owns every engine of the site.
    pub fn new(shape: &Shape, trial: &Trial, seed: u64, site: &Site) -> Self {
        let set = trial.overrides(shape.stall_weight);
        let tunables = Effective::of([&set]).tunables(&Default::default());
        let mut view = View::default();
        let server = |(at, engine): (usize, &super::engine::Engine)| BackendServer {
            name: engine_name(at),
            hall: hall(at / shape.engines),
            region: "r".parse().expect("a valid name"),
            address: String::new(),
            class: String::new(),
            speed: engine.speed,
            leaving: false,
            kind: BackendKind::Engine { base: base(), checks_fence: true },
        };
        view.servers(Time(0), site.engines.iter().enumerate().map(server).collect());
        let owner = |at| {
            EngineOwner::new(
                engine_name(at),
                Lock::Fence,
                tunables.owner.clone(),
                FenceMaker::default(),
                Time(0),
            )
        };
        let budget = Budget {
            per_second: shape.loads_per_second,
            at_once: shape.loads_at_once,
            ..Budget::default()
        };
        let node: NodeName = "n".parse().expect("a valid name");
        let mut ours = Self {
            owners: (0..site.engines.len()).map(owner).collect(),
            shape: shape.clone(),
            view,
            planner: LoadPlanner::new(budget, Time(0)),
            weights: tunables.weights,
            prefixes: PrefixMemory::new(1_024),
            rng: SmallRng::seed_from_u64(seed),
            me: Instance { node, incarnation: 1 },
            pending: BTreeMap::new(),
            next_id: 0,
        };
        ours.acquire(site);
        ours
    }

    fn acquire(&mut self, site: &Site) {
        for at in 0..self.owners.len() {
            let report = self.report(Time(0), at, site, 0);
            self.owners[at].on(Time(0), Event::Report(report));
            self.owners[at].on(Time(0), Event::FenceRaised(Fence(1)));
        }
    }

    fn report(&self, now: Time, at: usize, site: &Site, fence: u64) -> Report {
        let engine = &site.engines[at];
        let running = engine
            .running
            .iter()
            .map(|(id, (used, _))| Running { id: *id, adapter: adapter(*used) });
        Report {
            asked_at: now,
            epoch: engine.epoch,
            fence: Fence(fence),
            lease_at: None,
            leaving: false,
            loaded: engine.loaded.iter().map(|a| adapter(*a)).collect(),
            loading: engine.loading.iter().map(|a| adapter(*a)).collect(),
            running: running.collect(),
            slots: self.shape.slots,
            batch: self.shape.batch,
        }
    }

    fn owner(&mut self, now: Time, at: usize, event: Event, site: &mut Site) {
        let outputs = self.owners[at].on(now, event);
        for output in outputs {
            self.output(now, at, output, site);
        }
        self.push_holdings(now, at);
    }

    /// Changed holdings are pushed at once, as between daemons.
    fn push_holdings(&mut self, now: Time, at: usize) {
        let holdings = self.owners[at].holdings();
        let known = self.view.engine(&engine_name(at)).and_then(|e| e.holdings.as_ref());
        if known.map(|h| h.version) != Some(holdings.version) {
            self.view.holdings(holdings);
            self.beat(now, at);
        }
    }

    fn beat(&mut self, now: Time, at: usize) {
        let load = self.owners[at].load(now);
        self.view.load(now, &self.me.node, load);
    }

    fn output(&mut self, now: Time, at: usize, output: Output, site: &mut Site) {
        match output {
            Output::Answer { answer, .. } => self.answer(now, at, answer, site),
            Output::Poll => {
                let fence = self.owners[at].fence().0;
                let report = self.report(now, at, site, fence);
                self.owner(now, at, Event::Report(report), site);
            }
            Output::RaiseFence(fence) => self.owner(now, at, Event::FenceRaised(fence), site),
            Output::Order(order) => self.order(now, at, order, site),
            Output::AskPermit { adapter, waited_ms, weight } => {
                let load = PermitRef { engine: engine_name(at), adapter };
                let node = self.me.node.clone();
                let granted = self.planner.ask(now, node, PermitAsk { load, waited_ms, weight });
                self.permits(now, granted, site);
            }
            Output::PermitDone(adapter) => {
                let load = PermitRef { engine: engine_name(at), adapter };
                let granted = self.planner.done(now, &load);
                self.permits(now, granted, site);
            }
        }
    }

    fn permits(&mut self, now: Time, granted: Vec<(NodeName, PermitRef)>, site: &mut Site) {
        for (_, load) in granted {
            let at = number(&load.engine);
            match self.owners[at].wants(&load.adapter) {
                true => self.owner(now, at, Event::Permit(load.adapter), site),
                false => {
                    let more = self.planner.done(now, &load);
                    self.permits(now, more, site);
                }
            }
        }
    }

    fn order(&mut self, now: Time, at: usize, order: Order, site: &mut Site) {
        let used = adapter_number(&order.adapter);
        let engine = &mut site.engines[at];
        if order.kind == OrderKind::Load {
            engine.loading.insert(used);
            site.store.begin(now, at, used, engine.epoch);
            return;
        }
        assert!(!engine.uses(used), "an adapter in use was unloaded");
        engine.loaded.remove(&used);
        let event = Event::OrderDone { id: order.id, result: OrderResult::Done };
        self.owner(now, at, event, site);
    }

    fn answer(&mut self, now: Time, at: usize, answer: Answer, site: &mut Site) {
        match answer.verdict {
            Verdict::Queued => {}
            Verdict::Granted(_) => {
                let Some(pending) = self.pending.remove(&answer.id) else { return };
                let waited = now.since(pending.since).as_millis() as u64;
                site.outcome.waited(waited, pending.cold);
                let used = adapter_number(&pending.wanted.adapter);
                site.engines[at].start(answer.id, used, pending.tokens);
            }
            Verdict::Refused { .. } => {
                let Some(mut pending) = self.pending.remove(&answer.id) else { return };
                pending.wanted.tried.push(engine_name(at));
                self.seek(now, pending, site);
            }
        }
    }

    fn seek(&mut self, now: Time, mut pending: Pending, site: &mut Site) {
        let waited = now.since(pending.since).as_millis() as u64;
        let hall = hall(pending.hall);
        let tries_left = pending.wanted.tried.len() < TRIES && waited < DEADLINE_MS;
        let choice = tries_left
            .then(|| {
                let (weights, prefixes) = (&self.weights, &self.prefixes);
                let rng = &mut self.rng;
                self.view.choose(&pending.wanted, &hall, weights, prefixes, rng, |_| true)
            })
            .flatten();
        let Some(choice) = choice else {
            site.outcome.waited(waited, pending.cold);
            site.outcome.refused += 1;
            return;
        };
        let at = number(&choice.engine);
        if pending.wanted.tried.is_empty() {
            let used = adapter_number(&pending.wanted.adapter);
            pending.cold = !site.engines[at].loaded.contains(&used);
        }
        self.next_id += 1;
        let id = ReservationId(self.next_id);
        let ask = Ask {
            id,
            attempt: 1,
            adapter: pending.wanted.adapter.clone(),
            class: pending.wanted.class,
            wait_ms: u32::try_from(DEADLINE_MS - waited).unwrap_or(0),
        };
        self.view.note_grant(&choice.engine);
        self.pending.insert(id, pending);
        let from = self.me.clone();
        self.owner(now, at, Event::Reserve { from, ask }, site);
    }

    /// What waits is renewed, as entry nodes do.
    fn renew(&mut self, now: Time, site: &mut Site) {
        for at in 0..self.owners.len() {
            let waiting = self.owners[at].renewals();
            for (from, ask) in waiting {
                self.owner(now, at, Event::Reserve { from, ask }, site);
            }
        }
    }
}

impl Decide for Ours {
    fn arrive(&mut self, now: Time, arrival: &Arrival, site: &mut Site) {
        let wanted = Wanted {
            adapter: adapter(arrival.adapter),
            base: base(),
            node_class: None,
            class: arrival.class,
            prefix: arrival.adapter as u64,
            tried: Vec::new(),
        };
        let (hall, tokens) = (arrival.hall, arrival.tokens);
        let pending = Pending { wanted, hall, tokens, since: now, cold: false };
        self.seek(now, pending, site);
    }

    fn tick(&mut self, now: Time, site: &mut Site, ended: &[(usize, ReservationId)]) {
        for (at, id) in ended {
            self.owner(now, *at, Event::Release { id: *id, end: End::Ended }, site);
        }
        if now.0.is_multiple_of(OWNER_TICK_MS) {
            for at in 0..self.owners.len() {
                self.owner(now, at, Event::Tick, site);
            }
            let granted = self.planner.plan(now);
            self.permits(now, granted, site);
        }
        if now.0.is_multiple_of(BEAT_MS) {
            self.renew(now, site);
            for at in 0..self.owners.len() {
                self.beat(now, at);
            }
        }
    }

    fn loaded(&mut self, now: Time, engine: usize, loaded: usize, site: &mut Site) {
        let order = self.owners[engine].load_order(&adapter(loaded));
        if let Some(id) = order {
            let event = Event::OrderDone { id, result: OrderResult::Done };
            self.owner(now, engine, event, site);
        }
    }

    fn restarted(&mut self, _: Time, _: usize, _: &mut Site) {}
}
