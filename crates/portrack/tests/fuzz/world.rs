//! Simulated nodes and model engines on a network that delays, loses and repeats messages and can be
//! partitioned.

use crate::engine::{LAG, ModelEngine, is_load};
use portrack::Node;
use portrack::membership::Peer;
use portrack::node::{Effect, EngineTask, Input, Tunables};
use portrack::owner::{Event, Order, OrderResult};
use portrack::reserve::{Grant, Spec, Token};
use portrack::router::{BackendKind, BackendServer, Wanted};
use portrack::types::{AdapterVersion, Class, EngineName, Fence, Instance, NodeName, Run, Time};
use portrack::wire::{KeyVerdict, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Interval between ticks of a daemon, in milliseconds.
const TICK: u64 = 50;
/// Time to live of a lease in the key-value service.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Maximum age of a lease renewal for sending orders.
const LEASE_ORDER_VALIDITY: Duration = Duration::from_secs(15);
/// Interval between lease renewals.
const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(10);
/// Time for which a leaving engine may still get new requests.
const LEAVE_WITHIN: Duration = Duration::from_secs(5);
/// How long idempotency keys are kept.
const KEY_WINDOW: Duration = Duration::from_secs(8);

/// A message or event that has not been delivered yet.
#[derive(Debug, Clone)]
enum InTransit {
    Message { from: Instance, to: usize, body: Message },
    Poll { node: usize, incarnation: u64, engine: usize, asked_at: Time },
    Raise { node: usize, incarnation: u64, engine: usize, fence: Fence },
    Order { node: usize, incarnation: u64, engine: usize, order: Order },
    LoadEnd { node: usize, incarnation: u64, engine: usize, order: Order, epoch: u64 },
    ToNode { node: usize, incarnation: u64, engine: usize, event: Event },
    Open { node: usize, incarnation: u64, token: Token, grant: Grant, adapter: AdapterVersion },
    RunEnd { node: usize, incarnation: u64, token: Token, grant: Grant },
}

struct Host {
    peer: Peer,
    node: Node,
    incarnation: u64,
    paused: bool,
    paused_inputs: Vec<Input>,
    renewed_at: BTreeMap<usize, Time>,
    fences: BTreeMap<usize, Fence>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    node: usize,
    incarnation: u64,
    until: Time,
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestState {
    Open,
    Done,
    Refused(Run),
    /// Its entry node restarted.
    Orphaned,
    /// Its caller cancelled it.
    CallerGone,
}

struct SentRequest {
    adapter: AdapterVersion,
    runs: usize,
    state: RequestState,
}

/// The simulated system, on one clock.
pub struct World {
    now: Time,
    rng: SmallRng,
    hosts: Vec<Host>,
    pub engines: Vec<ModelEngine>,
    leaving_since: BTreeMap<usize, Time>,
    in_transit: Vec<(Time, InTransit)>,
    cuts: BTreeSet<(usize, usize)>,
    loss_percent: u32,
    repeat_percent: u32,
    delay: u64,
    kv_down: bool,
    kv_cut: BTreeSet<usize>,
    leases: BTreeMap<usize, Lease>,
    next_fence: u64,
    next_token: u64,
    requests: BTreeMap<Token, SentRequest>,
    keys: BTreeMap<Token, u128>,
    key_owners: BTreeMap<u128, Vec<(Token, Time)>>,
    pub violations: Vec<String>,
    pub unloads: usize,
    pub runs: usize,
}

fn peer(at: usize) -> Peer {
    let hall = if at < 3 { "a" } else { "b" };
    Peer {
        node: format!("{hall}{at}").parse().unwrap(),
        hall: hall.parse().unwrap(),
        region: "r".parse().unwrap(),
        address: ([127, 0, 0, 1], 7_000 + at as u16).into(),
    }
}

/// The daemon that plans loads while all daemons are available.
pub fn planner() -> usize {
    let names: Vec<NodeName> = (0..NODES).map(|at| peer(at).node).collect();
    let planner = portrack::membership::highest("load-planner", &names);
    names.iter().position(|name| Some(name) == planner).unwrap()
}

/// True if two daemons are in the same hall.
pub fn same_hall(a: usize, b: usize) -> bool {
    peer(a).hall == peer(b).hall
}

fn server(at: usize, leaving: bool) -> BackendServer {
    let hall = if at < 2 { "a" } else { "b" };
    BackendServer {
        name: engine_name(at),
        hall: hall.parse().unwrap(),
        region: "r".parse().unwrap(),
        address: String::new(),
        class: String::new(),
        speed: 100,
        leaving,
        kind: BackendKind::Engine { base: "base".parse().unwrap(), checks_fence: at != 1 },
    }
}

fn engine_name(at: usize) -> EngineName {
    format!("e{at}").parse().unwrap()
}

/// One of nine adapters, which is more than all slots can hold.
pub fn adapter(at: usize) -> AdapterVersion {
    format!("ad{}@v1", at % 9).parse().unwrap()
}

fn tunables() -> Tunables {
    let mut tunables = Tunables { key_window: KEY_WINDOW, ..Tunables::default() };
    tunables.owner.min_hold = Duration::from_millis(200);
    tunables.budget.per_second = 20.0;
    tunables.budget.at_once = 4;
    tunables
}

/// Wall-clock time at simulated time zero, in milliseconds.
const WALL_CLOCK_AT_ZERO: u64 = 1_795_000_000_000;

/// Number of daemons.
pub const NODES: usize = 4;
/// Number of engines; engine 1 checks no fence.
pub const ENGINES: usize = 3;

impl World {
    pub fn new(seed: u64) -> Self {
        let now = Time(1_000);
        let mut world = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            hosts: Vec::new(),
            engines: (0..ENGINES).map(|at| ModelEngine::new(at != 1)).collect(),
            leaving_since: BTreeMap::new(),
            in_transit: Vec::new(),
            cuts: BTreeSet::new(),
            loss_percent: 0,
            repeat_percent: 0,
            delay: 2,
            kv_down: false,
            kv_cut: BTreeSet::new(),
            leases: BTreeMap::new(),
            next_fence: 0,
            next_token: 0,
            requests: BTreeMap::new(),
            keys: BTreeMap::new(),
            key_owners: BTreeMap::new(),
            violations: Vec::new(),
            unloads: 0,
            runs: 0,
        };
        for at in 0..NODES {
            let host = world.new_host(at, 0);
            world.hosts.push(host);
        }
        for at in 0..NODES {
            world.send_server_list(at);
        }
        world.advance(3_000);
        world
    }

    /// Creates a daemon with a later incarnation than `after`.
    fn new_host(&mut self, at: usize, after: u64) -> Host {
        let seed = self.rng.random();
        let incarnation = (WALL_CLOCK_AT_ZERO + self.now.0).max(after + 1);
        let mut node = Node::new(peer(at), incarnation, tunables(), seed, self.now);
        node.on(self.now, Input::Peers((0..NODES).map(peer).collect()));
        Host {
            peer: peer(at),
            node,
            incarnation,
            paused: false,
            paused_inputs: Vec::new(),
            renewed_at: BTreeMap::new(),
            fences: BTreeMap::new(),
        }
    }

    fn send_server_list(&mut self, node: usize) {
        let list = (0..ENGINES).map(|at| server(at, self.leaving_since.contains_key(&at)));
        let list = list.collect();
        self.input(node, Input::Servers(list));
    }

    /// Passes an input to a daemon, or keeps it until a paused daemon resumes.
    fn input(&mut self, at: usize, input: Input) {
        if self.hosts[at].paused {
            self.hosts[at].paused_inputs.push(input);
            return;
        }
        let effects = self.hosts[at].node.on(self.now, input);
        for effect in effects {
            self.apply_effect(at, effect);
        }
    }

    fn apply_effect(&mut self, at: usize, effect: Effect) {
        let incarnation = self.hosts[at].incarnation;
        match effect {
            Effect::Send { to, body } => self.send(at, &to, body),
            Effect::Engine { engine, task } => self.engine_task(at, &engine, task),
            Effect::Start { token, grant } => {
                let adapter = self.requests[&token].adapter.clone();
                if self.now >= grant.start_by {
                    let (engine, id) = (grant.engine, grant.id);
                    let missing = false;
                    return self.input(at, Input::NotRun { token, engine, id, missing });
                }
                let delay = self.rng.random_range(0..400);
                let open = InTransit::Open { node: at, incarnation, token, grant, adapter };
                self.schedule(delay, open);
            }
            Effect::GiveUp { token, refusal } => self.refused(token, refusal.run),
            Effect::KeySettled { token, verdict, use_by } => {
                assert!(verdict != KeyVerdict::Yours || self.now < use_by);
                self.key_settled(at, token, verdict);
            }
        }
    }

    fn refused(&mut self, token: Token, run: Run) {
        let Some(sent) = self.requests.get_mut(&token) else { return };
        if run == Run::No && sent.runs > 0 {
            self.violations.push(format!("{token:?} was refused as not run but had run"));
        }
        sent.state = RequestState::Refused(run);
    }

    fn key_settled(&mut self, at: usize, token: Token, verdict: KeyVerdict) {
        let key = self.keys[&token];
        if verdict != KeyVerdict::Yours {
            return;
        }
        let owners = self.key_owners.entry(key).or_default();
        let now = self.now;
        let twice = owners.iter().any(|(_, since)| now.since(*since) < KEY_WINDOW);
        if twice {
            self.violations.push(format!("key {key} was granted twice within its window"));
        }
        owners.push((token, now));
        self.input(at, Input::KeepKey { token });
    }

    fn schedule(&mut self, delay: u64, item: InTransit) {
        self.in_transit.push((self.now + Duration::from_millis(delay), item));
    }

    fn send(&mut self, at: usize, to: &NodeName, body: Message) {
        let Some(to) = self.hosts.iter().position(|h| h.peer.node == *to) else { return };
        if self.cuts.contains(&(at.min(to), at.max(to))) {
            return;
        }
        let from = self.hosts[at].node.me().clone();
        let copies = match self.rng.random_range(0..100) {
            n if n < self.loss_percent => 0,
            n if n < self.loss_percent + self.repeat_percent => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delay = self.rng.random_range(1..=self.delay.max(1));
            self.schedule(delay, InTransit::Message { from: from.clone(), to, body: body.clone() });
        }
    }

    fn engine_task(&mut self, node: usize, engine: &EngineName, task: EngineTask) {
        let incarnation = self.hosts[node].incarnation;
        let engine: usize = engine.as_str()[1..].parse().unwrap();
        let asked_at = self.now;
        let item = match task {
            EngineTask::LetGo => return self.release_lease(node, engine),
            EngineTask::Poll => InTransit::Poll { node, incarnation, engine, asked_at },
            EngineTask::RaiseFence(fence) => InTransit::Raise { node, incarnation, engine, fence },
            EngineTask::Order(order) if self.may_order(node, engine) => {
                InTransit::Order { node, incarnation, engine, order }
            }
            EngineTask::Order(order) => {
                let event = Event::OrderDone { id: order.id, result: OrderResult::Failed };
                InTransit::ToNode { node, incarnation, engine, event }
            }
        };
        let delay = self.rng.random_range(1..=self.delay.max(1));
        self.schedule(delay, item);
    }

    /// Releases a lease. Its key is removed at once if the key-value service can be reached;
    /// otherwise the lease is no longer renewed and expires.
    fn release_lease(&mut self, node: usize, engine: usize) {
        let held = self.hosts[node].fences.remove(&engine).is_some();
        self.hosts[node].renewed_at.remove(&engine);
        if held && self.sees_kv(node) {
            self.leases.remove(&engine);
        }
    }

    /// The check that the daemon makes right before an order to an engine without fences.
    fn may_order(&self, node: usize, engine: usize) -> bool {
        let renewed_at = self.hosts[node].renewed_at.get(&engine);
        let recent = renewed_at.is_some_and(|at| self.now.since(*at) < LEASE_ORDER_VALIDITY);
        self.engines[engine].checks_fence || recent
    }

    /// Advances the clock.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now.0 + millis;
        while self.now.0 < end {
            let next_tick = (self.now.0 / TICK + 1) * TICK;
            let next_delivery =
                self.in_transit.iter().map(|(at, _)| at.0).min().unwrap_or(u64::MAX);
            self.now = Time(next_tick.min(next_delivery).clamp(self.now.0, end));
            self.deliver_due();
            if self.now.0 == next_tick {
                self.tick();
            }
        }
    }

    fn deliver_due(&mut self) {
        loop {
            let due = self.in_transit.iter().position(|(at, _)| *at <= self.now);
            let Some(due) = due else { return };
            let (_, item) = self.in_transit.remove(due);
            self.deliver(item);
        }
    }

    fn tick(&mut self) {
        for engine in &mut self.engines {
            engine.record_snapshot(self.now);
        }
        self.leases.retain(|_, lease| self.now < lease.until);
        for at in 0..self.hosts.len() {
            if !self.hosts[at].paused {
                self.renew(at);
                self.input(at, Input::Tick);
            }
        }
    }

    fn sees_kv(&self, node: usize) -> bool {
        !self.kv_down && !self.kv_cut.contains(&node)
    }

    fn renew(&mut self, at: usize) {
        if !self.sees_kv(at) || !self.now.0.is_multiple_of(LEASE_RENEW_INTERVAL.as_millis() as u64)
        {
            return;
        }
        let incarnation = self.hosts[at].incarnation;
        let ours = |l: &Lease| l.node == at && l.incarnation == incarnation;
        for engine in self.hosts[at].fences.keys().copied().collect::<Vec<_>>() {
            match self.leases.get_mut(&engine).filter(|l| ours(l)) {
                Some(lease) => {
                    lease.until = self.now + LEASE_TTL;
                    self.hosts[at].renewed_at.insert(engine, self.now);
                }
                None => {
                    self.hosts[at].fences.remove(&engine);
                    self.hosts[at].renewed_at.remove(&engine);
                }
            }
        }
    }

    fn is_current(&self, node: usize, incarnation: u64) -> bool {
        self.hosts[node].incarnation == incarnation
    }

    fn deliver(&mut self, item: InTransit) {
        match item {
            InTransit::Message { from, to, body } => self.input(to, Input::Message { from, body }),
            InTransit::Poll { node, incarnation, engine, asked_at } => {
                let lag = Duration::from_millis(self.rng.random_range(0..=LAG.as_millis() as u64));
                let mut report = self.engines[engine].report(asked_at, self.now, lag);
                if !self.engines[engine].checks_fence {
                    let host = &self.hosts[node];
                    report.fence = host.fences.get(&engine).copied().unwrap_or(Fence(0));
                    report.lease_at = host.renewed_at.get(&engine).copied();
                }
                self.reply(node, incarnation, engine, Event::Report(report));
            }
            InTransit::Raise { node, incarnation, engine, fence } => {
                self.raise(node, incarnation, engine, fence);
            }
            InTransit::Order { node, incarnation, engine, order } => {
                self.order(node, incarnation, engine, order);
            }
            InTransit::LoadEnd { node, incarnation, engine, order, epoch } => {
                let done = self.engines[engine].end_load(&order.adapter, epoch);
                let result = if done { OrderResult::Done } else { OrderResult::Failed };
                self.answer_order(node, incarnation, engine, order, result);
            }
            InTransit::ToNode { node, incarnation, engine, event } => {
                if self.is_current(node, incarnation) {
                    let engine = engine_name(engine);
                    self.input(node, Input::Engine { engine, event });
                }
            }
            InTransit::Open { node, incarnation, token, grant, adapter } => {
                self.open(node, incarnation, token, grant, adapter);
            }
            InTransit::RunEnd { node, incarnation, token, grant } => {
                self.run_end(node, incarnation, token, grant);
            }
        }
    }

    /// Sends an event from an engine back to a daemon.
    fn reply(&mut self, node: usize, incarnation: u64, engine: usize, event: Event) {
        let delay = self.rng.random_range(1..=self.delay.max(1));
        self.schedule(delay, InTransit::ToNode { node, incarnation, engine, event });
    }

    fn raise(&mut self, node: usize, incarnation: u64, engine: usize, fence: Fence) {
        if self.engines[engine].checks_fence {
            let event = match self.engines[engine].raise(fence) {
                Ok(()) => Event::FenceRaised(fence),
                Err(highest) => Event::FenceRefused(highest),
            };
            return self.reply(node, incarnation, engine, event);
        }
        let free = !self.leases.contains_key(&engine);
        if !self.sees_kv(node) || !free || !self.is_current(node, incarnation) {
            return;
        }
        let until = self.now + LEASE_TTL;
        self.leases.insert(engine, Lease { node, incarnation, until });
        self.next_fence += 1;
        let fence = Fence(self.next_fence);
        let now = self.now;
        self.hosts[node].fences.insert(engine, fence);
        self.hosts[node].renewed_at.insert(engine, now);
        self.reply(node, incarnation, engine, Event::FenceRaised(fence));
    }

    fn order(&mut self, node: usize, incarnation: u64, engine: usize, order: Order) {
        if let Some(fenced) = self.engines[engine].fenced(&order) {
            return self.answer_order(node, incarnation, engine, order, fenced);
        }
        if is_load(&order) {
            if !self.engines[engine].begin_load(&order.adapter) {
                return self.answer_order(node, incarnation, engine, order, OrderResult::Failed);
            }
            let epoch = self.engines[engine].epoch;
            let delay = self.rng.random_range(100..1_500);
            return self
                .schedule(delay, InTransit::LoadEnd { node, incarnation, engine, order, epoch });
        }
        let (result, in_use) = self.engines[engine].unload(&order.adapter);
        self.unloads += 1;
        if in_use > 0 {
            self.violations
                .push(format!("{} was unloaded from e{engine} while in use", order.adapter));
        }
        self.answer_order(node, incarnation, engine, order, result);
    }

    /// Answers an order. If the answer is lost, the daemon gets an unknown result.
    fn answer_order(
        &mut self,
        node: usize,
        incarnation: u64,
        engine: usize,
        order: Order,
        result: OrderResult,
    ) {
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        let result = if lost { OrderResult::Unknown } else { result };
        self.reply(node, incarnation, engine, Event::OrderDone { id: order.id, result });
    }

    fn open(
        &mut self,
        node: usize,
        incarnation: u64,
        token: Token,
        grant: Grant,
        adapter: AdapterVersion,
    ) {
        let at: usize = grant.engine.as_str()[1..].parse().unwrap();
        let engine = &mut self.engines[at];
        if !engine.loaded.contains(&adapter) {
            let (engine, id) = (grant.engine, grant.id);
            if self.is_current(node, incarnation) {
                self.input(node, Input::NotRun { token, engine, id, missing: true });
            }
            return;
        }
        engine.running.insert(grant.id, (adapter.clone(), token));
        self.runs += 1;
        if self.leaving_since.get(&at).is_some_and(|t| self.now.since(*t) > LEAVE_WITHIN) {
            self.violations.push(format!("e{at} got a request after it had left"));
        }
        let sent = self.requests.get_mut(&token).unwrap();
        sent.runs += 1;
        if sent.adapter != adapter {
            self.violations.push(format!("{token:?} ran on {adapter}"));
        }
        if sent.runs > 1 {
            self.violations.push(format!("{token:?} ran {} times", sent.runs));
        }
        let delay = self.rng.random_range(50..6_000);
        self.schedule(delay, InTransit::RunEnd { node, incarnation, token, grant });
    }

    /// Finishes a request. If the connection broke, the entry node only notices the break and the
    /// request goes on running for a while.
    fn run_end(&mut self, node: usize, incarnation: u64, token: Token, grant: Grant) {
        let at: usize = grant.engine.as_str()[1..].parse().unwrap();
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost {
            let (more, ended) = (self.rng.random_range(100..3_000), false);
            self.finish(node, incarnation, token, grant.clone(), ended);
            return self.schedule(more, InTransit::RunEnd { node, incarnation: 0, token, grant });
        }
        self.engines[at].running.remove(&grant.id);
        self.finish(node, incarnation, token, grant, true);
    }

    fn finish(&mut self, node: usize, incarnation: u64, token: Token, grant: Grant, ended: bool) {
        if !self.is_current(node, incarnation) {
            return;
        }
        self.requests.get_mut(&token).unwrap().state = RequestState::Done;
        let (engine, id) = (grant.engine, grant.id);
        self.input(node, Input::Finished { token, engine, id, ended });
    }

    /// A caller sends a request to a daemon.
    pub fn request(&mut self, node: usize, wanted: usize, wait: u64, background: bool) {
        if self.hosts[node].paused {
            return;
        }
        self.next_token += 1;
        let token = Token(self.next_token);
        let class = if background { Class::Background } else { Class::Interactive };
        let adapter = adapter(wanted);
        self.requests.insert(
            token,
            SentRequest { adapter: adapter.clone(), runs: 0, state: RequestState::Open },
        );
        let wanted = Wanted {
            adapter,
            base: "base".parse().unwrap(),
            node_class: None,
            class,
            prefix: 0,
            tried: Vec::new(),
        };
        let deadline = self.now + Duration::from_millis(wait);
        self.input(node, Input::Begin { token, spec: Spec { wanted, deadline } });
    }

    /// A caller sends a request with an idempotency key.
    pub fn request_with_key(&mut self, node: usize, key: u128) {
        if self.hosts[node].paused {
            return;
        }
        self.next_token += 1;
        let token = Token(self.next_token);
        self.keys.insert(token, key);
        self.input(node, Input::Claim { token, key });
    }

    pub fn cancel(&mut self, back: u64) {
        let token = Token(self.next_token.saturating_sub(back));
        let Some(sent) = self.requests.get_mut(&token) else { return };
        if sent.state != RequestState::Open || sent.runs > 0 {
            return;
        }
        sent.state = RequestState::CallerGone;
        for at in 0..self.hosts.len() {
            if !self.hosts[at].paused {
                self.input(at, Input::Cancel(token));
            }
        }
    }

    pub fn network(&mut self, loss_percent: u32, repeat_percent: u32, delay: u64) {
        (self.loss_percent, self.repeat_percent, self.delay) =
            (loss_percent, repeat_percent, delay);
    }

    pub fn cut(&mut self, a: usize, b: usize) {
        self.cuts.insert((a.min(b), a.max(b)));
    }

    pub fn pause(&mut self, node: usize) {
        self.hosts[node].paused = true;
    }

    pub fn resume(&mut self, node: usize) {
        self.hosts[node].paused = false;
        for input in std::mem::take(&mut self.hosts[node].paused_inputs) {
            self.input(node, input);
        }
    }

    /// Restarts a daemon, which loses its state.
    pub fn restart_node(&mut self, node: usize) {
        let after = self.hosts[node].incarnation;
        self.hosts[node] = self.new_host(node, after);
        self.send_server_list(node);
        self.mark_orphaned();
    }

    /// Marks all open requests as orphaned: the restarted daemon may no longer know them.
    fn mark_orphaned(&mut self) {
        for sent in self.requests.values_mut().filter(|s| s.state == RequestState::Open) {
            sent.state = RequestState::Orphaned;
        }
    }

    pub fn restart_engine(&mut self, engine: usize) {
        let now = self.now;
        self.engines[engine].restart(now);
    }

    pub fn engine_leaves(&mut self, engine: usize) {
        let now = self.now;
        self.engines[engine].leaving = true;
        self.leaving_since.entry(engine).or_insert(now);
    }

    pub fn node_leaves(&mut self, node: usize) {
        self.input(node, Input::Leave);
    }

    pub fn set_kv_down(&mut self, down: bool) {
        self.kv_down = down;
    }

    /// Disconnects a daemon from the key-value service.
    pub fn cut_kv(&mut self, node: usize) {
        self.kv_cut.insert(node);
    }

    /// The daemon that holds the lease of an engine.
    pub fn lease_holder(&self, engine: usize) -> Option<usize> {
        self.leases.get(&engine).map(|lease| lease.node)
    }

    /// Ends every fault.
    pub fn heal(&mut self) {
        self.network(0, 0, 5);
        self.cuts.clear();
        self.kv_cut.clear();
        self.kv_down = false;
        for at in 0..self.hosts.len() {
            self.resume(at);
        }
    }

    /// Number of requests without an answer.
    pub fn unanswered(&self) -> usize {
        self.requests.values().filter(|sent| sent.state == RequestState::Open).count()
    }

    /// Number of keys granted to requests.
    pub fn granted_keys(&self) -> usize {
        self.key_owners.values().map(Vec::len).sum()
    }

    pub fn answered(&self) -> usize {
        self.requests.values().filter(|sent| sent.state == RequestState::Done).count()
    }
}
