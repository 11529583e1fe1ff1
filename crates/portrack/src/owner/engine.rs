//! The owner's state machine: ownership itself and the dispatch of events.

use super::{
    Ask, Event, Holdings, Load, LoadTimes, LoadTurns, Order, OrderId, OrderKind, Output, Pin,
    Queue, Report, Slot, SlotState, Tuning,
};
use crate::placement::Demand;
use crate::types::{
    AdapterVersion, EngineName, Fence, FenceMaker, Instance, Reason, ReservationId, Time,
};
use std::collections::BTreeMap;
use std::time::Duration;

/// Load time assumed before the first load has been seen.
const FIRST_LOAD_GUESS: Duration = Duration::from_millis(1_500);
/// Wait before an owner that lost its fence tries to get it back.
const REGAIN_AFTER: Duration = Duration::from_secs(1);
/// Without an answer after this, a fence order is given again.
const RAISE_TIMEOUT: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// Waiting for a report; none is asked for before this time.
    Reading(Time),
    /// A fence order is out since this time.
    Raising(Time),
    /// The engine is ours.
    Serving,
}

#[derive(Debug, Clone)]
pub(super) struct PendingOrder {
    pub(super) adapter: AdapterVersion,
    pub(super) kind: OrderKind,
    pub(super) since: Time,
}

#[derive(Debug, Clone, Default)]
pub(super) struct Want {
    pub(super) since: Time,
    pub(super) asked_at: Option<Time>,
    pub(super) permitted: bool,
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    pub(super) failures: u32,
    pub(super) until: Time,
}

/// What makes an owner the only one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Lock {
    /// The engine checks the fence of every order.
    Fence,
    /// The engine checks nothing: a lease in the key-value service. An owner whose lease cannot be
    /// renewed goes on granting and stops ordering; a successor unloads nothing until the
    /// members have said that they grant nothing.
    Lease,
}

/// Owner of one engine. Feed it with [`EngineOwner::on`].
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
    /// The engine's epoch in which it accepted our fence.
    epoch: Option<u64>,
    pub(super) unload_from: Time,
    pub(super) confirmed: Option<Time>,
    pub(super) report: Option<Report>,
    pub(super) slots: BTreeMap<AdapterVersion, Slot>,
    pub(super) pins: BTreeMap<ReservationId, Pin>,
    pub(super) queue: Queue,
    pub(super) demand: Demand,
    pub(super) times: LoadTimes,
    pub(super) turns: LoadTurns,
    pub(super) wants: BTreeMap<AdapterVersion, Want>,
    pub(super) backoffs: BTreeMap<AdapterVersion, Backoff>,
    pub(super) unloaded: BTreeMap<AdapterVersion, Time>,
    pub(super) orders: BTreeMap<OrderId, PendingOrder>,
    next_order: u64,
    polled_at: Option<Time>,
    pub(super) holdings: u32,
}

impl EngineOwner {
    /// Begins to own an engine at `now`.
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
            phase: Phase::Reading(now),
            fences,
            fence: Fence(0),
            epoch: None,
            unload_from: now,
            confirmed: None,
            report: None,
            slots: BTreeMap::new(),
            pins: BTreeMap::new(),
            queue: Queue::default(),
            times: LoadTimes::new(FIRST_LOAD_GUESS),
            turns: LoadTurns::default(),
            wants: BTreeMap::new(),
            backoffs: BTreeMap::new(),
            unloaded: BTreeMap::new(),
            orders: BTreeMap::new(),
            next_order: 0,
            polled_at: None,
            holdings: 1,
        }
    }

    /// Takes in an event and returns what is to be done, in order.
    pub fn on(&mut self, now: Time, event: Event) -> Vec<Output> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Reserve { from, ask } => self.reserve(now, from, &ask, &mut out),
            Event::Release { id, end } => self.release(now, id, end, &mut out),
            Event::Report(report) => self.take_report(now, report, &mut out),
            Event::FenceRaised(fence) => self.fence_raised(now, fence),
            Event::FenceRefused(highest) => self.lose(now, highest, &mut out),
            Event::OrderDone { id, result } => self.order_done(now, id, result, &mut out),
            Event::Permit(adapter) => self.permitted(&adapter),
            Event::Leaving => self.leave(&mut out),
            Event::Cleared => self.clear(now),
        }
        self.grant_waiting(now, &mut out);
        self.plan_loads(now, &mut out);
        out
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Output>) {
        if let Phase::Raising(since) = self.phase
            && now.since(since) >= RAISE_TIMEOUT
        {
            self.phase = Phase::Reading(now);
        }
        let pace = match self.is_busy() {
            true => self.tuning.poll_every,
            false => self.tuning.poll_idle,
        };
        self.poll(now, pace, out);
        self.expire_orders(now, out);
        self.expire_waiting(now, out);
        self.unloaded.retain(|_, at| now.since(*at) < Duration::from_secs(60));
        self.backoffs.retain(|_, b| now < b.until + Duration::from_secs(60));
        self.demand.sweep(now);
    }

    /// Asks for a report unless one was asked for within `pace`.
    pub(super) fn poll(&mut self, now: Time, pace: Duration, out: &mut Vec<Output>) {
        let due = self.polled_at.is_none_or(|at| now.since(at) >= pace);
        if due {
            self.polled_at = Some(now);
            out.push(Output::Poll);
        }
    }

    /// True while the next report decides something.
    fn is_busy(&self) -> bool {
        let settled = self.slots.values().all(|slot| slot.state == SlotState::Ready);
        self.phase != Phase::Serving || !settled || self.queue.total() > 0
    }

    fn take_report(&mut self, now: Time, report: Report, out: &mut Vec<Output>) {
        let older = |last: &Report| report.asked_at < last.asked_at;
        if self.report.as_ref().is_some_and(older) {
            return;
        }
        if report.leaving {
            self.leave(out);
        }
        match self.phase {
            Phase::Reading(from) if now >= from => self.raise(now, report, out),
            Phase::Reading(_) | Phase::Raising(_) => {}
            Phase::Serving if report.fence > self.fence => self.lose(now, report.fence, out),
            Phase::Serving if self.is_foreign(&report) => self.raise(now, report, out),
            Phase::Serving => self.reconcile(now, report),
        }
    }

    /// True if the engine no longer has our fence: it restarted, and another owner's may even
    /// look like ours.
    fn is_foreign(&self, report: &Report) -> bool {
        let restarted = self.lock == Lock::Fence && self.epoch != Some(report.epoch);
        restarted || report.fence < self.fence
    }

    /// Orders a fence above every one that this owner or the engine knows.
    fn raise(&mut self, now: Time, report: Report, out: &mut Vec<Output>) {
        let highest = report.fence.max(self.fence);
        self.epoch = Some(report.epoch);
        self.phase = Phase::Raising(now);
        self.confirmed = None;
        self.report = Some(report);
        out.push(Output::RaiseFence(self.fences.above(highest, now)));
    }

    fn fence_raised(&mut self, now: Time, fence: Fence) {
        let Phase::Raising(since) = self.phase else {
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

    /// No new work: the engine is leaving.
    fn leave(&mut self, out: &mut Vec<Output>) {
        self.leaving = true;
        for waiting in self.queue.take_where(|_| true) {
            out.push(Self::refuse(waiting, Reason::NoBackend, 0));
        }
    }

    /// Another owner has the engine: stop at once.
    pub(super) fn lose(&mut self, now: Time, highest: Fence, out: &mut Vec<Output>) {
        self.phase = Phase::Reading(now + REGAIN_AFTER);
        self.fence = self.fence.max(highest);
        self.confirmed = None;
        self.report = None;
        self.slots.clear();
        self.changed();
        for order in std::mem::take(&mut self.orders).into_values() {
            if order.kind == OrderKind::Load {
                out.push(Output::PermitDone(order.adapter));
            }
        }
        for adapter in std::mem::take(&mut self.wants).into_keys() {
            out.push(Output::PermitDone(adapter));
        }
        for waiting in self.queue.take_where(|_| true) {
            let retry = u32::try_from(REGAIN_AFTER.as_millis()).unwrap_or(u32::MAX);
            out.push(Self::refuse(waiting, Reason::NoBackend, retry));
        }
    }

    /// Stops owning: refuses what waits and gives every permit back.
    pub fn stop(&mut self, now: Time) -> Vec<Output> {
        let mut out = Vec::new();
        let fence = self.fence;
        self.lose(now, fence, &mut out);
        out
    }

    /// A new order under our fence.
    pub(super) fn order(&mut self, now: Time, kind: OrderKind, adapter: &AdapterVersion) -> Order {
        let id = OrderId(self.next_order);
        self.next_order += 1;
        let pending = PendingOrder { adapter: adapter.clone(), kind, since: now };
        self.orders.insert(id, pending);
        Order { id, fence: self.fence, kind, adapter: adapter.clone() }
    }

    /// True while grants and unloads are safe: the engine is ours, and was so a moment ago.
    pub(super) fn holds_fence(&self, now: Time) -> bool {
        let validity = match self.lock {
            Lock::Fence => self.tuning.grant_validity,
            Lock::Lease => self.tuning.lease_validity,
        };
        let recent = |at: Time| now.since(at) < validity;
        self.phase == Phase::Serving && self.confirmed.is_some_and(recent)
    }

    /// True while grants are safe. An owner that held the lease may go on without it: nobody
    /// unloads before this one has said that it stopped.
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

    /// True once no predecessor can be granting any more.
    pub fn is_cleared(&self) -> bool {
        self.cleared
    }

    /// What was granted until now has started, and shows, after the start window.
    fn clear(&mut self, now: Time) {
        self.cleared = true;
        self.unload_from = self.unload_from.max(now + self.tuning.start_window());
    }

    pub(super) fn changed(&mut self) {
        self.holdings = self.holdings.wrapping_add(1);
    }

    pub(super) fn batch(&self) -> usize {
        self.report.as_ref().map_or(0, |r| r.batch)
    }

    pub(super) fn slot_count(&self) -> usize {
        self.report.as_ref().map_or(0, |r| r.slots)
    }

    /// What makes this owner the only one.
    pub fn lock(&self) -> Lock {
        self.lock
    }

    /// The engine's name.
    pub fn engine(&self) -> &EngineName {
        &self.engine
    }

    /// The fence this owner gives orders under.
    pub fn fence(&self) -> Fence {
        self.fence
    }

    /// True once the engine has accepted our fence.
    pub fn is_serving(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Pins that are held.
    pub fn pin_count(&self) -> usize {
        self.pins.len()
    }

    /// Requests that wait.
    pub fn waiting_count(&self) -> usize {
        self.queue.total()
    }

    /// True while a load of this adapter is wanted and not yet ordered.
    pub fn wants(&self, adapter: &AdapterVersion) -> bool {
        self.wants.contains_key(adapter)
    }

    /// The load order that is out for an adapter.
    pub fn load_order(&self, adapter: &AdapterVersion) -> Option<OrderId> {
        match self.slots.get(adapter)?.state {
            SlotState::Loading(id) => Some(id),
            _ => None,
        }
    }

    /// The asks that wait, as their entry nodes would repeat them.
    pub fn renewals(&self) -> Vec<(Instance, Ask)> {
        self.queue.iter().map(|waiting| (waiting.from.clone(), waiting.ask.clone())).collect()
    }

    /// Takes changed numbers.
    pub fn retune(&mut self, tuning: Tuning) {
        self.tuning = tuning;
    }

    /// The load, as heartbeats carry it.
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

    /// The version of the adapters held; grows with every change.
    pub fn holdings_version(&self) -> u32 {
        self.holdings
    }

    /// The adapters held.
    pub fn holdings(&self) -> Holdings {
        let of = |wanted: fn(&SlotState) -> bool| {
            let kept = self.slots.iter().filter(|(_, slot)| wanted(&slot.state));
            kept.map(|(adapter, _)| adapter.clone()).collect()
        };
        Holdings {
            engine: self.engine.clone(),
            version: self.holdings,
            ready: of(|s| *s == SlotState::Ready),
            loading: of(|s| matches!(s, SlotState::Loading(_) | SlotState::Unsure(_))),
        }
    }
}
