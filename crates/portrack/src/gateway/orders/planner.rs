//! Decides what the servers that this daemon orders load and drop. A state machine without sockets
//! or clocks.

use super::adapter_demand::AdapterDemand;
use super::fetch_limit::FetchLimit;
use super::load_budget::LoadBudget;
use super::planned_server::{LATE_ORDERS, PlannedServer, SlotState};
use crate::gateway::dialect::{AdapterKey, ServerReport};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::{EngineSpec, FleetConfig};
use crate::gateway::fleet::view::FIRST_VERSION;
use crate::types::Time;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A wish that could not be met for this long is given up.
const WISH_PATIENCE: Duration = Duration::from_millis(2_000);
/// A base model that was ordered and is not there after this is ordered again.
const BASE_PATIENCE: Duration = Duration::from_secs(8);

/// The least that is told of how long a load will last.
const LEAST_LEFT: Duration = Duration::from_millis(40);
/// Missed adapters asked for less than this are forgotten.
const FORGET_RATE: f64 = 0.02;

/// What is to be loaded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedLoad {
    /// A base model.
    Base(Rc<str>),
    /// An adapter at a version.
    Adapter(AdapterKey, u64),
}

/// One step at one server: something may go, something comes.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The server.
    pub server: Rc<str>,
    /// The life of it that is meant, by its start.
    pub born: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
    /// The adapter that makes way.
    pub evict: Option<AdapterKey>,
    /// What comes.
    pub load: PlannedLoad,
    /// It has to come from the weight store.
    pub cold: bool,
    /// How long the oldest request has waited for it.
    pub waited: Duration,
}

/// How a step ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanOutcome {
    /// It is loaded.
    Done,
    /// What was to make way is still in use; the load did not begin.
    InUse,
    /// The server is busy with another order, or has taken orders that are not known here.
    Busy,
    /// The server refused.
    Refused,
    /// No answer: it may have been taken.
    Unknown,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, since the server has to be asked first what it has taken.
    Uncounted,
    /// A later step has changed what became of the load.
    Overtaken,
}

/// How far a load is, by what the planner knows of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadProgress {
    /// Ordered, and not known to be done.
    Loading,
    /// Done.
    Held,
    /// The adapter is not there, is about to go, or another version is being loaded.
    Over,
}

/// What a wish comes to at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadRequestAnswer {
    /// It is there, at this version.
    Held(u64),
    /// It is ordered or will be, and expected after this.
    Coming(Duration),
    /// This server will not have it.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Wish {
    version: u64,
    since: Time,
}

/// A wish that is to be met, the most asked for first.
struct Wanted {
    server: Rc<str>,
    key: AdapterKey,
    wish: Wish,
    worth: f64,
}

/// The planner.
#[derive(Debug, Default)]
pub struct Planner {
    config: Option<Rc<FleetConfig>>,
    servers: BTreeMap<Rc<str>, PlannedServer>,
    versions: HashMap<AdapterKey, u64>,
    budgets: HashMap<Rc<str>, LoadBudget>,
    wishes: BTreeMap<(Rc<str>, AdapterKey), Wish>,
    missed: HashMap<AdapterKey, AdapterDemand>,
    /// Unloads without an answer, by their servers, which may be carried out yet.
    late_unloads: HashMap<Rc<str>, Vec<(AdapterKey, Time)>>,
    /// When this daemon learned that a server has started again, while late orders may come.
    born_again: HashMap<Rc<str>, Time>,
    servers_ordered: usize,
    fetches: FetchLimit,
}

impl Planner {
    /// Takes a configuration in. `daemons` share the loads of base models.
    pub fn set_config(&mut self, now: Time, config: Rc<FleetConfig>) {
        for service in config.services.values() {
            let Some(engine) = &service.engine else { continue };
            let new = || LoadBudget::new(now, engine.loads_per_second);
            let budget = self.budgets.entry(service.name.clone()).or_insert_with(new);
            budget.set_rate(engine.loads_per_second);
        }
        self.config = Some(config);
    }

    /// Notes how many daemons share the loads of base models.
    pub fn set_daemon_count(&mut self, daemons: usize) {
        for budget in self.budgets.values_mut() {
            budget.set_sharers(daemons);
        }
    }

    /// Takes a server's entry in.
    pub fn update_server(&mut self, now: Time, backend: &Backend) {
        if let Some(server) = self.servers.get_mut(&backend.id) {
            return server.listed(now, backend);
        }
        let mut server = PlannedServer::new(now, backend);
        if let Some(at) = self.born_again.get(&backend.id) {
            let unloads = self.late_unloads.get(&backend.id).into_iter().flatten();
            let unloads = unloads.map(|(key, _)| key.clone()).collect();
            server.expect_late_orders(*at + LATE_ORDERS, unloads);
        }
        self.servers.insert(backend.id.clone(), server);
    }

    /// A server has started again: nothing of before holds but what was ordered and may come late.
    pub fn server_restarted(&mut self, now: Time, id: &Rc<str>) {
        self.server_gone(id);
        self.born_again.insert(id.clone(), now);
    }

    /// An unload got no answer: it may be carried out late.
    pub fn unload_unanswered(&mut self, now: Time, id: &Rc<str>, key: &AdapterKey) {
        let unloads = self.late_unloads.entry(id.clone()).or_default();
        unloads.retain(|(late, _)| late != key);
        unloads.push((key.clone(), now));
    }

    /// The life of a server that is believed in, by its start; `None` if the server is not known.
    pub fn incarnation(&self, id: &str) -> Option<Option<u64>> {
        Some(self.servers.get(id)?.born)
    }

    /// Notes whether a server's data hall is evacuated. Nothing that was wished for there comes.
    pub fn set_evacuated(&mut self, id: &str, evacuated: bool) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.evacuated = evacuated;
        if evacuated {
            self.wishes.retain(|(server, _), _| &**server != id);
        }
    }

    /// A server is gone.
    pub fn server_gone(&mut self, id: &str) {
        self.servers.remove(id);
        self.wishes.retain(|(server, _), _| &**server != id);
    }

    /// Takes a server's report in.
    pub fn reported(&mut self, now: Time, id: &str, report: &ServerReport) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reported(now, report);
        }
    }

    /// What a server holds has to be asked before it is ordered again.
    pub fn invalidate_survey(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.surveyed = false;
        }
    }

    /// The servers, of these, whose report has to be read first, with their addresses.
    pub fn needing_survey(&self, orderable: &[Rc<str>]) -> Vec<(Rc<str>, SocketAddr)> {
        let servers = orderable.iter().filter_map(|id| self.servers.get_key_value(id));
        let unsurveyed = servers.filter(|(_, server)| !server.surveyed && !server.draining);
        unsurveyed.map(|(id, server)| (id.clone(), server.address)).collect()
    }

    /// A newer version of an adapter is named.
    pub fn announce_version(&mut self, key: &AdapterKey, version: u64) {
        let named = self.versions.entry(key.clone()).or_insert(version);
        *named = version.max(*named);
    }

    /// Requests used an adapter at a server.
    pub fn record_use(&mut self, now: Time, server: &str, key: &AdapterKey, times: u16) {
        if let Some(server) = self.servers.get_mut(server) {
            server.used(now, key, times);
        }
    }

    /// A daemon tells whether its requests run with an adapter at a server.
    pub fn set_running(
        &mut self,
        now: Time,
        server: &str,
        key: &AdapterKey,
        daemon: SocketAddr,
        running: bool,
    ) {
        if let Some(server) = self.servers.get_mut(server) {
            server.running(now, key, daemon, running);
        }
    }

    /// Requests wish for an adapter at a server, at this version or a newer one.
    pub fn request_load(
        &mut self,
        now: Time,
        id: &Rc<str>,
        key: &AdapterKey,
        version: u64,
        requests: u16,
    ) -> LoadRequestAnswer {
        let Some(server) = self.servers.get_mut(id) else { return LoadRequestAnswer::Refused };
        if !server.is_open() || server.models.is_empty() || server.may_be_dropped(now, key) {
            return LoadRequestAnswer::Refused;
        }
        let version = version.max(self.versions.get(key).copied().unwrap_or(FIRST_VERSION));
        if let Some(slot) = server.slots.get(key)
            && slot.version >= version
        {
            match slot.state {
                SlotState::Held => {
                    let version = slot.version;
                    server.used(now, key, requests);
                    return LoadRequestAnswer::Held(version);
                }
                SlotState::Loading => {
                    let passed = now.since(slot.changed_at);
                    let left = self.fetches.typical().saturating_sub(passed);
                    return LoadRequestAnswer::Coming(left.max(LEAST_LEFT));
                }
                SlotState::Leaving => {}
            }
        }
        let room = self.config.as_ref().and_then(|config| {
            let spec = config.services.get(&server.service)?.engine.as_ref()?;
            let idle =
                if server.may_swap(now, spec, &key.model) { server.idle(now, key) } else { 0 };
            Some(server.free(now, spec, &key.model) + idle)
        });
        let promised = self.wishes.keys().filter(|(at, other)| at == id && other != key).count();
        if room.is_some_and(|room| room <= promised) {
            return LoadRequestAnswer::Refused;
        }
        let at_hand = server.at_hand(key, version);
        self.missed.entry(key.clone()).or_default().used(now, requests);
        let fresh = Wish { version, since: now };
        let wish = self.wishes.entry((id.clone(), key.clone())).or_insert(fresh);
        wish.version = wish.version.max(version);
        LoadRequestAnswer::Coming(match at_hand {
            true => LEAST_LEFT,
            false => self.fetches.expected(self.ahead(now, key)),
        })
    }

    /// Wishes for other adapters that are met before this one's.
    fn ahead(&self, now: Time, key: &AdapterKey) -> usize {
        let worth = self.worth(now, key);
        let others = self.wishes.keys().filter(|(_, other)| other != key);
        others.filter(|(_, other)| self.worth(now, other) >= worth).count()
    }

    /// How much an adapter was asked for and missed lately.
    fn worth(&self, now: Time, key: &AdapterKey) -> f64 {
        self.missed.get(key).map_or(0.0, |missed| missed.rate(now))
    }

    /// What a load will last.
    pub fn fetch_takes(&self, cold: bool) -> Duration {
        if cold { self.fetches.typical() } else { LEAST_LEFT }
    }

    /// The adapters loaded at a server, with their requests a second.
    pub fn request_rates(&self, now: Time, server: &str) -> Vec<(AdapterKey, f64)> {
        let slots = self.servers.get(server).into_iter().flat_map(|server| &server.slots);
        let held = slots.filter(|(_, slot)| slot.state == SlotState::Held);
        held.map(|(key, slot)| (key.clone(), slot.demand.per_second(now))).collect()
    }

    /// Forgets what nobody asks for any more, and late orders that can come no more.
    pub fn sweep(&mut self, now: Time) {
        let may_come = |at: Time| now.since(at) < LATE_ORDERS;
        self.born_again.retain(|_, at| may_come(*at));
        self.late_unloads.retain(|_, unloads| {
            unloads.retain(|(_, at)| may_come(*at));
            !unloads.is_empty()
        });
        self.missed.retain(|_, missed| missed.rate(now) > FORGET_RATE);
    }

    /// The next steps at the servers that may be ordered now, and the wishes given up.
    pub fn plan(
        &mut self,
        now: Time,
        orderable: &[Rc<str>],
    ) -> (Vec<Plan>, Vec<(Rc<str>, AdapterKey)>) {
        let Some(config) = self.config.clone() else { return (Vec::new(), Vec::new()) };
        self.servers_ordered = orderable.len();
        for server in self.servers.values_mut() {
            if server.waits_for_runs(now) || server.doubts_survey(now) {
                server.surveyed = false;
            }
        }
        let mut plans = Vec::new();
        for id in orderable {
            let Some(spec) = self.spec(&config, id) else { continue };
            plans.extend(self.base_load(now, id, spec));
        }
        for wanted in self.wanted(now, orderable) {
            let Some(spec) = self.spec(&config, &wanted.server) else { continue };
            if let Some(plan) = self.adapter_load(now, spec, &wanted) {
                self.wishes.remove(&(wanted.server, wanted.key));
                plans.push(plan);
            }
        }
        (plans, self.give_up(now))
    }

    fn spec<'a>(&self, config: &'a FleetConfig, server: &str) -> Option<&'a EngineSpec> {
        let service = &self.servers.get(server)?.service;
        config.services.get(service)?.engine.as_ref()
    }

    /// The wishes at these servers, the most asked for first.
    fn wanted(&self, now: Time, orderable: &[Rc<str>]) -> Vec<Wanted> {
        let here = self.wishes.iter().filter(|((server, _), _)| orderable.contains(server));
        let mut wanted: Vec<Wanted> = here
            .map(|((server, key), wish)| Wanted {
                server: server.clone(),
                key: key.clone(),
                wish: *wish,
                worth: self.worth(now, key),
            })
            .collect();
        wanted.sort_by(|a, b| b.worth.total_cmp(&a.worth).then(a.wish.since.cmp(&b.wish.since)));
        wanted
    }

    fn give_up(&mut self, now: Time) -> Vec<(Rc<str>, AdapterKey)> {
        let old = |wish: &Wish| now.since(wish.since) >= WISH_PATIENCE;
        let given_up: Vec<_> =
            self.wishes.iter().filter(|(_, wish)| old(wish)).map(|(at, _)| at.clone()).collect();
        self.wishes.retain(|_, wish| !old(wish));
        given_up
    }

    fn base_load(&mut self, now: Time, id: &Rc<str>, spec: &EngineSpec) -> Option<Plan> {
        let model = spec.models.first()?;
        let server = self.servers.get_mut(id)?;
        let ordered = server.base_ordered_at;
        let waiting = ordered.is_some_and(|at| now.since(at) < BASE_PATIENCE);
        if !server.models.is_empty() || !server.takes_orders(now) || waiting {
            return None;
        }
        if !self.budgets.get_mut(&server.service)?.take(now) {
            return None;
        }
        server.base_ordered_at = Some(now);
        Some(Plan {
            server: id.clone(),
            born: server.born,
            address: server.address,
            evict: None,
            load: PlannedLoad::Base(model.name.clone()),
            cold: true,
            waited: Duration::ZERO,
        })
    }

    fn adapter_load(&mut self, now: Time, spec: &EngineSpec, wanted: &Wanted) -> Option<Plan> {
        let Wanted { server: id, key, wish, .. } = wanted;
        let versions = &self.versions;
        let newest = |key: &AdapterKey| versions.get(key).copied().unwrap_or(FIRST_VERSION);
        let version = wish.version.max(newest(key));
        let server = self.servers.get_mut(id)?;
        if !server.takes_adapters(now, &key.model) {
            return None;
        }
        if server.slots.get(key).is_some_and(|slot| slot.state != SlotState::Held) {
            return None;
        }
        if server.may_be_dropped(now, key) || !server.may_swap(now, spec, &key.model) {
            return None;
        }
        let evict = match server.free(now, spec, &key.model) {
            0 => Some(server.victim(now, key, newest)?),
            _ => None,
        };
        let cold = !server.at_hand(key, version);
        if cold && !self.fetches.take() {
            return None;
        }
        if let Some(victim) = &evict {
            let held = server.slots.get(victim)?.version;
            server.set(now, victim, held, SlotState::Leaving);
        }
        server.set(now, key, version, SlotState::Loading);
        Some(Plan {
            server: id.clone(),
            born: server.born,
            address: server.address,
            evict,
            load: PlannedLoad::Adapter(key.clone(), version),
            cold,
            waited: now.since(wish.since),
        })
    }

    /// A server dropped what made way.
    pub fn evicted(&mut self, server: &str, key: &AdapterKey) {
        if let Some(server) = self.servers.get_mut(server) {
            server.unset(key);
        }
    }

    /// How far the load of a version is that was ordered.
    pub fn load_progress(&self, server: &str, key: &AdapterKey, version: u64) -> LoadProgress {
        let slot = self.servers.get(server).and_then(|server| server.slots.get(key));
        match slot.filter(|slot| slot.version >= version).map(|slot| slot.state) {
            Some(SlotState::Loading) => LoadProgress::Loading,
            Some(SlotState::Held) => LoadProgress::Held,
            Some(SlotState::Leaving) | None => LoadProgress::Over,
        }
    }

    /// A step is over. `fetch` is how long the load took, if there was one.
    pub fn ended(&mut self, now: Time, plan: &Plan, end: PlanOutcome, fetch: Option<Duration>) {
        if plan.cold && matches!(plan.load, PlannedLoad::Adapter(..)) {
            match fetch.filter(|_| end == PlanOutcome::Done) {
                Some(took) => self.fetches.fetched(took, self.servers_ordered),
                None => self.fetches.give_back(),
            }
        }
        let server = self.servers.get_mut(&plan.server);
        let Some(server) = server.filter(|server| server.born == plan.born) else { return };
        match end {
            PlanOutcome::Unknown => server.silent(now),
            PlanOutcome::Busy => server.busy(now),
            PlanOutcome::Done
            | PlanOutcome::InUse
            | PlanOutcome::Refused
            | PlanOutcome::NotSent
            | PlanOutcome::Uncounted
            | PlanOutcome::Overtaken => {}
        }
        if let Some(victim) = &plan.evict
            && let Some(slot) = server.slots.get_mut(victim)
            && slot.state == SlotState::Leaving
            && end != PlanOutcome::InUse
        {
            slot.state = SlotState::Held;
        }
        let PlannedLoad::Adapter(key, version) = &plan.load else {
            if end != PlanOutcome::Done {
                server.base_ordered_at = Some(now - BASE_PATIENCE.mul_f64(0.8));
            }
            return;
        };
        match end {
            PlanOutcome::Done => server.set(now, key, *version, SlotState::Held),
            PlanOutcome::Refused | PlanOutcome::NotSent => server.unsettle(key, *version),
            PlanOutcome::InUse | PlanOutcome::Busy | PlanOutcome::Uncounted => {
                if end == PlanOutcome::Busy {
                    server.unsettle(key, *version);
                } else {
                    server.not_begun(key, *version);
                }
                let wish = Wish { version: *version, since: now - plan.waited };
                self.wishes.entry((plan.server.clone(), key.clone())).or_insert(wish);
            }
            PlanOutcome::Unknown | PlanOutcome::Overtaken => {}
        }
    }
}
