//! portrack's policy: router, owners and load planner, connected without messages.

use super::run::{DEADLINE_MS, PlacementPolicy, Site};
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

/// Interval between ticks of an owner, in milliseconds.
const OWNER_TICK_MS: u64 = 50;
/// Interval between heartbeats, in milliseconds. The router's view is at most this old.
const HEARTBEAT_MS: u64 = 1_000;
/// Most engines tried for one request.
const MAX_ATTEMPTS: usize = 3;

struct Pending {
    wanted: Wanted,
    hall: usize,
    tokens: u32,
    since: Time,
    cold: bool,
}

/// portrack's policy.
pub struct PortrackPolicy {
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

fn engine_number(engine: &EngineName) -> usize {
    engine.as_str()[1..].parse().expect("engine names end in a number")
}

fn adapter_number(adapter: &AdapterVersion) -> usize {
    adapter.adapter.as_str()[2..].parse().expect("adapter names end in a number")
}

fn hall(at: usize) -> HallName {
    format!("h{at}").parse().expect("a valid name")
}

fn base() -> portrack::types::BaseName {
    "base".parse().expect("a valid name")
}

impl PortrackPolicy {
    /// Creates the policy and acquires every engine of the site.
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
        let mut policy = Self {
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
        policy.acquire(site);
        policy
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

    fn handle_event(&mut self, now: Time, at: usize, event: Event, site: &mut Site) {
        let outputs = self.owners[at].on(now, event);
        for output in outputs {
            self.handle_output(now, at, output, site);
        }
        self.push_holdings(now, at);
    }

    /// Publishes changed holdings at once, as daemons do.
    fn push_holdings(&mut self, now: Time, at: usize) {
        let holdings = self.owners[at].holdings();
        let known = self.view.engine(&engine_name(at)).and_then(|e| e.holdings.as_ref());
        if known.map(|h| h.version) != Some(holdings.version) {
            self.view.holdings(holdings);
            self.publish_load(now, at);
        }
    }

    fn publish_load(&mut self, now: Time, at: usize) {
        let load = self.owners[at].load(now);
        self.view.load(now, &self.me.node, load);
    }

    fn handle_output(&mut self, now: Time, at: usize, output: Output, site: &mut Site) {
        match output {
            Output::Answer { answer, .. } => self.handle_answer(now, at, answer, site),
            Output::Poll => {
                let fence = self.owners[at].fence().0;
                let report = self.report(now, at, site, fence);
                self.handle_event(now, at, Event::Report(report), site);
            }
            Output::RaiseFence(fence) => {
                self.handle_event(now, at, Event::FenceRaised(fence), site)
            }
            Output::Order(order) => self.execute_order(now, at, order, site),
            Output::AskPermit { adapter, waited_ms, weight } => {
                let load = PermitRef { engine: engine_name(at), adapter };
                let node = self.me.node.clone();
                let granted = self.planner.ask(now, node, PermitAsk { load, waited_ms, weight });
                self.deliver_permits(now, granted, site);
            }
            Output::PermitDone(adapter) => {
                let load = PermitRef { engine: engine_name(at), adapter };
                let granted = self.planner.done(now, &load);
                self.deliver_permits(now, granted, site);
            }
        }
    }

    fn deliver_permits(&mut self, now: Time, granted: Vec<(NodeName, PermitRef)>, site: &mut Site) {
        for (_, load) in granted {
            let at = engine_number(&load.engine);
            match self.owners[at].wants(&load.adapter) {
                true => self.handle_event(now, at, Event::Permit(load.adapter), site),
                false => {
                    let more = self.planner.done(now, &load);
                    self.deliver_permits(now, more, site);
                }
            }
        }
    }

    fn execute_order(&mut self, now: Time, at: usize, order: Order, site: &mut Site) {
        let used = adapter_number(&order.adapter);
        let engine = &mut site.engines[at];
        if order.kind == OrderKind::Load {
            engine.loading.insert(used);
            site.store.begin(now, at, used, engine.epoch);
            return;
        }
        assert!(!engine.uses(used), "unloaded an adapter that is in use");
        engine.loaded.remove(&used);
        let event = Event::OrderDone { id: order.id, result: OrderResult::Done };
        self.handle_event(now, at, event, site);
    }

    fn handle_answer(&mut self, now: Time, at: usize, answer: Answer, site: &mut Site) {
        match answer.verdict {
            Verdict::Queued => {}
            Verdict::Granted(_) => {
                let Some(pending) = self.pending.remove(&answer.id) else { return };
                let waited = now.since(pending.since).as_millis() as u64;
                site.outcome.record_wait(waited, pending.cold);
                let used = adapter_number(&pending.wanted.adapter);
                site.engines[at].start(answer.id, used, pending.tokens);
            }
            Verdict::Refused { .. } => {
                let Some(mut pending) = self.pending.remove(&answer.id) else { return };
                pending.wanted.tried.push(engine_name(at));
                self.reserve(now, pending, site);
            }
        }
    }

    fn reserve(&mut self, now: Time, mut pending: Pending, site: &mut Site) {
        let waited = now.since(pending.since).as_millis() as u64;
        let hall = hall(pending.hall);
        let tries_left = pending.wanted.tried.len() < MAX_ATTEMPTS && waited < DEADLINE_MS;
        let choice = tries_left
            .then(|| {
                let (weights, prefixes) = (&self.weights, &self.prefixes);
                let rng = &mut self.rng;
                self.view.choose(&pending.wanted, &hall, weights, prefixes, rng, |_| true)
            })
            .flatten();
        let Some(choice) = choice else {
            site.outcome.record_wait(waited, pending.cold);
            site.outcome.refused += 1;
            return;
        };
        let at = engine_number(&choice.engine);
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
        self.handle_event(now, at, Event::Reserve { from, ask }, site);
    }

    /// Renews waiting reservations, as entry nodes do.
    fn renew_waiting(&mut self, now: Time, site: &mut Site) {
        for at in 0..self.owners.len() {
            let waiting = self.owners[at].renewals();
            for (from, ask) in waiting {
                self.handle_event(now, at, Event::Reserve { from, ask }, site);
            }
        }
    }
}

impl PlacementPolicy for PortrackPolicy {
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
        self.reserve(now, pending, site);
    }

    fn tick(&mut self, now: Time, site: &mut Site, ended: &[(usize, ReservationId)]) {
        for (at, id) in ended {
            self.handle_event(now, *at, Event::Release { id: *id, end: End::Ended }, site);
        }
        if now.0.is_multiple_of(OWNER_TICK_MS) {
            for at in 0..self.owners.len() {
                self.handle_event(now, at, Event::Tick, site);
            }
            let granted = self.planner.plan(now);
            self.deliver_permits(now, granted, site);
        }
        if now.0.is_multiple_of(HEARTBEAT_MS) {
            self.renew_waiting(now, site);
            for at in 0..self.owners.len() {
                self.publish_load(now, at);
            }
        }
    }

    fn loaded(&mut self, now: Time, engine: usize, loaded: usize, site: &mut Site) {
        let order = self.owners[engine].load_order(&adapter(loaded));
        if let Some(id) = order {
            let event = Event::OrderDone { id, result: OrderResult::Done };
            self.handle_event(now, engine, event, site);
        }
    }

    fn restarted(&mut self, _: Time, _: usize, _: &mut Site) {}
}
