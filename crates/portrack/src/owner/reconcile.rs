//! Brings the owner's picture of slots and pins in line with the engine's reports.

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
            self.changed();
        }
        self.settle_slots(now, &report);
        self.adopt_slots(now, &report);
        self.settle_pins(now, &report);
        self.report = Some(report);
    }

    /// Slots that the report contradicts are dropped; lost answers are settled.
    fn settle_slots(&mut self, now: Time, report: &Report) {
        let lag = self.tuning.report_lag;
        let before = self.slots.len();
        self.slots.retain(|adapter, slot| {
            let loaded = report.loaded.contains(adapter);
            match slot.state {
                SlotState::Ready => loaded || report.asked_at < slot.since + lag,
                SlotState::Unsure(at) if report.asked_at >= at + lag => {
                    if loaded {
                        *slot = Slot::new(SlotState::Ready, now, slot.owed);
                    }
                    loaded || report.loading.contains(adapter)
                }
                _ => true,
            }
        });
        if before != self.slots.len() {
            self.changed();
        }
    }

    /// Adapters on the engine that we did not know of, for instance after a takeover.
    fn adopt_slots(&mut self, now: Time, report: &Report) {
        for adapter in &report.loaded {
            if self.slots.contains_key(adapter) || self.unloaded_since(adapter, report.asked_at) {
                continue;
            }
            self.slots.insert(adapter.clone(), Slot::new(SlotState::Ready, now, false));
            self.changed();
        }
        for adapter in &report.loading {
            if self.slots.contains_key(adapter) {
                continue;
            }
            self.slots.insert(adapter.clone(), Slot::new(SlotState::Unsure(now), now, false));
            self.changed();
        }
    }

    /// True if we unloaded the adapter so recently that the report may still show it.
    fn unloaded_since(&self, adapter: &AdapterVersion, asked_at: Time) -> bool {
        let lag = self.tuning.report_lag;
        self.unloaded.get(adapter).is_some_and(|at| asked_at < *at + lag)
    }

    /// The engine's word decides on pins that are past their start window.
    fn settle_pins(&mut self, now: Time, report: &Report) {
        for running in &report.running {
            let pin = Pin { adapter: running.adapter.clone(), holder: None, granted_at: now };
            self.pins.entry(running.id).or_insert(pin);
        }
        let window = self.tuning.start_window();
        let gone = |pin: &Pin| report.asked_at >= pin.granted_at + window;
        let listed = |id| report.running.iter().any(|r| r.id == id);
        let ended: Vec<_> = self
            .pins
            .iter()
            .filter(|(id, pin)| gone(pin) && !listed(**id))
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.unpin(now, id);
        }
    }
}
