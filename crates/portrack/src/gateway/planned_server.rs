//! What the planner believes of one server.

use super::backend::Backend;
use super::config::EngineSpec;
use super::dialect::AdapterKey;
use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// The store's list catches up with an order within this.
const LIST_LAG: Duration = Duration::from_millis(4_000);
/// A server that did not answer an order is left alone for this long.
const REST: Duration = Duration::from_millis(1_500);
/// Adapters on the way to one server at the same time.
const MOST_PENDING: usize = 4;
/// Adapters that a server once held and may still have at hand.
const REMEMBERED: usize = 100;

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
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Slot {
    /// Its version.
    pub version: u64,
    /// How far it is.
    pub state: SlotState,
    /// When that changed last.
    pub changed_at: Time,
}

/// One server.
#[derive(Debug, Clone)]
pub struct PlannedServer {
    /// Its id.
    pub id: Rc<str>,
    /// Its service.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Rc<str>,
    /// It takes no new work.
    pub draining: bool,
    /// The base models it holds.
    pub models: Vec<Rc<str>>,
    /// Its adapters.
    pub slots: HashMap<AdapterKey, Slot>,
    /// A base model was ordered then.
    pub base_ordered_at: Option<Time>,
    gone: HashMap<AdapterKey, Time>,
    held_once: Vec<(AdapterKey, u64)>,
    resting_until: Time,
}

impl PlannedServer {
    /// A server as the store lists it.
    pub fn new(now: Time, backend: &Backend) -> Self {
        let mut server = Self {
            id: backend.id.clone(),
            service: backend.service.clone(),
            address: backend.address,
            hall: backend.hall.clone(),
            draining: false,
            models: Vec::new(),
            slots: HashMap::new(),
            base_ordered_at: None,
            gone: HashMap::new(),
            held_once: Vec::new(),
            resting_until: Time(0),
        };
        server.listed(now, backend);
        server
    }

    /// Takes the store's list in, where it is newer than what is known from orders.
    pub fn listed(&mut self, now: Time, backend: &Backend) {
        self.draining = backend.draining;
        self.models = backend.models.iter().map(|model| model.name.clone()).collect();
        if !self.models.is_empty() {
            self.base_ordered_at = None;
        }
        let mut listed: HashMap<AdapterKey, u64> = HashMap::new();
        for model in &backend.models {
            for held in &model.adapters {
                let key = AdapterKey { model: model.name.clone(), adapter: held.name.clone() };
                listed.insert(key, held.version);
            }
        }
        let old = |at: Time| now.since(at) >= LIST_LAG;
        self.gone.retain(|_, at| !old(*at));
        self.slots.retain(|key, slot| listed.contains_key(key) || !old(slot.changed_at));
        for (key, version) in listed {
            self.listed_adapter(now, key, version);
        }
    }

    fn listed_adapter(&mut self, now: Time, key: AdapterKey, version: u64) {
        if self.gone.contains_key(&key) {
            return;
        }
        self.remember(&key, version);
        let fresh = Slot { version, state: SlotState::Held, changed_at: Time(0) };
        let slot = self.slots.entry(key).or_insert(fresh);
        let settled = now.since(slot.changed_at) >= LIST_LAG;
        if slot.version < version || (settled && slot.state != SlotState::Held) {
            *slot = Slot { version, state: SlotState::Held, changed_at: now };
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
        self.gone.remove(key);
        self.slots.insert(key.clone(), Slot { version, state, changed_at: now });
    }

    /// Notes that an adapter is not there.
    pub fn unset(&mut self, now: Time, key: &AdapterKey) {
        self.slots.remove(key);
        self.gone.insert(key.clone(), now);
    }

    /// The server did not answer an order.
    pub fn rest(&mut self, now: Time) {
        self.resting_until = now + REST;
    }

    /// True if it takes orders for adapters of a model.
    pub fn is_open(&self, now: Time, model: &str) -> bool {
        let pending = self.slots.values().filter(|slot| slot.state == SlotState::Loading).count();
        let holds = self.models.iter().any(|name| &**name == model);
        holds && !self.draining && now >= self.resting_until && pending < MOST_PENDING
    }

    /// True if it takes orders at all.
    pub fn takes_orders(&self, now: Time) -> bool {
        !self.draining && now >= self.resting_until
    }

    /// Free places; one always stays free for a replacement.
    pub fn free(&self, spec: &EngineSpec, model: &str) -> usize {
        let room = spec.model(model).map_or(0, |model| spec.adapter_room(model));
        room.saturating_sub(1).saturating_sub(self.slots.len())
    }
}
