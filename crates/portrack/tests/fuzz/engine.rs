//! Model of an engine with slots, running requests, a fence and delayed reports.

use portrack::owner::{Order, OrderKind, OrderResult, Report, Running};
use portrack::reserve::Token;
use portrack::types::{AdapterVersion, Fence, ReservationId, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum lag of reports, equal to the owners' `report_lag`.
pub const LAG: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Default)]
struct Snapshot {
    loaded: Vec<AdapterVersion>,
    loading: Vec<AdapterVersion>,
    running: Vec<Running>,
}

/// A model engine.
#[derive(Debug, Clone)]
pub struct ModelEngine {
    pub checks_fence: bool,
    pub epoch: u64,
    pub fence: u64,
    pub leaving: bool,
    pub slots: usize,
    pub loaded: BTreeSet<AdapterVersion>,
    pub loading: BTreeSet<AdapterVersion>,
    pub running: BTreeMap<ReservationId, (AdapterVersion, Token)>,
    pub fail_loads: u32,
    history: Vec<(Time, Snapshot)>,
}

impl ModelEngine {
    pub fn new(checks_fence: bool) -> Self {
        Self {
            checks_fence,
            epoch: 1,
            fence: 0,
            leaving: false,
            slots: 2,
            loaded: BTreeSet::new(),
            loading: BTreeSet::new(),
            running: BTreeMap::new(),
            fail_loads: 0,
            history: vec![(Time(0), Snapshot::default())],
        }
    }

    /// Records the current state for delayed reports.
    pub fn record_snapshot(&mut self, now: Time) {
        let running = self
            .running
            .iter()
            .map(|(id, (adapter, _))| Running { id: *id, adapter: adapter.clone() });
        let snapshot = Snapshot {
            loaded: self.loaded.iter().cloned().collect(),
            loading: self.loading.iter().cloned().collect(),
            running: running.collect(),
        };
        self.history.push((now, snapshot));
        let old = now - LAG;
        while self.history.get(1).is_some_and(|(at, _)| *at <= old) {
            self.history.remove(0);
        }
    }

    /// Returns a report that shows slots and requests as they were `lag` ago.
    pub fn report(&self, asked_at: Time, now: Time, lag: Duration) -> Report {
        let shown = now - lag;
        let past = self.history.iter().rev().find(|(at, _)| *at <= shown);
        let snapshot = past.or(self.history.first()).map(|(_, s)| s.clone()).unwrap_or_default();
        Report {
            asked_at,
            epoch: self.epoch,
            fence: Fence(self.fence),
            lease_at: None,
            leaving: self.leaving,
            loaded: snapshot.loaded,
            loading: snapshot.loading,
            running: snapshot.running,
            slots: self.slots,
            batch: 3,
        }
    }

    pub fn raise(&mut self, fence: Fence) -> Result<(), Fence> {
        if fence.0 <= self.fence {
            return Err(Fence(self.fence));
        }
        self.fence = fence.0;
        Ok(())
    }

    /// Returns the refusal if the order's fence is too old.
    pub fn fenced(&self, order: &Order) -> Option<OrderResult> {
        let older = self.checks_fence && order.fence.0 < self.fence;
        older.then_some(OrderResult::Fenced(Fence(self.fence)))
    }

    /// Starts a load, which is finished by `end_load`.
    pub fn begin_load(&mut self, adapter: &AdapterVersion) -> bool {
        let known = self.loaded.contains(adapter) || self.loading.contains(adapter);
        if known || self.loaded.len() + self.loading.len() >= self.slots || self.fail_loads > 0 {
            self.fail_loads = self.fail_loads.saturating_sub(1);
            return false;
        }
        self.loading.insert(adapter.clone());
        true
    }

    /// Finishes a load that started in `epoch`.
    pub fn end_load(&mut self, adapter: &AdapterVersion, epoch: u64) -> bool {
        if epoch != self.epoch || !self.loading.remove(adapter) {
            return false;
        }
        self.loaded.insert(adapter.clone());
        true
    }

    /// Unloads an adapter and returns how many requests were running on it.
    pub fn unload(&mut self, adapter: &AdapterVersion) -> (OrderResult, usize) {
        let in_use = self.running.values().filter(|(a, _)| a == adapter).count();
        match self.loaded.remove(adapter) {
            true => (OrderResult::Done, in_use),
            false => (OrderResult::Failed, 0),
        }
    }

    /// Restarts the engine with empty slots.
    pub fn restart(&mut self, now: Time) {
        self.epoch += 1;
        self.fence = 0;
        self.loaded.clear();
        self.loading.clear();
        self.running.clear();
        self.history = vec![(now, Snapshot::default())];
    }
}

/// True for a load order, which takes time at the engine.
pub fn is_load(order: &Order) -> bool {
    order.kind == OrderKind::Load
}
