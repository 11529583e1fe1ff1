//! Loads and unloads: selects adapters to load and to evict, and handles the results of orders.

use super::engine::{Backoff, PendingOrder, WantedLoad};
use super::{EngineOwner, OrderId, OrderKind, OrderResult, Output, Slot, SlotState};
use crate::placement::{EvictionCandidate, eviction_victim};
use crate::types::{AdapterVersion, Class, Reason, Time};
use std::collections::BTreeMap;

/// Weight of a waiting interactive request; a background request has weight 1.
const INTERACTIVE_WEIGHT: u32 = 4;
/// Maximum doublings of the load backoff; by then its cap is certain to apply.
const MAX_DOUBLINGS: u32 = 10;

impl EngineOwner {
    /// Requests permits for wanted adapters and loads those that have one.
    pub(super) fn plan_loads(&mut self, now: Time, out: &mut Vec<Output>) {
        if !self.holds_fence(now) {
            return;
        }
        self.update_wanted_loads(now, out);
        self.ask_permits(now, out);
        self.load_permitted(now, out);
    }

    /// Updates the wanted loads: adapters without a slot that a waiting request needs.
    fn update_wanted_loads(&mut self, now: Time, out: &mut Vec<Output>) {
        let mut waiting: BTreeMap<AdapterVersion, Time> = BTreeMap::new();
        for waiter in self.queue.iter() {
            if !self.slots.contains_key(&waiter.ask.adapter) {
                let since = waiting.entry(waiter.ask.adapter.clone()).or_insert(waiter.since);
                *since = (*since).min(waiter.since);
            }
        }
        let unwanted: Vec<AdapterVersion> =
            self.wanted_loads.keys().filter(|a| !waiting.contains_key(*a)).cloned().collect();
        for adapter in unwanted {
            self.wanted_loads.remove(&adapter);
            out.push(Output::PermitDone(adapter));
        }
        for (adapter, since) in waiting {
            let blocked = self.backoffs.get(&adapter).is_some_and(|b| now < b.until);
            if !blocked {
                self.load_wait.on_wait(now);
                self.wanted_loads
                    .entry(adapter)
                    .or_insert(WantedLoad { since, ..WantedLoad::default() });
            }
        }
    }

    fn ask_permits(&mut self, now: Time, out: &mut Vec<Output>) {
        let spare_slots = self.spare_slots(now);
        let mut by_age: Vec<_> =
            self.wanted_loads.iter().map(|(a, w)| (w.since, a.clone())).collect();
        by_age.sort();
        for (since, adapter) in by_age.into_iter().take(spare_slots) {
            let weight = self.weight(&adapter);
            let Some(want) = self.wanted_loads.get_mut(&adapter) else {
                continue;
            };
            let due = want.asked_at.is_none_or(|at| now.since(at) >= self.tuning.permit_every);
            if want.permitted || !due {
                continue;
            }
            want.asked_at = Some(now);
            let waited_ms = u32::try_from(now.since(since).as_millis()).unwrap_or(u32::MAX);
            out.push(Output::AskPermit { adapter, waited_ms, weight });
        }
    }

    /// Weighted number of requests that wait for an adapter.
    fn weight(&self, adapter: &AdapterVersion) -> u32 {
        let waiting = self.queue.iter().filter(|w| w.ask.adapter == *adapter);
        let weights = waiting.map(|w| match w.ask.class {
            Class::Interactive => INTERACTIVE_WEIGHT,
            Class::Background => 1,
        });
        weights.sum()
    }

    pub(super) fn on_permit(&mut self, adapter: &AdapterVersion) {
        if let Some(want) = self.wanted_loads.get_mut(adapter) {
            want.permitted = true;
        }
    }

    fn load_permitted(&mut self, now: Time, out: &mut Vec<Output>) {
        let ready: Vec<_> =
            self.wanted_loads.iter().filter(|(_, w)| w.permitted).map(|(a, _)| a.clone()).collect();
        for adapter in ready {
            if self.slots.len() < self.slot_count() {
                self.wanted_loads.remove(&adapter);
                self.load_wait.on_load_started(now, self.wanted_loads.len());
                let order = self.order(now, OrderKind::Load, &adapter);
                let slot = Slot::new(SlotState::Loading(order.id), now, true);
                self.slots.insert(adapter, slot);
                self.bump_holdings();
                out.push(Output::Order(order));
            } else if !self.is_unloading() {
                self.evict_one(now, out);
            }
        }
    }

    fn is_unloading(&self) -> bool {
        self.slots.values().any(|slot| matches!(slot.state, SlotState::Unloading(_)))
    }

    fn evict_one(&mut self, now: Time, out: &mut Vec<Output>) {
        let Some(victim) = eviction_victim(self.evictable(now)) else {
            return;
        };
        let order = self.order(now, OrderKind::Unload, &victim);
        let slot = Slot::new(SlotState::Unloading(order.id), now, false);
        self.slots.insert(victim, slot);
        self.bump_holdings();
        out.push(Output::Order(order));
    }

    /// Adapters that are not in use, that no request waits for, and that a report has shown as idle.
    pub(super) fn evictable(&self, now: Time) -> Vec<EvictionCandidate> {
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let is_settled = self.is_cleared() && report.asked_at >= self.unload_from;
        if !is_settled || !self.holds_fence(now) {
            return Vec::new();
        }
        let in_use = |adapter: &AdapterVersion| {
            self.pins.values().any(|pin| pin.adapter == *adapter)
                || report.running.iter().any(|running| running.adapter == *adapter)
                || self.queue.iter().any(|waiting| waiting.ask.adapter == *adapter)
        };
        let reported_idle =
            |slot: &Slot| report.asked_at >= slot.idle_since + self.tuning.report_lag;
        let past_min_hold = |slot: &Slot| now.since(slot.since) >= self.tuning.min_hold;
        self.slots
            .iter()
            .filter(|(_, slot)| slot.state == SlotState::Ready)
            .filter(|(_, slot)| reported_idle(slot) && past_min_hold(slot))
            .filter(|(adapter, _)| !in_use(adapter))
            .map(|(adapter, slot)| EvictionCandidate {
                adapter: adapter.clone(),
                demand: self.demand.of(adapter, now),
                idle_since: slot.idle_since,
            })
            .collect()
    }

    /// Number of slots that are empty or whose adapter could be unloaded at once.
    pub(super) fn spare_slots(&self, now: Time) -> usize {
        let empty = self.slot_count().saturating_sub(self.slots.len());
        empty + self.evictable(now).len()
    }

    pub(super) fn order_done(
        &mut self,
        now: Time,
        id: OrderId,
        result: OrderResult,
        out: &mut Vec<Output>,
    ) {
        if let OrderResult::Fenced(highest) = result {
            self.lose_ownership(now, highest, out);
            return;
        }
        let Some(order) = self.orders.remove(&id) else {
            return;
        };
        match order.kind {
            OrderKind::Load => self.load_done(now, order, result, out),
            OrderKind::Unload => self.unload_done(now, &order.adapter, result),
        }
        self.bump_holdings();
    }

    fn load_done(
        &mut self,
        now: Time,
        order: PendingOrder,
        result: OrderResult,
        out: &mut Vec<Output>,
    ) {
        let adapter = order.adapter;
        out.push(Output::PermitDone(adapter.clone()));
        match result {
            OrderResult::Done => {
                self.load_time.observe(now.since(order.since));
                self.backoffs.remove(&adapter);
                self.slots.insert(adapter, Slot::new(SlotState::Ready, now, true));
            }
            OrderResult::Unknown => {
                self.slots.insert(adapter, Slot::new(SlotState::Unsure(now), now, true));
            }
            OrderResult::Failed | OrderResult::Fenced(_) => {
                self.slots.remove(&adapter);
                self.load_failed(now, &adapter, out);
            }
        }
    }

    /// Starts a backoff and refuses the requests that wait for the adapter.
    fn load_failed(&mut self, now: Time, adapter: &AdapterVersion, out: &mut Vec<Output>) {
        let failures = self.backoffs.get(adapter).map_or(0, |b| b.failures);
        let factor = 2_u32.pow(failures.min(MAX_DOUBLINGS));
        let wait = (self.tuning.load_backoff * factor).min(self.tuning.load_backoff_cap);
        let backoff = Backoff { failures: failures + 1, until: now + wait };
        self.backoffs.insert(adapter.clone(), backoff);
        let retry = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
        for waiting in self.queue.remove_where(|w| w.ask.adapter == *adapter) {
            out.push(Self::refuse(waiting, Reason::LoadFailed, retry));
        }
    }

    fn unload_done(&mut self, now: Time, adapter: &AdapterVersion, result: OrderResult) {
        if result == OrderResult::Done {
            self.slots.remove(adapter);
            self.unloaded.insert(adapter.clone(), now);
            return;
        }
        self.slots.insert(adapter.clone(), Slot::new(SlotState::Unsure(now), now, false));
    }

    /// Treats orders without a result after `order_timeout` as unknown.
    pub(super) fn expire_orders(&mut self, now: Time, out: &mut Vec<Output>) {
        let timeout = self.tuning.order_timeout;
        let late: Vec<OrderId> = self
            .orders
            .iter()
            .filter(|(_, order)| now.since(order.since) >= timeout)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.order_done(now, id, OrderResult::Unknown, out);
        }
    }
}
