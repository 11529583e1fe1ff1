//! The planner's model of one server that it orders.

use super::adapter_demand::AdapterDemand;
use super::late_orders::LateOrders;
use crate::gateway::dialect::{AdapterKey, ServerReport};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::EngineSpec;
use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An unload that is not over after this time requires a new report.
const UNLOAD_TIMEOUT: Duration = Duration::from_millis(1_200);
/// A load that is not known to be over after this time is looked for in a new report, and again so much later.
const LOAD_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Upper bound by which a report is older than an order.
const MAX_REPORT_LAG: Duration = Duration::from_millis(700);
/// Pause after an order without a response.
const UNRESPONSIVE_PAUSE: Duration = Duration::from_millis(1_500);
/// Pause while the server executes another order.
const BUSY_PAUSE: Duration = Duration::from_millis(120);
/// Maximum number of concurrent adapter loads at one server.
const MAX_PENDING_LOADS: usize = 3;
/// Number of formerly held adapters that a server is assumed to have cached.
const MAX_CACHED: usize = 100;
/// How long a daemon's statement that it uses an adapter is valid; it is repeated every 600 ms. An
/// unload that waits for running requests blocks every other order.
const IN_USE_TTL: Duration = Duration::from_millis(1_500);
/// An adapter that was loaded or requested this recently is about to be used: usage reports take
/// some milliseconds, and the daemons that wait for it are notified only after the load is
/// confirmed.
const RECENT_USE: Duration = Duration::from_millis(250);

/// The state of an adapter at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Loaded.
    Held,
    /// A load is ordered.
    Loading,
    /// An unload is ordered.
    Unloading,
}

/// An adapter at a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    /// Its version.
    pub version: u64,
    /// Its state.
    pub state: SlotState,
    /// When the state changed last.
    pub changed_at: Time,
    /// Its demand.
    pub demand: AdapterDemand,
    /// When its last use was reported.
    pub used_at: Time,
    /// The older version that stays loaded until this one has replaced it.
    pub replaces: Option<u64>,
    /// The daemons whose requests run with it, with the time of their last report.
    pub users: Vec<(SocketAddr, Time)>,
}

/// Interval between reports read while late orders may arrive.
const LATE_SURVEY_INTERVAL: Duration = Duration::from_secs(2);

/// The state of one server.
#[derive(Debug, Clone)]
pub struct PlannedServer {
    /// Its service.
    pub service: Rc<str>,
    /// The incarnation that this state describes, by its start.
    pub born: Option<u64>,
    /// Its address.
    pub address: SocketAddr,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether its data hall is evacuated.
    pub evacuated: bool,
    /// The base models it holds.
    pub models: Vec<Rc<str>>,
    /// Its adapters.
    pub slots: HashMap<AdapterKey, Slot>,
    /// When a base model was ordered.
    pub base_ordered_at: Option<Time>,
    /// Whether a report was read since this daemon began to order it.
    pub surveyed: bool,
    /// Whether a new report is to be read, though orders may be sent without it.
    pub report_due: bool,
    cached: Vec<(AdapterKey, u64)>,
    paused_until: Time,
    /// Orders to its former incarnations that it may execute.
    late_orders: LateOrders,
    /// Number of orders that it has accepted, as far as known.
    orders_taken: u64,
    surveyed_at: Time,
}

impl PlannedServer {
    /// Creates the state of a server from its entry in the store.
    pub fn new(now: Time, backend: &Backend) -> Self {
        let mut server = Self {
            service: backend.service.clone(),
            born: backend.born,
            address: backend.address,
            draining: false,
            evacuated: false,
            models: Vec::new(),
            slots: HashMap::new(),
            base_ordered_at: None,
            surveyed: false,
            report_due: false,
            cached: Vec::new(),
            paused_until: Time(0),
            late_orders: LateOrders::default(),
            orders_taken: backend.orders_taken,
            surveyed_at: Time(0),
        };
        server.apply_entry(now, backend);
        server
    }

    /// Expects these orders to former incarnations.
    pub fn expect_late_orders(&mut self, orders: LateOrders) {
        self.late_orders = orders;
    }

    /// Expects orders to former incarnations that this daemon does not know of, sent until the server restarted.
    pub fn expect_unknown_orders(&mut self, restarted_at: Time) {
        self.late_orders.expect_unknown_sent_before(restarted_at);
    }

    /// Records that it has accepted at least so many orders.
    pub fn record_orders_taken(&mut self, taken: u64) {
        self.orders_taken = self.orders_taken.max(taken);
    }

    /// The adapter slots that are kept free for late orders, and the time until which any can arrive.
    pub fn reserved_slots(&self, now: Time) -> (usize, Time) {
        (self.late_orders.reserved_slots(now, self.orders_taken), self.late_orders.until())
    }

    /// Returns true if an order to the former incarnation may have changed what the server holds
    /// since its last report.
    pub fn is_survey_outdated(&self, now: Time) -> bool {
        let last_survey = self.late_orders.until() + LATE_SURVEY_INTERVAL;
        self.surveyed && now < last_survey && now.since(self.surveyed_at) >= LATE_SURVEY_INTERVAL
    }

    /// Returns true if a late order to the former incarnation may unload the adapter once it is
    /// loaded.
    pub fn may_be_unloaded_late(&self, now: Time, key: &AdapterKey) -> bool {
        self.late_orders.may_unload(now, self.orders_taken, key)
    }

    /// Applies the entry in the store. It may be older than any order, so it does not change the adapters of a server
    /// whose report was read, as only this daemon's orders do. A model that it does not list is looked for in a report.
    pub fn apply_entry(&mut self, now: Time, backend: &Backend) {
        self.draining = backend.draining;
        let was_surveyed = self.surveyed;
        let listed: Vec<Rc<str>> = backend.models.iter().map(|model| model.name.clone()).collect();
        let reported = std::mem::take(&mut self.models).into_iter();
        let missing: Vec<Rc<str>> =
            reported.filter(|name| was_surveyed && !listed.contains(name)).collect();
        // The next report tells whether the missing ones are still there.
        self.surveyed &= missing.is_empty();
        self.models = [listed, missing].concat();
        if !self.models.is_empty() {
            self.base_ordered_at = None;
        }
        if was_surveyed || !self.slots.is_empty() {
            return;
        }
        for model in &backend.models {
            for held in &model.adapters {
                let key = AdapterKey { model: model.name.clone(), adapter: held.name.clone() };
                self.remember_cached(&key, held.version);
                self.slots.insert(key, Slot::new(held.version, SlotState::Held, now));
            }
        }
    }

    /// Returns true if an unload has waited so long for running requests that a new report is
    /// needed.
    pub fn has_overdue_unload(&self, now: Time) -> bool {
        self.slots.values().any(|slot| {
            slot.state == SlotState::Unloading && now.since(slot.changed_at) >= UNLOAD_TIMEOUT
        })
    }

    /// Returns true if a report has to tell whether a load is over: nobody else looks at one that the holder before
    /// has ordered.
    pub fn has_overdue_load(&self, now: Time) -> bool {
        self.slots.values().any(|slot| {
            let checked_at = slot.changed_at.max(self.surveyed_at);
            slot.state == SlotState::Loading && now.since(checked_at) >= LOAD_TIMEOUT
        })
    }

    /// Applies a report, which is newer than the entry but may be older than the last orders.
    pub fn apply_report(&mut self, now: Time, report: &ServerReport) {
        self.surveyed = true;
        self.report_due = false;
        self.surveyed_at = now;
        self.record_orders_taken(report.orders_taken);
        self.models = report.models.clone();
        let replacements = self.replacements(now, report);
        let is_listed = |key: &AdapterKey| {
            report.held.iter().chain(&report.pending).any(|(listed, _)| listed == key)
        };
        self.slots
            .retain(|key, slot| is_listed(key) || now.since(slot.changed_at) < MAX_REPORT_LAG);
        for (key, version) in &report.held {
            self.remember_cached(key, *version);
            let pending = report.pending.iter().any(|(listed, _)| listed == key);
            let fresh = Slot::new(*version, SlotState::Held, now);
            self.slots.entry(key.clone()).or_insert(fresh).confirm_held(now, *version, pending);
        }
        for (key, version) in &report.pending {
            let fresh = Slot::new(*version, SlotState::Loading, now);
            self.slots.entry(key.clone()).or_insert(fresh);
        }
        for (key, version, older) in replacements {
            let Some(slot) = self.slots.get_mut(&key) else { continue };
            if slot.state == SlotState::Held {
                *slot =
                    Slot { version, state: SlotState::Loading, changed_at: now, ..slot.clone() };
                slot.replaces = Some(older);
            }
        }
    }

    /// The versions that a report lists beside an older one of the same adapter, each with that: the older one stays
    /// loaded until its requests end. Another holder may have ordered them.
    fn replacements(&self, now: Time, report: &ServerReport) -> Vec<(AdapterKey, u64, u64)> {
        let oldest = |key: &AdapterKey| {
            report.held.iter().filter(|(held, _)| held == key).map(|(_, version)| *version).min()
        };
        let is_over = |key: &AdapterKey, version: u64| {
            self.slots.get(key).is_some_and(|slot| {
                slot.state == SlotState::Held
                    && slot.version >= version
                    && now.since(slot.changed_at) < MAX_REPORT_LAG
            })
        };
        let listed = report.held.iter().chain(&report.pending);
        let replacing = listed.filter_map(|(key, version)| {
            let older = oldest(key).filter(|older| older < version)?;
            (!is_over(key, *version)).then(|| (key.clone(), *version, older))
        });
        replacing.collect()
    }

    fn remember_cached(&mut self, key: &AdapterKey, version: u64) {
        self.cached.retain(|(held, _)| held != key);
        self.cached.push((key.clone(), version));
        if self.cached.len() > MAX_CACHED {
            self.cached.remove(0);
        }
    }

    /// Returns true if the server held this version and probably has it cached.
    pub fn is_cached(&self, key: &AdapterKey, version: u64) -> bool {
        self.cached.iter().any(|(held, at)| held == key && *at == version)
    }

    /// Sets the state of an adapter.
    pub fn set_slot(&mut self, now: Time, key: &AdapterKey, version: u64, state: SlotState) {
        if state == SlotState::Held {
            self.remember_cached(key, version);
        }
        let slot = self.slots.entry(key.clone()).or_insert(Slot::new(version, state, now));
        let replaces = state == SlotState::Loading && slot.version != version;
        slot.replaces = replaces.then_some(slot.version);
        slot.version = version;
        slot.state = state;
        slot.changed_at = now;
    }

    /// Removes an adapter.
    pub fn remove_slot(&mut self, key: &AdapterKey) {
        self.slots.remove(key);
    }

    /// Cancels a load of this version that was not ordered after all: the version it was to replace
    /// is still loaded.
    pub fn cancel_load(&mut self, key: &AdapterKey, version: u64) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        if slot.state != SlotState::Loading || slot.version != version {
            return;
        }
        match slot.replaces.take() {
            Some(older) => {
                slot.version = older;
                slot.state = SlotState::Held;
            }
            None => self.remove_slot(key),
        }
    }

    /// Handles a refused load of this version: the next report tells what is loaded.
    pub fn load_refused(&mut self, key: &AdapterKey, version: u64) {
        self.cancel_load(key, version);
        self.surveyed = false;
    }

    /// Counts requests that used an adapter.
    pub fn record_use(&mut self, now: Time, key: &AdapterKey, times: u16) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.demand.used(now, times);
            slot.used_at = now;
        }
    }

    /// Records whether a daemon's requests run with an adapter.
    pub fn set_running(&mut self, now: Time, key: &AdapterKey, daemon: SocketAddr, running: bool) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        slot.users.retain(|(user, _)| *user != daemon);
        if running {
            slot.users.push((daemon, now));
        }
    }

    /// Pauses orders after one without a response.
    pub fn pause_unresponsive(&mut self, now: Time) {
        self.paused_until = self.paused_until.max(now + UNRESPONSIVE_PAUSE);
    }

    /// Pauses orders while the server executes another one.
    pub fn pause_busy(&mut self, now: Time) {
        self.paused_until = self.paused_until.max(now + BUSY_PAUSE);
    }

    /// Returns true if it accepts new work.
    pub fn is_open(&self) -> bool {
        !self.draining && !self.evacuated
    }

    /// Returns true if it can be ordered now.
    pub fn accepts_orders(&self, now: Time) -> bool {
        self.surveyed && self.is_open() && now >= self.paused_until
    }

    /// Returns true if another adapter of a model can be loaded now.
    pub fn accepts_adapter(&self, now: Time, model: &str) -> bool {
        let pending = self.slots.values().filter(|slot| slot.state == SlotState::Loading).count();
        let holds = self.models.iter().any(|name| &**name == model);
        let most = match self.late_orders.are_expected(now, self.orders_taken) {
            true => 1,
            false => MAX_PENDING_LOADS,
        };
        holds && self.accepts_orders(now) && pending < most
    }

    /// Returns how many more adapters of a model may be loaded now. No slot is reserved for late orders to the same
    /// incarnation: each order names the number of orders before it, so a late one is executed only if none was
    /// accepted since.
    pub fn free_slots(&self, now: Time, spec: &EngineSpec, model: &str) -> usize {
        self.room_without(now, spec, model, None).unwrap_or(0)
    }

    /// Returns true if an adapter may be evicted for another: not while the room reserved for late orders is in use.
    pub fn may_evict(&self, now: Time, spec: &EngineSpec, model: &str) -> bool {
        self.room_without(now, spec, model, None).is_some()
    }

    /// Returns how many more adapters of a model fit beside the largest that late orders may load, with one of those
    /// that it holds evicted; `None` if not even the late ones fit.
    fn room_without(
        &self,
        now: Time,
        spec: &EngineSpec,
        model: &str,
        evicted: Option<&AdapterKey>,
    ) -> Option<usize> {
        let (reserved, _) = self.reserved_slots(now);
        let kept = self.slots.iter().filter(|(key, _)| Some(*key) != evicted);
        // A version that is being replaced may need a slot beside the newer one.
        let copies = |slot: &Slot| 1 + usize::from(slot.replaces.is_some());
        let adapters = kept.flat_map(|(key, slot)| std::iter::repeat_n(&*key.model, copies(slot)));
        let late = spec.largest_adapter().map(|model| &*model.name).unwrap_or(model);
        let late = std::iter::repeat_n(late, reserved);
        spec.room_for_adapters(model, &self.models, adapters.chain(late))
    }

    /// Returns true if another adapter fits once this one is evicted.
    fn makes_room(&self, now: Time, spec: &EngineSpec, model: &str, victim: &AdapterKey) -> bool {
        self.room_without(now, spec, model, Some(victim)).is_some_and(|room| room > 0)
    }

    /// Counts the adapters that could be evicted for `wanted`.
    pub fn evictable_count(&self, now: Time, spec: &EngineSpec, wanted: &AdapterKey) -> usize {
        self.evictable(now, spec, wanted).count()
    }

    fn evictable<'a>(
        &'a self,
        now: Time,
        spec: &'a EngineSpec,
        wanted: &'a AdapterKey,
    ) -> impl Iterator<Item = (&'a AdapterKey, &'a Slot)> {
        self.slots.iter().filter(move |(key, slot)| {
            *key != wanted
                && slot.is_evictable(now)
                && self.makes_room(now, spec, &wanted.model, key)
        })
    }

    /// Chooses the adapter with the least demand to evict for `wanted`, never one that may be in
    /// use. `newest` returns the newest version of an adapter; outdated versions are evicted first.
    pub fn choose_victim(
        &self,
        now: Time,
        spec: &EngineSpec,
        wanted: &AdapterKey,
        newest: impl Fn(&AdapterKey) -> u64,
    ) -> Option<AdapterKey> {
        let ranked = self.evictable(now, spec, wanted).map(|(key, slot)| {
            let outdated = slot.version < newest(key);
            let rate = if outdated { 0.0 } else { slot.demand.rate(now) };
            (rate, key)
        });
        let least = ranked.min_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.cmp(y)));
        least.map(|(_, key)| key.clone())
    }
}

impl Slot {
    /// Applies a report that lists the adapter as held at this version; `pending` is true if it
    /// also lists a load of it.
    fn confirm_held(&mut self, now: Time, version: u64, pending: bool) {
        match self.state {
            SlotState::Held => self.version = self.version.max(version),
            SlotState::Unloading => self.changed_at = now,
            SlotState::Loading if version >= self.version => self.settle(now, version),
            SlotState::Loading => {
                let ordered_before_report = now.since(self.changed_at) >= MAX_REPORT_LAG;
                if ordered_before_report && !pending {
                    self.settle(now, version);
                }
            }
        }
    }

    fn is_evictable(&self, now: Time) -> bool {
        self.state == SlotState::Held && !self.may_be_in_use(now)
    }

    fn may_be_in_use(&self, now: Time) -> bool {
        let is_recent = |at: &Time| now.since(*at) < IN_USE_TTL;
        let last = self.used_at.max(self.changed_at);
        now.since(last) < RECENT_USE || self.users.iter().any(|(_, at)| is_recent(at))
    }

    fn settle(&mut self, now: Time, version: u64) {
        self.version = version;
        self.state = SlotState::Held;
        self.changed_at = now;
        self.replaces = None;
    }

    fn new(version: u64, state: SlotState, changed_at: Time) -> Self {
        let demand = AdapterDemand::default();
        Self {
            version,
            state,
            changed_at,
            demand,
            used_at: changed_at,
            replaces: None,
            users: Vec::new(),
        }
    }
}
