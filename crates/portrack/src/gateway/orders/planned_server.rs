//! What the planner believes of one server that it orders.

use super::adapter_demand::AdapterDemand;
use crate::gateway::dialect::{AdapterKey, ServerReport};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::EngineSpec;
use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// A server is asked about an unload that is not over after this.
const LEAVES_WITHIN: Duration = Duration::from_millis(1_200);
/// A report is older than an order by this at most.
const REPORT_LAG: Duration = Duration::from_millis(700);
/// A server that did not answer an order is left alone for this long.
const REST_AFTER_SILENCE: Duration = Duration::from_millis(1_500);
/// A server that is busy with another order is left alone for this long.
const REST_AFTER_BUSY: Duration = Duration::from_millis(120);
/// Adapters on the way to one server at the same time.
const MOST_PENDING: usize = 3;
/// Adapters that a server once held and may still have at hand.
const REMEMBERED: usize = 100;
/// A daemon that said that it uses an adapter is believed for this long; what runs is told again
/// every 600 ms. An unload that waits for its runs holds up every other order.
const RUNNING_HOLDS: Duration = Duration::from_millis(1_500);
/// An adapter that was loaded or asked for a moment ago is about to be used: the word of it needs
/// some milliseconds, and the daemons that wait for it are told after the load is confirmed.
const JUST_USED: Duration = Duration::from_millis(250);

/// How far an adapter at a server is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotState {
    /// Loaded.
    Held,
    /// Ordered.
    Loading,
    /// Ordered to go.
    Leaving,
}

/// An adapter at a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Slot {
    /// Its version.
    pub version: u64,
    /// How far it is.
    pub state: SlotState,
    /// When that changed last.
    pub changed_at: Time,
    /// How much it is used.
    pub demand: AdapterDemand,
    /// When it was used last, as far as told.
    pub used_at: Time,
    /// The older version that is still there while this one is being loaded in its place.
    pub replaces: Option<u64>,
    /// The daemons whose requests run with it, and when each said so last.
    pub users: Vec<(SocketAddr, Time)>,
}

/// An order without an answer is carried out up to 12 s later, also at the next life of its server if
/// that has then taken just as many orders; the rest is for the way and for the news of the new life.
pub const LATE_ORDERS: Duration = Duration::from_secs(14);
/// Places for adapters kept free in that time: a late load fits in, and one that follows it. Beyond its
/// places a server falls, with all requests that run there.
pub const LATE_ROOM: usize = 2;
/// In that time the server is asked so often what it holds.
const LATE_SURVEYS: Duration = Duration::from_secs(2);

/// One server.
#[derive(Debug, Clone)]
pub struct PlannedServer {
    /// Its service.
    pub service: Rc<str>,
    /// The life that all this is of, by its start.
    pub born: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
    /// It takes no new work.
    pub draining: bool,
    /// Its data hall is evacuated.
    pub evacuated: bool,
    /// The base models it holds.
    pub models: Vec<Rc<str>>,
    /// Its adapters.
    pub slots: HashMap<AdapterKey, Slot>,
    /// A base model was ordered then.
    pub base_ordered_at: Option<Time>,
    /// A report was read since this daemon began to order it.
    pub surveyed: bool,
    held_once: Vec<(AdapterKey, u64)>,
    resting_until: Time,
    /// Until then orders of its former life may be carried out.
    late_until: Time,
    /// Adapters whose late unload may be among them.
    late_unloads: Vec<AdapterKey>,
    surveyed_at: Time,
}

impl PlannedServer {
    /// A server as the store lists it.
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
            held_once: Vec::new(),
            resting_until: Time(0),
            late_until: Time(0),
            late_unloads: Vec::new(),
            surveyed_at: Time(0),
        };
        server.listed(now, backend);
        server
    }

    /// Orders of its former life may be carried out until a time, unloads of these adapters among them.
    pub fn expect_late_orders(&mut self, until: Time, unloads: Vec<AdapterKey>) {
        self.late_until = until;
        self.late_unloads = unloads;
    }

    /// True if an order of its former life may have changed what it holds since it was last asked.
    pub fn doubts_survey(&self, now: Time) -> bool {
        let last_look = self.late_until + LATE_SURVEYS;
        self.surveyed && now < last_look && now.since(self.surveyed_at) >= LATE_SURVEYS
    }

    /// True if an adapter that is loaded now may be dropped by an order of the former life.
    pub fn may_be_dropped(&self, now: Time, key: &AdapterKey) -> bool {
        now < self.late_until && self.late_unloads.contains(key)
    }

    /// Takes the store's list in. It may be older than any order, so it says nothing of the
    /// adapters at a server whose report was read: only this daemon's orders change those.
    pub fn listed(&mut self, now: Time, backend: &Backend) {
        self.draining = backend.draining;
        self.models = backend.models.iter().map(|model| model.name.clone()).collect();
        if !self.models.is_empty() {
            self.base_ordered_at = None;
        }
        if self.surveyed || !self.slots.is_empty() {
            return;
        }
        for model in &backend.models {
            for held in &model.adapters {
                let key = AdapterKey { model: model.name.clone(), adapter: held.name.clone() };
                self.remember(&key, held.version);
                self.slots.insert(key, Slot::new(held.version, SlotState::Held, now));
            }
        }
    }

    /// True if an unload has waited so long for its runs that the server is to be asked about it.
    pub fn waits_for_runs(&self, now: Time) -> bool {
        self.slots.values().any(|slot| {
            slot.state == SlotState::Leaving && now.since(slot.changed_at) >= LEAVES_WITHIN
        })
    }

    /// Takes a report in, which is newer than the list but may be older than the last orders.
    pub fn reported(&mut self, now: Time, report: &ServerReport) {
        self.surveyed = true;
        self.surveyed_at = now;
        self.models = report.models.clone();
        let told = |key: &AdapterKey| {
            report.held.iter().chain(&report.pending).any(|(told, _)| told == key)
        };
        self.slots.retain(|key, slot| told(key) || now.since(slot.changed_at) < REPORT_LAG);
        for (key, version) in &report.held {
            self.remember(key, *version);
            let pending = report.pending.iter().any(|(told, _)| told == key);
            let fresh = Slot::new(*version, SlotState::Held, now);
            self.slots.entry(key.clone()).or_insert(fresh).told_held(now, *version, pending);
        }
        for (key, version) in &report.pending {
            let fresh = Slot::new(*version, SlotState::Loading, now);
            self.slots.entry(key.clone()).or_insert(fresh);
        }
    }

    fn remember(&mut self, key: &AdapterKey, version: u64) {
        self.held_once.retain(|(held, _)| held != key);
        self.held_once.push((key.clone(), version));
        if self.held_once.len() > REMEMBERED {
            self.held_once.remove(0);
        }
    }

    /// True if the server held this version and probably has it at hand.
    pub fn at_hand(&self, key: &AdapterKey, version: u64) -> bool {
        self.held_once.iter().any(|(held, at)| held == key && *at == version)
    }

    /// Notes that an adapter is in a new state.
    pub fn set(&mut self, now: Time, key: &AdapterKey, version: u64, state: SlotState) {
        if state == SlotState::Held {
            self.remember(key, version);
        }
        let slot = self.slots.entry(key.clone()).or_insert(Slot::new(version, state, now));
        let replaces = state == SlotState::Loading && slot.version != version;
        slot.replaces = replaces.then_some(slot.version);
        slot.version = version;
        slot.state = state;
        slot.changed_at = now;
    }

    /// Notes that an adapter is not there.
    pub fn unset(&mut self, key: &AdapterKey) {
        self.slots.remove(key);
    }

    /// A load of this version was not ordered after all: what it was to replace is still there.
    pub fn not_begun(&mut self, key: &AdapterKey, version: u64) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        if slot.state != SlotState::Loading || slot.version != version {
            return;
        }
        match slot.replaces.take() {
            Some(older) => {
                slot.version = older;
                slot.state = SlotState::Held;
            }
            None => self.unset(key),
        }
    }

    /// A load of this version was refused: what is there now is told by the next report.
    pub fn unsettle(&mut self, key: &AdapterKey, version: u64) {
        self.not_begun(key, version);
        self.surveyed = false;
    }

    /// Notes that requests used an adapter.
    pub fn used(&mut self, now: Time, key: &AdapterKey, times: u16) {
        if let Some(slot) = self.slots.get_mut(key) {
            slot.demand.used(now, times);
            slot.used_at = now;
        }
    }

    /// A daemon tells whether its requests run with an adapter.
    pub fn running(&mut self, now: Time, key: &AdapterKey, daemon: SocketAddr, running: bool) {
        let Some(slot) = self.slots.get_mut(key) else { return };
        slot.users.retain(|(user, _)| *user != daemon);
        if running {
            slot.users.push((daemon, now));
        }
    }

    /// The server did not answer an order.
    pub fn silent(&mut self, now: Time) {
        self.resting_until = self.resting_until.max(now + REST_AFTER_SILENCE);
    }

    /// The server is busy with another order.
    pub fn busy(&mut self, now: Time) {
        self.resting_until = self.resting_until.max(now + REST_AFTER_BUSY);
    }

    /// True if it gets new work.
    pub fn is_open(&self) -> bool {
        !self.draining && !self.evacuated
    }

    /// True if it takes orders at all.
    pub fn takes_orders(&self, now: Time) -> bool {
        self.surveyed && self.is_open() && now >= self.resting_until
    }

    /// True if it takes a further adapter of a model now.
    pub fn takes_adapters(&self, now: Time, model: &str) -> bool {
        let pending = self.slots.values().filter(|slot| slot.state == SlotState::Loading).count();
        let holds = self.models.iter().any(|name| &**name == model);
        holds && self.takes_orders(now) && pending < MOST_PENDING
    }

    /// Free places. No place is kept for late orders of the same life: each order names the number of
    /// orders before it, so a late one is carried out only if none was accepted since.
    pub fn free(&self, now: Time, spec: &EngineSpec, model: &str) -> usize {
        self.room(now, spec, model).saturating_sub(self.filled())
    }

    /// True if it may drop one adapter for another: not while late orders may come and the places kept
    /// for them are filled.
    pub fn may_swap(&self, now: Time, spec: &EngineSpec, model: &str) -> bool {
        self.filled() <= self.room(now, spec, model) || now >= self.late_until
    }

    fn room(&self, now: Time, spec: &EngineSpec, model: &str) -> usize {
        let room = spec.model(model).map_or(0, |model| spec.adapter_room(model));
        let kept = if now < self.late_until { LATE_ROOM } else { 0 };
        room.saturating_sub(kept)
    }

    /// Places in use. A version that is being replaced may need a place beside the newer one.
    fn filled(&self) -> usize {
        let replacing = self.slots.values().filter(|slot| slot.replaces.is_some()).count();
        self.slots.len() + replacing
    }

    /// How many adapters could make way for `wanted`.
    pub fn idle(&self, now: Time, wanted: &AdapterKey) -> usize {
        let may_go = |(key, slot): &(&AdapterKey, &Slot)| slot.may_make_way(now) && *key != wanted;
        self.slots.iter().filter(may_go).count()
    }

    /// The adapter that is missed least if it goes for `wanted`; none that may be in use. `newest`
    /// tells the newest version of each.
    pub fn victim(
        &self,
        now: Time,
        wanted: &AdapterKey,
        newest: impl Fn(&AdapterKey) -> u64,
    ) -> Option<AdapterKey> {
        let idle = self.slots.iter().filter(|(key, slot)| slot.may_make_way(now) && *key != wanted);
        let costed = idle.map(|(key, slot)| {
            let outdated = slot.version < newest(key);
            let rate = if outdated { 0.0 } else { slot.demand.rate(now) };
            (rate, key)
        });
        let least = costed.min_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.cmp(y)));
        least.map(|(_, key)| key.clone())
    }
}

impl Slot {
    /// Takes in that a report tells it as held at this version; `pending` is true if it tells a
    /// load of it as well.
    fn told_held(&mut self, now: Time, version: u64, pending: bool) {
        match self.state {
            SlotState::Held => self.version = self.version.max(version),
            SlotState::Leaving => self.changed_at = now,
            SlotState::Loading if version >= self.version => self.settle(now, version),
            SlotState::Loading => {
                let ordered_before_report = now.since(self.changed_at) >= REPORT_LAG;
                if ordered_before_report && !pending {
                    self.settle(now, version);
                }
            }
        }
    }

    fn may_make_way(&self, now: Time) -> bool {
        self.state == SlotState::Held && !self.may_be_in_use(now)
    }

    fn may_be_in_use(&self, now: Time) -> bool {
        let told = |at: &Time| now.since(*at) < RUNNING_HOLDS;
        let last = self.used_at.max(self.changed_at);
        now.since(last) < JUST_USED || self.users.iter().any(|(_, at)| told(at))
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
