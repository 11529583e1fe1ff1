//! State machine of an engine owner: acquires and loses ownership, and dispatches events.

use super::{
    Ask, Event, Holdings, Load, LoadTimeAverage, LoadWaitEstimator, Order, OrderId, OrderKind,
    Output, Pin, Queue, Report, Slot, SlotState, Tuning,
};
use crate::placement::Demand;
use crate::types::{
    AdapterVersion, EngineName, Fence, FenceMaker, Instance, Reason, ReservationId, Time,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Load time assumed before the first load has been measured.
const INITIAL_LOAD_TIME: Duration = Duration::from_millis(1_500);
/// Delay before an owner that lost its fence tries to acquire it again.
const REACQUIRE_DELAY: Duration = Duration::from_secs(1);
/// A request to raise the fence is sent again if it is unanswered for this long.
const RAISE_FENCE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for a report; reports are ignored before this time.
    AwaitingReport(Time),
    /// A request to raise the fence has been pending since this time.
    RaisingFence(Time),
    /// The engine has accepted this owner's fence.
    Serving,
}

#[derive(Debug, Clone)]
pub(super) struct PendingOrder {
    pub(super) adapter: AdapterVersion,
    pub(super) kind: OrderKind,
    pub(super) since: Time,
}

#[derive(Debug, Clone, Default)]
pub(super) struct WantedLoad {
    pub(super) since: Time,
    pub(super) asked_at: Option<Time>,
    pub(super) permitted: bool,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) failures: u32,
    pub(super) until: Time,
}

/// Mechanism that ensures that an engine has a single owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lock {
    /// The engine checks the fence of every order.
    Fence,
    /// The engine does not check fences; a lease in the key-value service is used instead. An
    /// owner that cannot renew its lease continues to grant but stops sending orders; a successor
    /// unloads nothing until the members have confirmed that they grant nothing.
    Lease,
}

/// Owner of one engine. Events are passed to [`EngineOwner::on`].
#[derive(Debug, Clone)]
pub struct EngineOwner {
    pub(super) engine: EngineName,
    lock: Lock,
    pub(super) leaving: bool,
    cleared: bool,
    pub(super) tuning: Tuning,
    pub(super) phase: Phase,
    fences: FenceMaker,
    pub(super) fence: Fence,
    /// Epoch in which the engine accepted this owner's fence.
    epoch: Option<u64>,
    pub(super) unload_from: Time,
    pub(super) confirmed: Option<Time>,
    pub(super) report: Option<Report>,
    pub(super) slots: BTreeMap<AdapterVersion, Slot>,
    pub(super) pins: BTreeMap<ReservationId, Pin>,
    pub(super) queue: Queue,
    pub(super) demand: Demand,
    pub(super) load_time: LoadTimeAverage,
    pub(super) load_wait: LoadWaitEstimator,
    pub(super) wanted_loads: BTreeMap<AdapterVersion, WantedLoad>,
    pub(super) backoffs: BTreeMap<AdapterVersion, Backoff>,
    pub(super) unloaded: BTreeMap<AdapterVersion, Time>,
    pub(super) orders: BTreeMap<OrderId, PendingOrder>,
    next_order: u64,
    polled_at: Option<Time>,
    pub(super) holdings: u32,
}

impl EngineOwner {
    /// Creates an owner that starts to acquire the engine at `now`.
    pub fn new(
        engine: EngineName,
        lock: Lock,
        tuning: Tuning,
        fences: FenceMaker,
        now: Time,
    ) -> Self {
        Self {
            engine,
            lock,
            leaving: false,
            cleared: false,
            demand: Demand::new(tuning.demand_half_life),
            tuning,
            phase: Phase::AwaitingReport(now),
            fences,
            fence: Fence(0),
            epoch: None,
            unload_from: now,
            confirmed: None,
            report: None,
            slots: BTreeMap::new(),
            pins: BTreeMap::new(),
            queue: Queue::default(),
            load_time: LoadTimeAverage::new(INITIAL_LOAD_TIME),
            load_wait: LoadWaitEstimator::default(),
            wanted_loads: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            unloaded: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_order: 0,
            polled_at: None,
            holdings: 1,
        }
    }

    /// Handles an event and returns the resulting actions in order.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Output> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Reserve { from, ask } => self.reserve(now, from, &ask, &mut out),
            Event::Release { id, end } => self.release(now, id, end, &mut out),
            Event::Report(report) => self.take_report(now, report, &mut out),
            Event::FenceRaised(fence) => self.fence_raised(now, fence),
            Event::FenceRefused(highest) => self.lose_ownership(now, highest, &mut out),
            Event::OrderDone { id, result } => self.order_done(now, id, result, &mut out),
            Event::Permit(adapter) => self.on_permit(&adapter),
            Event::Leaving => self.start_leaving(&mut out),
            Event::Cleared => self.on_cleared(now),
        }
        self.grant_waiting(now, &mut out);
        self.plan_loads(now, &mut out);
        out
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Phase::RaisingFence(since) = self.phase
            && now.since(since) >= RAISE_FENCE_TIMEOUT
        {
            self.phase = Phase::AwaitingReport(now);
        }
        let interval = match self.is_busy() {
            true => self.tuning.poll_every,
            false => self.tuning.poll_idle,
        };
        self.poll(now, interval, out);
        self.expire_orders(now, out);
        self.expire_waiting(now, out);
        self.unloaded.retain(|_, at| now.since(*at) < Duration::from_secs(60));
        self.backoffs.retain(|_, b| now < b.until + Duration::from_secs(60));
        self.demand.sweep(now);
    }

    /// Requests a report unless one was requested within `interval`.
    pub(super) fn poll(&mut self, now: Time, interval: Duration, out: &mut Vec<Output>) {
        let due = self.polled_at.is_none_or(|at| now.since(at) >= interval);
        if due {
            self.polled_at = Some(now);
            out.push(Output::Poll);
        }
    }

    /// True while a pending decision depends on the next report.
    fn is_busy(&self) -> bool {
        let is_settled = self.slots.values().all(|slot| slot.state == SlotState::Ready);
        self.phase != Phase::Serving || !is_settled || self.queue.total() > 0
    }

    fn take_report(&mut self, now: Time, report: Report, out: &mut Vec<Output>) {
        let older = |last: &Report| report.asked_at < last.asked_at;
        if self.report.as_ref().is_some_and(older) {
            return;
        }
        if report.leaving {
            self.start_leaving(out);
        }
        match self.phase {
            Phase::AwaitingReport(from) if now >= from => self.raise_fence(now, report, out),
            Phase::AwaitingReport(_) | Phase::RaisingFence(_) => {}
            Phase::Serving if report.fence > self.fence => {
                self.lose_ownership(now, report.fence, out)
            }
            Phase::Serving if self.has_lost_fence(&report) => self.raise_fence(now, report, out),
            Phase::Serving => self.reconcile(now, report),
        }
    }

    /// True if the engine no longer has this owner's fence. After a restart the reported fence may
    /// have the same value and still be another owner's, so the epoch is compared as well.
    fn has_lost_fence(&self, report: &Report) -> bool {
        let restarted = self.lock == Lock::Fence && self.epoch != Some(report.epoch);
        restarted || report.fence < self.fence
    }

    /// Asks the engine to accept a fence above the highest one known to this owner or the engine.
    fn raise_fence(&mut self, now: Time, report: Report, out: &mut Vec<Output>) {
        let highest = report.fence.max(self.fence);
        self.epoch = Some(report.epoch);
        self.phase = Phase::RaisingFence(now);
        self.confirmed = None;
        self.report = Some(report);
        out.push(Output::RaiseFence(self.fences.above(highest, now)));
    }

    fn fence_raised(&mut self, now: Time, fence: Fence) {
        let Phase::RaisingFence(since) = self.phase else {
            return;
        };
        self.phase = Phase::Serving;
        self.fence = fence;
        self.cleared = self.lock == Lock::Fence;
        self.confirmed = Some(since);
        self.unload_from = now + self.tuning.quarantine();
        if let Some(report) = self.report.take() {
            self.reconcile(now, report);
        }
        self.confirmed = Some(since);
    }

    /// Refuses all waiting requests and stops granting: the engine is leaving.
    fn start_leaving(&mut self, out: &mut Vec<Output>) {
        self.leaving = true;
        for waiting in self.queue.remove_where(|_| true) {
            out.push(Self::refuse(waiting, Reason::NoBackend, 0));
        }
    }

    /// Another owner has the engine: drops all state and refuses what waits.
    pub(super) fn lose_ownership(&mut self, now: Time, highest: Fence, out: &mut Vec<Output>) {
        self.phase = Phase::AwaitingReport(now + REACQUIRE_DELAY);
        self.fence = self.fence.max(highest);
        self.confirmed = None;
        self.report = None;
        self.slots.clear();
        self.bump_holdings();
        for order in std::mem::take(&mut self.orders).into_values() {
            if order.kind == OrderKind::Load {
                out.push(Output::PermitDone(order.adapter));
            }
        }
        for adapter in std::mem::take(&mut self.wanted_loads).into_keys() {
            out.push(Output::PermitDone(adapter));
        }
        for waiting in self.queue.remove_where(|_| true) {
            let retry = u32::try_from(REACQUIRE_DELAY.as_millis()).unwrap_or(u32::MAX);
            out.push(Self::refuse(waiting, Reason::NoBackend, retry));
        }
    }

    /// Gives up ownership: refuses waiting requests and returns all permits.
    pub fn stop(&mut self, now: Time) -> Vec<Output> {
        let mut out = Vec::new();
        let fence = self.fence;
        self.lose_ownership(now, fence, &mut out);
        out
    }

    /// Creates an order under the current fence and records it as pending.
    pub(super) fn order(&mut self, now: Time, kind: OrderKind, adapter: &AdapterVersion) -> Order {
        let id = OrderId(self.next_order);
        self.next_order += 1;
        let pending = PendingOrder { adapter: adapter.clone(), kind, since: now };
        self.orders.insert(id, pending);
        Order { id, fence: self.fence, kind, adapter: adapter.clone() }
    }

    /// True while orders are safe: the fence or lease was confirmed recently enough.
    pub(super) fn holds_fence(&self, now: Time) -> bool {
        let validity = match self.lock {
            Lock::Fence => self.tuning.grant_validity,
            Lock::Lease => self.tuning.lease_validity,
        };
        let recent = |at: Time| now.since(at) < validity;
        self.phase == Phase::Serving && self.confirmed.is_some_and(recent)
    }

    /// True while grants are safe. An owner by lease may continue to grant after losing the lease:
    /// a successor unloads nothing until this owner has confirmed that it stopped.
    pub(super) fn may_grant(&self, now: Time) -> bool {
        if self.leaving || !self.has_fresh_report(now) {
            return false;
        }
        match self.lock {
            Lock::Fence => self.holds_fence(now),
            Lock::Lease => self.phase == Phase::Serving,
        }
    }

    fn has_fresh_report(&self, now: Time) -> bool {
        let fresh = |r: &Report| now.since(r.asked_at) < self.tuning.grant_validity;
        self.report.as_ref().is_some_and(fresh)
    }

    /// True once no previous owner can still be granting.
    pub fn is_cleared(&self) -> bool {
        self.cleared
    }

    /// Allows unloads after the start window: by then every earlier grant has started and shows in
    /// reports.
    fn on_cleared(&mut self, now: Time) {
        self.cleared = true;
        self.unload_from = self.unload_from.max(now + self.tuning.start_window());
    }

    pub(super) fn bump_holdings(&mut self) {
        self.holdings = self.holdings.wrapping_add(1);
    }

    pub(super) fn batch(&self) -> usize {
        self.report.as_ref().map_or(0, |r| r.batch)
    }

    pub(super) fn slot_count(&self) -> usize {
        self.report.as_ref().map_or(0, |r| r.slots)
    }

    /// The mechanism that ensures a single owner.
    pub fn lock(&self) -> Lock {
        self.lock
    }

    /// The engine's name.
    pub fn engine(&self) -> &EngineName {
        &self.engine
    }

    /// The fence under which this owner sends orders.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// True while the engine has this owner's fence.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Number of pins.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }

    /// Number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.queue.total()
    }

    /// True while a load of this adapter is wanted and not yet ordered.
    pub fn wants(&self, adapter: &AdapterVersion) -> bool {
        self.wanted_loads.contains_key(adapter)
    }

    /// The pending load order for an adapter.
    pub fn load_order(&self, adapter: &AdapterVersion) -> Option<OrderId> {
        match self.slots.get(adapter)?.state {
            SlotState::Loading(id) => Some(id),
            _ => None,
        }
    }

    /// The waiting asks with their entry nodes, as the entry nodes would repeat them.
    pub fn renewals(&self) -> Vec<(Instance, Ask)> {
        self.queue.iter().map(|waiting| (waiting.from.clone(), waiting.ask.clone())).collect()
    }

    /// Applies changed settings.
    pub fn retune(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// The engine's load, for heartbeats.
    pub fn load(&self, now: Time) -> Load {
        let free = match self.may_grant(now) {
            true => self.batch().saturating_sub(self.pins.len()),
            false => 0,
        };
        let clip = |n: usize| u16::try_from(n).unwrap_or(u16::MAX);
        Load {
            engine: self.engine.clone(),
            holdings: self.holdings,
            free: clip(free),
            queued: clip(self.queue.total()),
            spare_slots: clip(self.spare_slots(now)),
        }
    }

    /// Version of the holdings; increases with every change.
    pub fn holdings_version(&self) -> u32 {
        self.holdings
    }

    /// The adapters that are loaded or loading.
    pub fn holdings(&self) -> Holdings {
        let of = |wanted: fn(&SlotState) -> bool| {
            let matching = self.slots.iter().filter(|(_, slot)| wanted(&slot.state));
            matching.map(|(adapter, _)| adapter.clone()).collect()
        };
        Holdings {
            engine: self.engine.clone(),
            version: self.holdings,
            ready: of(|s| *s == SlotState::Ready),
            loading: of(|s| matches!(s, SlotState::Loading(_) | SlotState::Unsure(_))),
        }
    }
}
