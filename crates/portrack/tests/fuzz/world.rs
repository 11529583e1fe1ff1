//! Several daemons' decisions, model engines, and a network that delays, loses, repeats and cuts.

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

/// Between ticks of a daemon.
const TICK: u64 = 50;
/// How long a lease lives in the key-value service.
const LEASE_TTL: Duration = Duration::from_secs(30);
/// Orders stop when the lease was renewed this long ago.
const LEASE_ORDERS: Duration = Duration::from_secs(15);
/// Between renewals.
const LEASE_RENEW: Duration = Duration::from_secs(10);
/// A leaving engine may get new work for this long.
const LEAVE_WITHIN: Duration = Duration::from_secs(5);
/// How long keys are remembered.
const KEY_WINDOW: Duration = Duration::from_secs(8);

/// Something on its way.
#[derive(Debug, Clone)]
enum Flight {
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
    held: Vec<Input>,
    renewed: BTreeMap<usize, Time>,
    fences: BTreeMap<usize, Fence>,
}

#[derive(Debug, Clone, Copy)]
struct LeaseHeld {
    node: usize,
    incarnation: u64,
    until: Time,
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Open,
    Done,
    Refused(Run),
    /// Its entry node restarted.
    Orphaned,
    /// Its caller did not wait.
    CallerGone,
}

struct Sent {
    adapter: AdapterVersion,
    runs: usize,
    fate: Fate,
}

/// Everything, on one clock.
pub struct World {
    now: Time,
    rng: SmallRng,
    hosts: Vec<Host>,
    pub engines: Vec<ModelEngine>,
    leaving_since: BTreeMap<usize, Time>,
    flights: Vec<(Time, Flight)>,
    cuts: BTreeSet<(usize, usize)>,
    loss_percent: u32,
    repeat_percent: u32,
    delay: u64,
    kv_down: bool,
    kv_cut: BTreeSet<usize>,
    leases: BTreeMap<usize, LeaseHeld>,
    next_fence: u64,
    next_token: u64,
    requests: BTreeMap<Token, Sent>,
    keys: BTreeMap<Token, u128>,
    key_owners: BTreeMap<u128, Vec<(Token, Time)>>,
    pub broken: Vec<String>,
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

/// The daemon that plans loads while all are there.
pub fn planner() -> usize {
    let names: Vec<NodeName> = (0..NODES).map(|at| peer(at).node).collect();
    let planner = portrack::membership::highest("load-planner", &names);
    names.iter().position(|name| Some(name) == planner).unwrap()
}

/// True if two daemons stand in the same hall.
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

/// One of a few adapters, more than all slots hold.
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

/// Wall-clock milliseconds at the world's time zero.
const WALL: u64 = 1_795_000_000_000;

/// Daemons and engines in each world.
pub const NODES: usize = 4;
/// Engine 1 checks no fence.
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
            flights: Vec::new(),
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
            broken: Vec::new(),
            unloads: 0,
            runs: 0,
        };
        for at in 0..NODES {
            let host = world.new_host(at, 0);
            world.hosts.push(host);
        }
        for at in 0..NODES {
            world.tell_servers(at);
        }
        world.advance(3_000);
        world
    }

    /// A fresh daemon, of a later incarnation than `after`.
    fn new_host(&mut self, at: usize, after: u64) -> Host {
        let seed = self.rng.random();
        let incarnation = (WALL + self.now.0).max(after + 1);
        let mut node = Node::new(peer(at), incarnation, tunables(), seed, self.now);
        node.on(self.now, Input::Peers((0..NODES).map(peer).collect()));
        Host {
            peer: peer(at),
            node,
            incarnation,
            paused: false,
            held: Vec::new(),
            renewed: BTreeMap::new(),
            fences: BTreeMap::new(),
        }
    }

    fn tell_servers(&mut self, node: usize) {
        let list = (0..ENGINES).map(|at| server(at, self.leaving_since.contains_key(&at)));
        let list = list.collect();
        self.input(node, Input::Servers(list));
    }

    /// Feeds a daemon, or keeps the input until it wakes.
    fn input(&mut self, at: usize, input: Input) {
        if self.hosts[at].paused {
            self.hosts[at].held.push(input);
            return;
        }
        let effects = self.hosts[at].node.on(self.now, input);
        for effect in effects {
            self.carry_out(at, effect);
        }
    }

    fn carry_out(&mut self, at: usize, effect: Effect) {
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
                let open = Flight::Open { node: at, incarnation, token, grant, adapter };
                self.fly(delay, open);
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
            self.broken.push(format!("{token:?} was refused as not run and had run"));
        }
        sent.fate = Fate::Refused(run);
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
            self.broken.push(format!("key {key} was given twice within its window"));
        }
        owners.push((token, now));
        self.input(at, Input::KeepKey { token });
    }

    fn fly(&mut self, delay: u64, flight: Flight) {
        self.flights.push((self.now + Duration::from_millis(delay), flight));
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
            self.fly(delay, Flight::Message { from: from.clone(), to, body: body.clone() });
        }
    }

    fn engine_task(&mut self, node: usize, engine: &EngineName, task: EngineTask) {
        let incarnation = self.hosts[node].incarnation;
        let engine: usize = engine.as_str()[1..].parse().unwrap();
        let asked_at = self.now;
        let flight = match task {
            EngineTask::LetGo => return self.let_go(node, engine),
            EngineTask::Poll => Flight::Poll { node, incarnation, engine, asked_at },
            EngineTask::RaiseFence(fence) => Flight::Raise { node, incarnation, engine, fence },
            EngineTask::Order(order) if self.may_order(node, engine) => {
                Flight::Order { node, incarnation, engine, order }
            }
            EngineTask::Order(order) => {
                let event = Event::OrderDone { id: order.id, result: OrderResult::Failed };
                Flight::ToNode { node, incarnation, engine, event }
            }
        };
        let delay = self.rng.random_range(1..=self.delay.max(1));
        self.fly(delay, flight);
    }

    /// The key is removed at once if the service can be reached, else at the next renewal.
    fn let_go(&mut self, node: usize, engine: usize) {
        let held = self.hosts[node].fences.remove(&engine).is_some();
        self.hosts[node].renewed.remove(&engine);
        if held && self.sees_kv(node) {
            self.leases.remove(&engine);
        }
    }

    /// The look that the daemon takes right before an order to an engine without fences.
    fn may_order(&self, node: usize, engine: usize) -> bool {
        let renewed = self.hosts[node].renewed.get(&engine);
        let recent = renewed.is_some_and(|at| self.now.since(*at) < LEASE_ORDERS);
        self.engines[engine].checks_fence || recent
    }

    /// Moves the clock on.
    pub fn advance(&mut self, millis: u64) {
        let end = self.now.0 + millis;
        while self.now.0 < end {
            let next_tick = (self.now.0 / TICK + 1) * TICK;
            let next_flight = self.flights.iter().map(|(at, _)| at.0).min().unwrap_or(u64::MAX);
            self.now = Time(next_tick.min(next_flight).clamp(self.now.0, end));
            self.land();
            if self.now.0 == next_tick {
                self.tick();
            }
        }
    }

    fn land(&mut self) {
        loop {
            let due = self.flights.iter().position(|(at, _)| *at <= self.now);
            let Some(due) = due else { return };
            let (_, flight) = self.flights.remove(due);
            self.arrive(flight);
        }
    }

    fn tick(&mut self) {
        for engine in &mut self.engines {
            engine.remember(self.now);
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
        if !self.sees_kv(at) || !self.now.0.is_multiple_of(LEASE_RENEW.as_millis() as u64) {
            return;
        }
        let incarnation = self.hosts[at].incarnation;
        let ours = |l: &LeaseHeld| l.node == at && l.incarnation == incarnation;
        for engine in self.hosts[at].fences.keys().copied().collect::<Vec<_>>() {
            match self.leases.get_mut(&engine).filter(|l| ours(l)) {
                Some(lease) => {
                    lease.until = self.now + LEASE_TTL;
                    self.hosts[at].renewed.insert(engine, self.now);
                }
                None => {
                    self.hosts[at].fences.remove(&engine);
                    self.hosts[at].renewed.remove(&engine);
                }
            }
        }
    }

    fn is_current(&self, node: usize, incarnation: u64) -> bool {
        self.hosts[node].incarnation == incarnation
    }

    fn arrive(&mut self, flight: Flight) {
        match flight {
            Flight::Message { from, to, body } => self.input(to, Input::Message { from, body }),
            Flight::Poll { node, incarnation, engine, asked_at } => {
                let lag = Duration::from_millis(self.rng.random_range(0..=LAG.as_millis() as u64));
                let mut report = self.engines[engine].report(asked_at, self.now, lag);
                if !self.engines[engine].checks_fence {
                    let host = &self.hosts[node];
                    report.fence = host.fences.get(&engine).copied().unwrap_or(Fence(0));
                    report.lease_at = host.renewed.get(&engine).copied();
                }
                self.back(node, incarnation, engine, Event::Report(report));
            }
            Flight::Raise { node, incarnation, engine, fence } => {
                self.raise(node, incarnation, engine, fence);
            }
            Flight::Order { node, incarnation, engine, order } => {
                self.order(node, incarnation, engine, order);
            }
            Flight::LoadEnd { node, incarnation, engine, order, epoch } => {
                let done = self.engines[engine].end_load(&order.adapter, epoch);
                let result = if done { OrderResult::Done } else { OrderResult::Failed };
                self.answer_order(node, incarnation, engine, order, result);
            }
            Flight::ToNode { node, incarnation, engine, event } => {
                if self.is_current(node, incarnation) {
                    let engine = engine_name(engine);
                    self.input(node, Input::Engine { engine, event });
                }
            }
            Flight::Open { node, incarnation, token, grant, adapter } => {
                self.open(node, incarnation, token, grant, adapter);
            }
            Flight::RunEnd { node, incarnation, token, grant } => {
                self.run_end(node, incarnation, token, grant);
            }
        }
    }

    /// An engine's word flies back.
    fn back(&mut self, node: usize, incarnation: u64, engine: usize, event: Event) {
        let delay = self.rng.random_range(1..=self.delay.max(1));
        self.fly(delay, Flight::ToNode { node, incarnation, engine, event });
    }

    fn raise(&mut self, node: usize, incarnation: u64, engine: usize, fence: Fence) {
        if self.engines[engine].checks_fence {
            let event = match self.engines[engine].raise(fence) {
                Ok(()) => Event::FenceRaised(fence),
                Err(highest) => Event::FenceRefused(highest),
            };
            return self.back(node, incarnation, engine, event);
        }
        let free = !self.leases.contains_key(&engine);
        if !self.sees_kv(node) || !free || !self.is_current(node, incarnation) {
            return;
        }
        let until = self.now + LEASE_TTL;
        self.leases.insert(engine, LeaseHeld { node, incarnation, until });
        self.next_fence += 1;
        let fence = Fence(self.next_fence);
        let now = self.now;
        self.hosts[node].fences.insert(engine, fence);
        self.hosts[node].renewed.insert(engine, now);
        self.back(node, incarnation, engine, Event::FenceRaised(fence));
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
            return self.fly(delay, Flight::LoadEnd { node, incarnation, engine, order, epoch });
        }
        let (result, in_use) = self.engines[engine].unload(&order.adapter);
        self.unloads += 1;
        if in_use > 0 {
            self.broken.push(format!("{} was unloaded from e{engine} in use", order.adapter));
        }
        self.answer_order(node, incarnation, engine, order, result);
    }

    /// The answer to an order may get lost: the daemon then knows nothing.
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
        self.back(node, incarnation, engine, Event::OrderDone { id: order.id, result });
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
            self.broken.push(format!("e{at} got work after it had left"));
        }
        let sent = self.requests.get_mut(&token).unwrap();
        sent.runs += 1;
        if sent.adapter != adapter {
            self.broken.push(format!("{token:?} ran on {adapter}"));
        }
        if sent.runs > 1 {
            self.broken.push(format!("{token:?} ran {} times", sent.runs));
        }
        let delay = self.rng.random_range(50..6_000);
        self.fly(delay, Flight::RunEnd { node, incarnation, token, grant });
    }

    /// The engine is done; the entry node gets the end, or only notices a broken connection.
    fn run_end(&mut self, node: usize, incarnation: u64, token: Token, grant: Grant) {
        let at: usize = grant.engine.as_str()[1..].parse().unwrap();
        let lost = self.rng.random_range(0..100) < self.loss_percent;
        if lost {
            let (more, ended) = (self.rng.random_range(100..3_000), false);
            self.finish(node, incarnation, token, grant.clone(), ended);
            return self.fly(more, Flight::RunEnd { node, incarnation: 0, token, grant });
        }
        self.engines[at].running.remove(&grant.id);
        self.finish(node, incarnation, token, grant, true);
    }

    fn finish(&mut self, node: usize, incarnation: u64, token: Token, grant: Grant, ended: bool) {
        if !self.is_current(node, incarnation) {
            return;
        }
        self.requests.get_mut(&token).unwrap().fate = Fate::Done;
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
        self.requests.insert(token, Sent { adapter: adapter.clone(), runs: 0, fate: Fate::Open });
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
    pub fn keyed(&mut self, node: usize, key: u128) {
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
        if sent.fate != Fate::Open || sent.runs > 0 {
            return;
        }
        sent.fate = Fate::CallerGone;
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
        for input in std::mem::take(&mut self.hosts[node].held) {
            self.input(node, input);
        }
    }

    /// A daemon dies and comes back with nothing.
    pub fn restart_node(&mut self, node: usize) {
        let after = self.hosts[node].incarnation;
        self.hosts[node] = self.new_host(node, after);
        self.tell_servers(node);
        self.orphan();
    }

    /// Requests whose daemon no longer knows them have no answer to expect.
    fn orphan(&mut self) {
        for sent in self.requests.values_mut().filter(|s| s.fate == Fate::Open) {
            sent.fate = Fate::Orphaned;
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

    /// Cuts one daemon off from the key-value service.
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

    /// Requests that never got an answer.
    pub fn unanswered(&self) -> usize {
        self.requests.values().filter(|sent| sent.fate == Fate::Open).count()
    }

    /// Keys that were given to a request.
    pub fn keys_given(&self) -> usize {
        self.key_owners.values().map(Vec::len).sum()
    }

    pub fn answered(&self) -> usize {
        self.requests.values().filter(|sent| sent.fate == Fate::Done).count()
    }
}
