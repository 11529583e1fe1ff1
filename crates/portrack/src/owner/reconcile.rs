//! Reconciles the owner's slots and pins with the engine's reports.

use super::{EngineOwner, Lock, Pin, Report, Slot, SlotState};
use crate::types::{AdapterVersion, Time};

impl EngineOwner {
    pub(super) fn reconcile(&mut self, now: Time, report: Report) {
        self.confirmed = match self.lock() {
            Lock::Fence => Some(report.asked_at),
            Lock::Lease => report.lease_at,
        };
        let restarted = self.report.as_ref().is_some_and(|last| last.epoch != report.epoch);
        if restarted {
            self.slots.clear();
            self.bump_holdings();
        }
        self.update_slots(now, &report);
        self.adopt_slots(now, &report);
        self.update_pins(now, &report);
        self.report = Some(report);
    }

    /// Drops slots that the report contradicts and resolves slots in an unknown state.
    fn update_slots(&mut self, now: Time, report: &Report) {
        let lag = self.tuning.report_lag;
        let before = self.slots.len();
        self.slots.retain(|adapter, slot| {
            let loaded = report.loaded.contains(adapter);
            match slot.state {
                SlotState::Ready => loaded || report.asked_at < slot.since + lag,
                SlotState::Unsure(at) if report.asked_at >= at + lag => {
                    if loaded {
                        *slot = Slot::new(SlotState::Ready, now, slot.for_waiting);
                    }
                    loaded || report.loading.contains(adapter)
                }
                _ => true,
            }
        });
        if before != self.slots.len() {
            self.bump_holdings();
        }
    }

    /// Adds slots for reported adapters that this owner does not know, for instance after a takeover.
    fn adopt_slots(&mut self, now: Time, report: &Report) {
        for adapter in &report.loaded {
            if self.slots.contains_key(adapter) || self.recently_unloaded(adapter, report.asked_at)
            {
                continue;
            }
            self.slots.insert(adapter.clone(), Slot::new(SlotState::Ready, now, false));
            self.bump_holdings();
        }
        for adapter in &report.loading {
            if self.slots.contains_key(adapter) {
                continue;
            }
            self.slots.insert(adapter.clone(), Slot::new(SlotState::Unsure(now), now, false));
            self.bump_holdings();
        }
    }

    /// True if the adapter was unloaded so recently that the report may still show it.
    fn recently_unloaded(&self, adapter: &AdapterVersion, asked_at: Time) -> bool {
        let lag = self.tuning.report_lag;
        self.unloaded.get(adapter).is_some_and(|at| asked_at < *at + lag)
    }

    /// Adds pins for running requests, and removes pins that are past their start window and not
    /// reported as running.
    fn update_pins(&mut self, now: Time, report: &Report) {
        for running in &report.running {
            let pin = Pin { adapter: running.adapter.clone(), holder: None, granted_at: now };
            self.pins.entry(running.id).or_insert(pin);
        }
        let window = self.tuning.start_window();
        let past_window = |pin: &Pin| report.asked_at >= pin.granted_at + window;
        let listed = |id| report.running.iter().any(|r| r.id == id);
        let ended: Vec<_> = self
            .pins
            .iter()
            .filter(|(id, pin)| past_window(pin) && !listed(**id))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.unpin(now, id);
        }
    }
}
