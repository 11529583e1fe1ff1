//! Decides what the servers that this daemon orders load and unload. A state machine without
//! sockets or clocks.

use super::adapter_demand::AdapterDemand;
use super::fetch_limit::FetchLimit;
use super::late_orders::{LATE_ORDER_WINDOW, LateOrders, UnansweredOrder};
use super::load_budget::LoadBudget;
use super::planned_server::{PlannedServer, SlotState};
use crate::gateway::dialect::{AdapterKey, ServerReport};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::{EngineSpec, FleetConfig};
use crate::gateway::fleet::view::FIRST_VERSION;
use crate::types::Time;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A load request that cannot be met within this time is given up.
const LOAD_REQUEST_TIMEOUT: Duration = Duration::from_millis(2_000);
/// A base model that is not loaded this long after its order is ordered again.
const BASE_LOAD_TIMEOUT: Duration = Duration::from_secs(8);

/// Lower bound of the reported remaining time of a load.
const MIN_REMAINING: Duration = Duration::from_millis(40);
/// Adapters whose decayed demand falls below this are dropped from the missed ones.
const MIN_MISSED_RATE: f64 = 0.02;

/// What a step loads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlannedLoad {
    /// A base model.
    Base(Rc<str>),
    /// An adapter at a version.
    Adapter(AdapterKey, u64),
}

/// One step at one server: an optional eviction, then a load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The server.
    pub server: Rc<str>,
    /// The server's incarnation, by its start.
    pub born: Option<u64>,
    /// The server's address.
    pub address: SocketAddr,
    /// The adapter to evict first.
    pub evict: Option<AdapterKey>,
    /// What to load.
    pub load: PlannedLoad,
    /// Whether it has to be fetched from the weight store.
    pub cold: bool,
    /// How long the oldest request has waited for it.
    pub waited: Duration,
}

/// How a step ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlanOutcome {
    /// It is loaded.
    Done,
    /// The adapter to evict is still in use; the load did not begin.
    InUse,
    /// The server is executing another order, or has accepted orders that are not known here.
    Busy,
    /// The server refused.
    Refused,
    /// No response: the order may have been accepted.
    Unknown,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, since the server's order count has to be read first.
    Uncounted,
    /// A later step has changed the state of the load.
    Overtaken,
}

/// The progress of a load, as far as the planner knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadProgress {
    /// Ordered and not known to be done.
    Loading,
    /// Done.
    Held,
    /// The adapter is gone or being evicted, or another version is being loaded.
    Superseded,
}

/// The immediate answer to a load request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadRequestAnswer {
    /// It is loaded, at this version.
    Held(u64),
    /// It is or will be ordered, and is expected after this time.
    Coming(Duration),
    /// This server will not load it.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct PendingRequest {
    version: u64,
    since: Time,
}

/// A load request with its demand.
struct RankedRequest {
    server: Rc<str>,
    key: AdapterKey,
    request: PendingRequest,
    demand: f64,
}

/// Plans loads and evictions.
#[derive(Debug, Default)]
pub struct Planner {
    config: Option<Rc<FleetConfig>>,
    /// Capacities of the engines by service, with the largest size of each model and adapter since this daemon started.
    capacities: Rc<HashMap<Rc<str>, EngineSpec>>,
    servers: BTreeMap<Rc<str>, PlannedServer>,
    versions: HashMap<AdapterKey, u64>,
    budgets: HashMap<Rc<str>, LoadBudget>,
    load_requests: BTreeMap<(Rc<str>, AdapterKey), PendingRequest>,
    missed: HashMap<AdapterKey, AdapterDemand>,
    /// Orders without a response, by server, which its next incarnation may still execute.
    late_orders: HashMap<Rc<str>, LateOrders>,
    /// From when on only this daemon has ordered a server, since its last claim.
    sole_since: HashMap<Rc<str>, Time>,
    /// When this daemon learned that a server has restarted, while late orders may still arrive.
    restarted_at: HashMap<Rc<str>, Time>,
    ordered_servers: usize,
    fetch_limit: FetchLimit,
}

impl Planner {
    /// Updates the configuration.
    pub fn set_config(&mut self, now: Time, config: Rc<FleetConfig>) {
        let mut capacities = HashMap::clone(&self.capacities);
        for service in config.services.values() {
            let Some(engine) = &service.engine else { continue };
            let former = capacities.get(&service.name).unwrap_or(engine);
            capacities.insert(service.name.clone(), engine.with_sizes_of(former));
            let new = || LoadBudget::new(now, engine.loads_per_second);
            let budget = self.budgets.entry(service.name.clone()).or_insert_with(new);
            budget.set_rate(engine.loads_per_second);
        }
        self.capacities = Rc::new(capacities);
        self.config = Some(config);
    }

    /// Updates the number of daemons that share the loads of base models.
    pub fn set_daemon_count(&mut self, daemons: usize) {
        for budget in self.budgets.values_mut() {
            budget.set_daemons(daemons);
        }
    }

    /// Updates a server from its entry.
    pub fn update_server(&mut self, now: Time, backend: &Backend) {
        if let Some(server) = self.servers.get_mut(&backend.id) {
            return server.apply_entry(now, backend);
        }
        let mut server = PlannedServer::new(now, backend);
        if let Some(restarted_at) = self.restarted_at.get(&backend.id) {
            let mut orders = self.late_orders.get(&backend.id).cloned().unwrap_or_default();
            let sole_since = self.sole_since.get(&backend.id).unwrap_or(restarted_at);
            orders.expect_unknown_sent_before(*sole_since);
            server.expect_late_orders(orders);
        }
        self.servers.insert(backend.id.clone(), server);
    }

    /// Handles a server restart: nothing from before is valid except orders that may arrive late.
    pub fn server_restarted(&mut self, now: Time, id: &Rc<str>) {
        self.server_gone(id);
        self.restarted_at.insert(id.clone(), now);
    }

    /// Records a new claim: the former holder's last order to the server was sent before `orders_from`.
    pub fn claimed(&mut self, id: &Rc<str>, orders_from: Time) {
        self.sole_since.insert(id.clone(), orders_from);
        let server = self.servers.get_mut(id);
        if let (Some(server), Some(restarted_at)) = (server, self.restarted_at.get(id)) {
            server.expect_unknown_orders(*restarted_at);
        }
    }

    /// Records an order that is about to be sent, and may be executed late unless it is answered. One that is under way
    /// when its server restarts counts too.
    pub fn order_sent(&mut self, id: &Rc<str>, order: UnansweredOrder) {
        self.late_orders.entry(id.clone()).or_default().add(order);
    }

    /// Records that an order was answered, or not sent after all.
    pub fn order_answered(&mut self, id: &str, order: &UnansweredOrder) {
        if let Some(orders) = self.late_orders.get_mut(id) {
            orders.remove(order);
        }
    }

    /// Records that a server has accepted so many orders.
    pub fn record_orders_taken(&mut self, id: &str, taken: u64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.record_orders_taken(taken);
        }
    }

    /// The adapter slots of a server that are kept free for late orders, and the time until which any can arrive.
    pub fn reserved_slots(&self, now: Time, id: &str) -> (usize, Time) {
        self.servers.get(id).map_or((0, Time(0)), |server| server.reserved_slots(now))
    }

    /// Returns the known incarnation of a server, by its start; `None` if the server is unknown.
    pub fn incarnation(&self, id: &str) -> Option<Option<u64>> {
        Some(self.servers.get(id)?.born)
    }

    /// Sets whether a server's data hall is evacuated, which drops its load requests.
    pub fn set_evacuated(&mut self, id: &str, evacuated: bool) {
        let Some(server) = self.servers.get_mut(id) else { return };
        server.evacuated = evacuated;
        if evacuated {
            self.load_requests.retain(|(server, _), _| &**server != id);
        }
    }

    /// Removes a server.
    pub fn server_gone(&mut self, id: &str) {
        self.servers.remove(id);
        self.load_requests.retain(|(server, _), _| &**server != id);
    }

    /// Applies a server's report.
    pub fn reported(&mut self, now: Time, id: &str, report: &ServerReport) {
        if let Some(server) = self.servers.get_mut(id) {
            server.apply_report(now, report);
        }
    }

    /// Requires a new report of a server before it is ordered again.
    pub fn invalidate_survey(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.surveyed = false;
        }
    }

    /// Returns those of the given servers whose report has to be read, with their addresses.
    pub fn needing_survey(&self, orderable: &[Rc<str>]) -> Vec<(Rc<str>, SocketAddr)> {
        let servers = orderable.iter().filter_map(|id| self.servers.get_key_value(id));
        let needing_survey = servers
            .filter(|(_, server)| (!server.surveyed || server.report_due) && !server.draining);
        needing_survey.map(|(id, server)| (id.clone(), server.address)).collect()
    }

    /// Records a newer version of an adapter.
    pub fn announce_version(&mut self, key: &AdapterKey, version: u64) {
        let known = self.versions.entry(key.clone()).or_insert(version);
        *known = version.max(*known);
    }

    /// Counts requests that used an adapter at a server.
    pub fn record_use(&mut self, now: Time, server: &str, key: &AdapterKey, times: u16) {
        if let Some(server) = self.servers.get_mut(server) {
            server.record_use(now, key, times);
        }
    }

    /// Records whether a daemon's requests run with an adapter at a server.
    pub fn set_running(
        &mut self,
        now: Time,
        server: &str,
        key: &AdapterKey,
        daemon: SocketAddr,
        running: bool,
    ) {
        if let Some(server) = self.servers.get_mut(server) {
            server.set_running(now, key, daemon, running);
        }
    }

    /// Requests an adapter at a server, at this version or a newer one.
    pub fn request_load(
        &mut self,
        now: Time,
        id: &Rc<str>,
        key: &AdapterKey,
        version: u64,
        requests: u16,
    ) -> LoadRequestAnswer {
        let Some(server) = self.servers.get_mut(id) else { return LoadRequestAnswer::Refused };
        if !server.is_open() || server.models.is_empty() || server.may_be_unloaded_late(now, key) {
            return LoadRequestAnswer::Refused;
        }
        let version = version.max(self.versions.get(key).copied().unwrap_or(FIRST_VERSION));
        if let Some(slot) = server.slots.get(key)
            && slot.version >= version
        {
            match slot.state {
                SlotState::Held => {
                    let version = slot.version;
                    server.record_use(now, key, requests);
                    return LoadRequestAnswer::Held(version);
                }
                SlotState::Loading => {
                    let elapsed = now.since(slot.changed_at);
                    let left = self.fetch_limit.typical().saturating_sub(elapsed);
                    return LoadRequestAnswer::Coming(left.max(MIN_REMAINING));
                }
                SlotState::Unloading => {}
            }
        }
        if self.config.as_ref().is_some_and(|config| !names_model(config, &server.service, key)) {
            return LoadRequestAnswer::Refused;
        }
        let free = self.capacities.get(&server.service).map(|spec| {
            let idle = if server.may_evict(now, spec, &key.model) {
                server.evictable_count(now, spec, key)
            } else {
                0
            };
            server.free_slots(now, spec, &key.model) + idle
        });
        let reserved =
            self.load_requests.keys().filter(|(at, other)| at == id && other != key).count();
        if free.is_some_and(|free| free <= reserved) {
            return LoadRequestAnswer::Refused;
        }
        let is_cached = server.is_cached(key, version);
        self.missed.entry(key.clone()).or_default().used(now, requests);
        let fresh = PendingRequest { version, since: now };
        let request = self.load_requests.entry((id.clone(), key.clone())).or_insert(fresh);
        request.version = request.version.max(version);
        LoadRequestAnswer::Coming(match is_cached {
            true => MIN_REMAINING,
            false => self.fetch_limit.expected(self.requests_ahead(now, key)),
        })
    }

    /// Counts the requests for other adapters that are met before this one's.
    fn requests_ahead(&self, now: Time, key: &AdapterKey) -> usize {
        let demand = self.missed_demand(now, key);
        let others = self.load_requests.keys().filter(|(_, other)| other != key);
        others.filter(|(_, other)| self.missed_demand(now, other) >= demand).count()
    }

    /// Returns the recent demand for an adapter that was not loaded.
    fn missed_demand(&self, now: Time, key: &AdapterKey) -> f64 {
        self.missed.get(key).map_or(0.0, |missed| missed.rate(now))
    }

    /// Estimates how long a load takes.
    pub fn expected_load_time(&self, cold: bool) -> Duration {
        if cold { self.fetch_limit.typical() } else { MIN_REMAINING }
    }

    /// Returns the adapters loaded at a server with their requests per second.
    pub fn request_rates(&self, now: Time, server: &str) -> Vec<(AdapterKey, f64)> {
        let slots = self.servers.get(server).into_iter().flat_map(|server| &server.slots);
        let held = slots.filter(|(_, slot)| slot.state == SlotState::Held);
        held.map(|(key, slot)| (key.clone(), slot.demand.per_second(now))).collect()
    }

    /// Drops adapters without demand and late orders that can no longer arrive.
    pub fn sweep(&mut self, now: Time) {
        self.restarted_at.retain(|_, at| now.since(*at) < LATE_ORDER_WINDOW);
        self.late_orders.retain(|_, orders| !orders.is_over(now));
        let (servers, restarted_at) = (&self.servers, &self.restarted_at);
        self.sole_since.retain(|id, _| servers.contains_key(id) || restarted_at.contains_key(id));
        self.missed.retain(|_, missed| missed.rate(now) > MIN_MISSED_RATE);
    }

    /// Returns the next steps at the servers that may be ordered now, and the load requests given
    /// up.
    pub fn plan(
        &mut self,
        now: Time,
        orderable: &[Rc<str>],
    ) -> (Vec<Plan>, Vec<(Rc<str>, AdapterKey)>) {
        let Some(config) = self.config.clone() else { return (Vec::new(), Vec::new()) };
        self.ordered_servers = orderable.len();
        for server in self.servers.values_mut() {
            server.report_due |= server.has_overdue_load(now);
            if server.has_overdue_unload(now) || server.is_survey_outdated(now) {
                server.surveyed = false;
            }
        }
        let mut plans = Vec::new();
        for id in orderable {
            let Some(spec) = self.spec(&config, id) else { continue };
            plans.extend(self.plan_base_load(now, id, spec));
        }
        let capacities = self.capacities.clone();
        for ranked in self.ranked_requests(now, orderable) {
            let Some(server) = self.servers.get(&ranked.server) else { continue };
            let Some(spec) = capacities.get(&server.service) else { continue };
            if let Some(plan) = self.plan_adapter_load(now, spec, &ranked) {
                self.load_requests.remove(&(ranked.server, ranked.key));
                plans.push(plan);
            }
        }
        (plans, self.expire_requests(now))
    }

    fn spec<'a>(&self, config: &'a FleetConfig, server: &str) -> Option<&'a EngineSpec> {
        let service = &self.servers.get(server)?.service;
        config.services.get(service)?.engine.as_ref()
    }

    /// Returns the load requests at these servers, highest demand first.
    fn ranked_requests(&self, now: Time, orderable: &[Rc<str>]) -> Vec<RankedRequest> {
        let here = self.load_requests.iter().filter(|((server, _), _)| orderable.contains(server));
        let mut ranked: Vec<RankedRequest> = here
            .map(|((server, key), request)| RankedRequest {
                server: server.clone(),
                key: key.clone(),
                request: *request,
                demand: self.missed_demand(now, key),
            })
            .collect();
        ranked.sort_by(|a, b| {
            b.demand.total_cmp(&a.demand).then(a.request.since.cmp(&b.request.since))
        });
        ranked
    }

    fn expire_requests(&mut self, now: Time) -> Vec<(Rc<str>, AdapterKey)> {
        let old = |request: &PendingRequest| now.since(request.since) >= LOAD_REQUEST_TIMEOUT;
        let given_up: Vec<_> = self
            .load_requests
            .iter()
            .filter(|(_, request)| old(request))
            .map(|(at, _)| at.clone())
            .collect();
        self.load_requests.retain(|_, request| !old(request));
        given_up
    }

    fn plan_base_load(&mut self, now: Time, id: &Rc<str>, spec: &EngineSpec) -> Option<Plan> {
        let model = spec.models.first()?;
        let server = self.servers.get_mut(id)?;
        let ordered = server.base_ordered_at;
        let waiting = ordered.is_some_and(|at| now.since(at) < BASE_LOAD_TIMEOUT);
        if !server.models.is_empty() || !server.accepts_orders(now) || waiting {
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

    fn plan_adapter_load(
        &mut self,
        now: Time,
        spec: &EngineSpec,
        ranked: &RankedRequest,
    ) -> Option<Plan> {
        let RankedRequest { server: id, key, request, .. } = ranked;
        let versions = &self.versions;
        let newest = |key: &AdapterKey| versions.get(key).copied().unwrap_or(FIRST_VERSION);
        let version = request.version.max(newest(key));
        let server = self.servers.get_mut(id)?;
        if !server.accepts_adapter(now, &key.model) {
            return None;
        }
        if server.slots.get(key).is_some_and(|slot| slot.state != SlotState::Held) {
            return None;
        }
        if server.may_be_unloaded_late(now, key) || !server.may_evict(now, spec, &key.model) {
            return None;
        }
        let evict = match server.free_slots(now, spec, &key.model) {
            0 => Some(server.choose_victim(now, spec, key, newest)?),
            _ => None,
        };
        let cold = !server.is_cached(key, version);
        if cold && !self.fetch_limit.try_acquire() {
            return None;
        }
        if let Some(victim) = &evict {
            let held = server.slots.get(victim)?.version;
            server.set_slot(now, victim, held, SlotState::Unloading);
        }
        server.set_slot(now, key, version, SlotState::Loading);
        Some(Plan {
            server: id.clone(),
            born: server.born,
            address: server.address,
            evict,
            load: PlannedLoad::Adapter(key.clone(), version),
            cold,
            waited: now.since(request.since),
        })
    }

    /// Records that a server has unloaded an adapter.
    pub fn evicted(&mut self, server: &str, key: &AdapterKey) {
        if let Some(server) = self.servers.get_mut(server) {
            server.remove_slot(key);
        }
    }

    /// Returns the progress of an ordered load of a version.
    pub fn load_progress(&self, server: &str, key: &AdapterKey, version: u64) -> LoadProgress {
        let slot = self.servers.get(server).and_then(|server| server.slots.get(key));
        match slot.filter(|slot| slot.version >= version).map(|slot| slot.state) {
            Some(SlotState::Loading) => LoadProgress::Loading,
            Some(SlotState::Held) => LoadProgress::Held,
            Some(SlotState::Unloading) | None => LoadProgress::Superseded,
        }
    }

    /// Records the end of a step. `fetch` is how long the load took, if there was one.
    pub fn ended(&mut self, now: Time, plan: &Plan, end: PlanOutcome, fetch: Option<Duration>) {
        if plan.cold && matches!(plan.load, PlannedLoad::Adapter(..)) {
            match fetch.filter(|_| end == PlanOutcome::Done) {
                Some(took) => self.fetch_limit.record_fetch(took, self.ordered_servers),
                None => self.fetch_limit.release(),
            }
        }
        let server = self.servers.get_mut(&plan.server);
        let Some(server) = server.filter(|server| server.born == plan.born) else { return };
        match end {
            PlanOutcome::Unknown => server.pause_unresponsive(now),
            PlanOutcome::Busy => server.pause_busy(now),
            PlanOutcome::Done
            | PlanOutcome::InUse
            | PlanOutcome::Refused
            | PlanOutcome::NotSent
            | PlanOutcome::Uncounted
            | PlanOutcome::Overtaken => {}
        }
        if let Some(victim) = &plan.evict
            && let Some(slot) = server.slots.get_mut(victim)
            && slot.state == SlotState::Unloading
            && end != PlanOutcome::InUse
        {
            slot.state = SlotState::Held;
        }
        let PlannedLoad::Adapter(key, version) = &plan.load else {
            if end != PlanOutcome::Done {
                server.base_ordered_at = Some(now - BASE_LOAD_TIMEOUT.mul_f64(0.8));
            }
            return;
        };
        match end {
            PlanOutcome::Done => server.set_slot(now, key, *version, SlotState::Held),
            PlanOutcome::Refused | PlanOutcome::NotSent => server.load_refused(key, *version),
            PlanOutcome::InUse | PlanOutcome::Busy | PlanOutcome::Uncounted => {
                if end == PlanOutcome::Busy {
                    server.load_refused(key, *version);
                } else {
                    server.cancel_load(key, *version);
                }
                let request = PendingRequest { version: *version, since: now - plan.waited };
                self.load_requests.entry((plan.server.clone(), key.clone())).or_insert(request);
            }
            PlanOutcome::Unknown | PlanOutcome::Overtaken => {}
        }
    }
}

/// Whether a configuration names the model of an adapter.
fn names_model(config: &FleetConfig, service: &str, key: &AdapterKey) -> bool {
    let service = config.services.get(service);
    let engine = service.and_then(|service| service.engine.as_ref());
    engine.is_some_and(|engine| engine.model(&key.model).is_some())
}
