//! Decides which server loads or drops what. A state machine without sockets or clocks.

use super::adapter_demand::AdapterDemand;
use super::backend::Backend;
use super::config::{EngineSpec, FleetConfig};
use super::demand::Asked;
use super::dialect::AdapterKey;
use super::load_budget::LoadBudget;
use super::planned_server::{PlannedServer, SlotState};
use crate::membership::ranked;
use crate::types::Time;
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Adapters fetched from the weight store at the same time; more slow each other down.
const MOST_COLD: usize = 24;
/// A load is worth it from here on: one request that waits is enough.
const WORTH_A_LOAD: f64 = 0.5;
/// An outdated adapter asked for less than this is dropped instead of replaced.
const WORTH_A_REPLACEMENT: f64 = 0.4;
/// Copies for a share of the requests equal to one server's.
const COPIES_PER_SERVER_SHARE: f64 = 1.5;
/// Requests of the last seconds below which no further copies are made.
const COPIES_FROM_RATE: f64 = 8.0;
/// Servers in rendezvous order among which a load goes.
const HOMES: usize = 3;
/// A base model that was ordered and is not there after this is ordered again.
const BASE_PATIENCE: Duration = Duration::from_secs(8);
/// Adapters nobody asked for in so long are forgotten.
const FORGET_RATE: f64 = 0.01;

/// What is to be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedLoad {
    /// A base model.
    Base(Rc<str>),
    /// An adapter at a version.
    Adapter(AdapterKey, u64),
    /// Nothing: only something goes.
    Nothing,
}

/// Why it is to be loaded, for logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanReason {
    /// A server without a base model.
    EmptyServer,
    /// A newer version was named.
    NewVersion,
    /// Requests do not find it.
    Missing,
    /// One copy is not enough.
    Copy,
}

impl PlanReason {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::EmptyServer => "empty_server",
            Self::NewVersion => "new_version",
            Self::Missing => "missing",
            Self::Copy => "copy",
        }
    }
}

/// One step at one server: something goes, something comes.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The server.
    pub server: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The adapter that makes way.
    pub evict: Option<AdapterKey>,
    /// What comes.
    pub load: PlannedLoad,
    /// Why.
    pub reason: PlanReason,
    /// It has to come from the weight store.
    pub cold: bool,
    /// What it was worth.
    pub worth: f64,
}

/// How a step ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanEnd {
    /// It is loaded.
    Done,
    /// The server refused.
    Refused,
    /// No answer: it may have been taken.
    Unknown,
    /// Nothing was sent.
    NotSent,
}

/// The planner.
#[derive(Debug, Default)]
pub struct Planner {
    config: Option<Rc<FleetConfig>>,
    servers: BTreeMap<Rc<str>, PlannedServer>,
    demand: HashMap<AdapterKey, AdapterDemand>,
    versions: HashMap<AdapterKey, u64>,
    budgets: HashMap<Rc<str>, LoadBudget>,
    cold: HashSet<(Rc<str>, AdapterKey)>,
}

impl Planner {
    /// Takes a configuration in.
    pub fn config(&mut self, now: Time, config: Rc<FleetConfig>) {
        for service in config.services.values() {
            let Some(engine) = &service.engine else { continue };
            let new = || LoadBudget::new(now, engine.loads_per_second);
            let budget = self.budgets.entry(service.name.clone()).or_insert_with(new);
            budget.set_rate(engine.loads_per_second);
        }
        self.config = Some(config);
    }

    /// Takes a server's entry in.
    pub fn server(&mut self, now: Time, backend: &Backend) {
        match self.servers.get_mut(&backend.id) {
            Some(server) => server.listed(now, backend),
            None => {
                self.servers.insert(backend.id.clone(), PlannedServer::new(now, backend));
            }
        }
    }

    /// A server is gone.
    pub fn server_gone(&mut self, id: &str) {
        self.servers.remove(id);
        self.cold.retain(|(server, _)| &**server != id);
    }

    /// A newer version of an adapter is named.
    pub fn named(&mut self, key: &AdapterKey, version: u64) {
        let named = self.versions.entry(key.clone()).or_insert(version);
        *named = version.max(*named);
    }

    /// Requests asked for an adapter.
    pub fn asked(&mut self, now: Time, key: &AdapterKey, asked: Asked) {
        self.demand.entry(key.clone()).or_default().asked(now, asked);
    }

    /// Begins an office: loads of a predecessor are not known, so the budget starts empty.
    pub fn begin(&mut self, now: Time) {
        self.cold.clear();
        let Some(config) = &self.config else { return };
        for service in config.services.values() {
            let Some(engine) = &service.engine else { continue };
            let budget = LoadBudget::new(now, engine.loads_per_second);
            self.budgets.insert(service.name.clone(), budget);
        }
        for server in self.servers.values_mut() {
            server.slots.retain(|_, slot| slot.state == SlotState::Held);
        }
    }

    /// Forgets adapters that nobody asks for any more.
    pub fn sweep(&mut self, now: Time) {
        self.demand.retain(|_, demand| demand.rate(now) > FORGET_RATE);
    }

    /// The next steps.
    pub fn plan(&mut self, now: Time) -> Vec<Plan> {
        let Some(config) = self.config.clone() else { return Vec::new() };
        let mut plans = Vec::new();
        for service in config.services.values() {
            let Some(spec) = &service.engine else { continue };
            plans.extend(self.base_loads(now, &service.name, spec));
            while let Some(plan) = self.next_adapter(now, &service.name, spec) {
                plans.push(plan);
            }
        }
        plans
    }

    fn base_loads(&mut self, now: Time, service: &Rc<str>, spec: &EngineSpec) -> Vec<Plan> {
        let Some(model) = spec.models.first() else { return Vec::new() };
        let empty = |server: &&mut PlannedServer| {
            let ordered = server.base_ordered_at;
            let waiting = ordered.is_some_and(|at| now.since(at) < BASE_PATIENCE);
            let ours = server.service == *service;
            ours && server.models.is_empty() && server.takes_orders(now) && !waiting
        };
        let mut plans = Vec::new();
        for server in self.servers.values_mut().filter(empty) {
            let Some(budget) = self.budgets.get_mut(service) else { break };
            if !budget.take(now) {
                break;
            }
            server.base_ordered_at = Some(now);
            plans.push(Plan {
                server: server.id.clone(),
                address: server.address,
                evict: None,
                load: PlannedLoad::Base(model.name.clone()),
                reason: PlanReason::EmptyServer,
                cold: true,
                worth: 0.0,
            });
        }
        plans
    }

    fn next_adapter(&mut self, now: Time, service: &Rc<str>, spec: &EngineSpec) -> Option<Plan> {
        self.outdated(now, service)
            .or_else(|| self.missing(now, service, spec))
            .or_else(|| self.copy(now, service, spec))
    }

    fn version(&self, key: &AdapterKey) -> u64 {
        self.versions.get(key).copied().unwrap_or(1)
    }

    /// True if an adapter may be fetched from the weight store.
    fn may_fetch(&self) -> bool {
        self.cold.len() < MOST_COLD
    }

    /// An adapter at a server whose version is no longer the newest.
    fn outdated(&mut self, now: Time, service: &Rc<str>) -> Option<Plan> {
        let mut worst: Option<(f64, Rc<str>, AdapterKey, u64)> = None;
        for server in self.servers.values() {
            if server.service != *service || !server.takes_orders(now) {
                continue;
            }
            for (key, slot) in &server.slots {
                let newest = self.version(key);
                if slot.version >= newest || slot.state != SlotState::Held {
                    continue;
                }
                let rate = self.demand.get(key).map_or(0.0, |demand| demand.rate(now));
                if worst.as_ref().is_none_or(|(most, ..)| rate > *most) {
                    worst = Some((rate, server.id.clone(), key.clone(), newest));
                }
            }
        }
        let (rate, id, key, newest) = worst?;
        if rate < WORTH_A_REPLACEMENT {
            return self.drop_outdated(now, &id, key);
        }
        if !self.may_fetch() {
            return None;
        }
        let server = self.servers.get_mut(&id)?;
        server.set(now, &key, newest, SlotState::Loading);
        self.cold.insert((id.clone(), key.clone()));
        Some(Plan {
            server: id,
            address: server.address,
            evict: None,
            load: PlannedLoad::Adapter(key, newest),
            reason: PlanReason::NewVersion,
            cold: true,
            worth: rate,
        })
    }

    fn drop_outdated(&mut self, now: Time, id: &Rc<str>, key: AdapterKey) -> Option<Plan> {
        let server = self.servers.get_mut(id)?;
        let version = server.slots.get(&key)?.version;
        server.set(now, &key, version, SlotState::Leaving);
        Some(Plan {
            server: id.clone(),
            address: server.address,
            evict: Some(key),
            load: PlannedLoad::Nothing,
            reason: PlanReason::NewVersion,
            cold: false,
            worth: 0.0,
        })
    }

    /// True if some server that takes work holds an adapter at its newest version, or soon will.
    fn is_provided(&self, key: &AdapterKey) -> bool {
        let newest = self.version(key);
        let provides = |server: &PlannedServer| {
            let slot = server.slots.get(key);
            let good = slot.is_some_and(|s| s.version >= newest && s.state != SlotState::Leaving);
            good && !server.draining
        };
        self.servers.values().any(provides)
    }

    /// The missing adapter whose load is worth most.
    fn missing(&mut self, now: Time, service: &Rc<str>, spec: &EngineSpec) -> Option<Plan> {
        let mut wanted: Vec<(f64, AdapterKey)> = self
            .demand
            .iter()
            .map(|(key, demand)| (demand.worth(now), key.clone()))
            .filter(|(worth, key)| *worth >= WORTH_A_LOAD && !self.is_provided(key))
            .collect();
        wanted.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| x.cmp(y)));
        for (worth, key) in wanted {
            spec.model(&key.model)?;
            let Some((server, evict)) = self.home(now, service, spec, &key, worth) else {
                continue;
            };
            return self.load(now, &server, evict, key, PlanReason::Missing, worth);
        }
        None
    }

    /// The server for an adapter: one that has it at hand, or the first of its homes with room.
    fn home(
        &self,
        now: Time,
        service: &Rc<str>,
        spec: &EngineSpec,
        key: &AdapterKey,
        worth: f64,
    ) -> Option<(Rc<str>, Option<AdapterKey>)> {
        let version = self.version(key);
        let open = |server: &&PlannedServer| {
            let ours = server.service == *service && server.is_open(now, &key.model);
            ours && !server.slots.contains_key(key)
        };
        let open: Vec<&PlannedServer> = self.servers.values().filter(open).collect();
        let names: Vec<&str> = open.iter().map(|server| &*server.id).collect();
        let order = ranked(&key.adapter, names);
        let warm = order.iter().filter(|id| self.servers[**id].at_hand(key, version));
        let homes = order.iter().take(HOMES);
        for id in warm.chain(homes) {
            let server = &self.servers[*id];
            if server.free(spec, &key.model) > 0 {
                return Some((server.id.clone(), None));
            }
            if let Some(victim) = self.victim(now, server, worth) {
                return Some((server.id.clone(), Some(victim)));
            }
        }
        None
    }

    /// The adapter that is asked for least at a server, if less than what is to come.
    fn victim(&self, now: Time, server: &PlannedServer, worth: f64) -> Option<AdapterKey> {
        let held = server.slots.iter().filter(|(_, slot)| slot.state == SlotState::Held);
        let rated = held.map(|(key, _)| {
            let rate = self.demand.get(key).map_or(0.0, |demand| demand.rate(now));
            let copies = self.copies(key).max(1) as f64;
            (rate / copies, key)
        });
        let least = rated.min_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.cmp(y)));
        let (rate, key) = least?;
        (rate < worth).then(|| key.clone())
    }

    fn copies(&self, key: &AdapterKey) -> usize {
        let newest = self.version(key);
        let has = |server: &&PlannedServer| {
            let slot = server.slots.get(key);
            !server.draining && slot.is_some_and(|slot| slot.version >= newest)
        };
        self.servers.values().filter(has).count()
    }

    /// A further copy of an adapter that is too hot for those that hold it.
    fn copy(&mut self, now: Time, service: &Rc<str>, spec: &EngineSpec) -> Option<Plan> {
        let servers = self.servers.values().filter(|s| s.service == *service && !s.draining);
        let servers = servers.count();
        let total: f64 = self.demand.values().map(|demand| demand.rate(now)).sum();
        if servers < 2 {
            return None;
        }
        let mut short: Vec<(f64, AdapterKey)> = Vec::new();
        for (key, demand) in &self.demand {
            let rate = demand.rate(now);
            if rate < COPIES_FROM_RATE {
                continue;
            }
            let wanted = rate / total * servers as f64 * COPIES_PER_SERVER_SHARE;
            let copies = self.copies(key);
            if copies > 0 && wanted > copies as f64 + 0.5 && copies < servers {
                short.push((rate / copies as f64, key.clone()));
            }
        }
        short.sort_by(|(a, x), (b, y)| b.total_cmp(a).then_with(|| x.cmp(y)));
        let (rate, key) = short.into_iter().next()?;
        let (server, evict) = self.copy_home(now, service, spec, &key, rate)?;
        self.load(now, &server, evict, key, PlanReason::Copy, rate)
    }

    /// The server whose adapters are asked for least, in a hall without a copy if there is one.
    fn copy_home(
        &self,
        now: Time,
        service: &Rc<str>,
        spec: &EngineSpec,
        key: &AdapterKey,
        worth: f64,
    ) -> Option<(Rc<str>, Option<AdapterKey>)> {
        let halls: HashSet<&Rc<str>> = self
            .servers
            .values()
            .filter(|server| server.slots.contains_key(key))
            .map(|server| &server.hall)
            .collect();
        let open = self.servers.values().filter(|server| {
            let ours = server.service == *service && server.is_open(now, &key.model);
            ours && !server.slots.contains_key(key)
        });
        let mut open: Vec<(bool, f64, &PlannedServer)> = open
            .map(|server| (halls.contains(&server.hall), self.rate_at(now, server), server))
            .collect();
        open.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        for (_, _, server) in open {
            if server.free(spec, &key.model) > 0 {
                return Some((server.id.clone(), None));
            }
            if let Some(victim) = self.victim(now, server, worth) {
                return Some((server.id.clone(), Some(victim)));
            }
        }
        None
    }

    fn rate_at(&self, now: Time, server: &PlannedServer) -> f64 {
        let rate = |key| self.demand.get(key).map_or(0.0, |demand| demand.rate(now));
        server.slots.keys().map(|key| rate(key) / self.copies(key).max(1) as f64).sum()
    }

    fn load(
        &mut self,
        now: Time,
        server: &Rc<str>,
        evict: Option<AdapterKey>,
        key: AdapterKey,
        reason: PlanReason,
        worth: f64,
    ) -> Option<Plan> {
        let version = self.version(&key);
        let cold = !self.servers.get(server)?.at_hand(&key, version);
        if cold && !self.may_fetch() {
            return None;
        }
        let target = self.servers.get_mut(server)?;
        if let Some(victim) = &evict {
            let version = target.slots.get(victim)?.version;
            target.set(now, victim, version, SlotState::Leaving);
        }
        target.set(now, &key, version, SlotState::Loading);
        if cold {
            self.cold.insert((server.clone(), key.clone()));
        }
        let address = target.address;
        let load = PlannedLoad::Adapter(key, version);
        Some(Plan { server: server.clone(), address, evict, load, reason, cold, worth })
    }

    /// A server dropped what made way.
    pub fn evicted(&mut self, now: Time, server: &str, key: &AdapterKey) {
        if let Some(server) = self.servers.get_mut(server) {
            server.unset(now, key);
        }
    }

    /// A step is over.
    pub fn ended(&mut self, now: Time, plan: &Plan, end: PlanEnd) {
        let Some(server) = self.servers.get_mut(&plan.server) else { return };
        if end == PlanEnd::Unknown {
            server.rest(now);
        }
        if let Some(victim) = &plan.evict
            && let Some(slot) = server.slots.get_mut(victim)
            && slot.state == SlotState::Leaving
        {
            slot.state = SlotState::Held;
        }
        let PlannedLoad::Adapter(key, version) = &plan.load else {
            if end != PlanEnd::Done && matches!(plan.load, PlannedLoad::Base(_)) {
                server.base_ordered_at = Some(now - BASE_PATIENCE.mul_f64(0.8));
            }
            return;
        };
        self.cold.remove(&(plan.server.clone(), key.clone()));
        match end {
            PlanEnd::Done => {
                server.set(now, key, *version, SlotState::Held);
                if let Some(demand) = self.demand.get_mut(key) {
                    demand.served();
                }
            }
            PlanEnd::Refused | PlanEnd::NotSent => server.unset(now, key),
            PlanEnd::Unknown => {}
        }
    }
}
