//! Executes the planner's steps: sends orders, one at a time per server, and reports the results to
//! the other daemons.

use super::claims::Claims;
use super::late_orders::UnansweredOrder;
use super::order_call::{CallOutcome, OrderCall, OrderCalls, ResponseHook};
use super::planner::{LoadProgress, Plan, PlanOutcome, PlannedLoad, Planner};
use crate::gateway::connections::pool::ConnectionPool;
use crate::gateway::dialect::{AdapterKey, Dialect, Order, OrderAnswer, OrderKind, ServerReport};
use crate::gateway::fleet::message::{NoticeState, PlacementNotice};
use crate::types::{Clock, Time};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Timeouts of the attempts of one order. Every attempt carries the same order count, so at most
/// one of them is executed, however late it arrives.
const ORDER_TIMEOUTS: [Duration; 3] =
    [Duration::from_millis(150), Duration::from_millis(250), Duration::from_millis(300)];
/// Timeout of a query whether a load is done.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(120);
/// Timeout of a report read before orders.
const SURVEY_TIMEOUT: Duration = Duration::from_millis(700);
/// Timeout of a report that is requested again soon.
const LOAD_REPORT_TIMEOUT: Duration = Duration::from_millis(200);
/// A report lags behind the server's state by this much.
const REPORT_LAG: Duration = Duration::from_millis(260);
/// Interval between queries whether a load is done.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(25);
/// A load that is not confirmed by then is left to the store's list.
const CONFIRM_DEADLINE: Duration = Duration::from_millis(4_000);
/// Delay before the first query for a load from the weight store.
const COLD_CONFIRM_DELAY: Duration = Duration::from_millis(240);
/// Delay before the first query for a load that the server has cached.
const WARM_CONFIRM_DELAY: Duration = Duration::from_millis(20);

/// The result of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OrderOutcome {
    Answer(OrderAnswer),
    /// Sent, but no response arrived.
    Unknown,
    /// Not sent: no right to order, or no connection.
    NotSent,
    /// Not sent: the number of orders that the server has accepted is currently unknown.
    Uncounted,
}

/// Receives the results of orders and what server reports reveal.
pub trait NoticeSink {
    /// Takes the notices of one step.
    fn notices(&self, notices: Vec<PlacementNotice>);
    /// Called when a server reports a newer incarnation than the known one.
    fn newer_incarnation(self: &Rc<Self>, server: &Rc<str>, born: u64);
}

/// The incarnation that a report describes, relative to the known one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum ReportedIncarnation {
    /// The known one, as far as the report tells.
    Present,
    /// One that started later.
    Newer(u64),
    /// One that has ended.
    Former,
}

#[derive(Default)]
struct ServerState {
    order_lock: tokio::sync::Mutex<()>,
    orders_taken: Cell<Option<u64>>,
    surveying: Cell<bool>,
    last_order_at: Cell<Time>,
}

impl ServerState {
    /// Records that the server has accepted an order after `count` others.
    fn record_accepted(&self, now: Time, count: u64) {
        self.orders_taken.set(Some(count.saturating_add(1)));
        self.last_order_at.set(now);
    }
}

/// Sends orders to servers.
pub struct OrderExecutor {
    clock: Rc<dyn Clock>,
    dialect: Rc<dyn Dialect>,
    node: Rc<str>,
    calls: OrderCalls,
    server_states: RefCell<HashMap<Rc<str>, Rc<ServerState>>>,
    /// The right to order.
    pub claims: RefCell<Claims>,
    /// Decides what to order.
    pub planner: RefCell<Planner>,
}

impl OrderExecutor {
    /// Creates an executor that has sent no orders.
    pub fn new(
        clock: Rc<dyn Clock>,
        dialect: Rc<dyn Dialect>,
        node: Rc<str>,
        claims: Claims,
        pool: ConnectionPool,
    ) -> Self {
        Self {
            clock,
            calls: OrderCalls::new(dialect.clone(), pool),
            dialect,
            node,
            server_states: RefCell::default(),
            claims: RefCell::new(claims),
            planner: RefCell::default(),
        }
    }

    /// Drops the state of a server that was removed or restarted.
    pub fn forget(&self, server: &str) {
        self.server_states.borrow_mut().remove(server);
        self.calls.forget(server);
    }

    /// Handles a new claim, under which orders are sent from `orders_from` on: the server's report is read before
    /// the first one.
    pub fn on_claimed(&self, server: &Rc<str>, orders_from: Time) {
        self.planner.borrow_mut().claimed(server, orders_from);
        let state = self.server_state(server);
        self.invalidate(server, &state);
    }

    /// Closes connections that can no longer be used.
    pub fn sweep(&self) {
        self.calls.sweep();
    }

    /// Sets the hook for the response heads of orders and report requests.
    pub(in crate::gateway) fn set_response_hook(&self, hook: ResponseHook) {
        self.calls.set_response_hook(hook);
    }

    /// Starts every step that is due.
    pub fn start_due_steps(self: &Rc<Self>, sink: &Rc<impl NoticeSink + 'static>) {
        let now = self.clock.now();
        let orderable = self.claims.borrow().orderable(now);
        for (server, address) in self.planner.borrow().needing_survey(&orderable) {
            self.spawn_survey(server, address, sink);
        }
        let (plans, given_up) = self.planner.borrow_mut().plan(now, &orderable);
        for plan in plans {
            let (order_executor, sink) = (self.clone(), sink.clone());
            actix_rt::spawn(async move { order_executor.execute(plan, &*sink).await });
        }
        let born = |server: &str| self.planner.borrow().incarnation(server).flatten();
        let refused = given_up.iter().map(|(server, key)| PlacementNotice {
            server: server.to_string(),
            model: key.model.to_string(),
            adapter: key.adapter.to_string(),
            state: NoticeState::Refused,
            born: born(server),
        });
        let refused = refused.collect();
        sink.notices(refused);
    }

    fn spawn_survey(
        self: &Rc<Self>,
        server: Rc<str>,
        address: SocketAddr,
        sink: &Rc<impl NoticeSink + 'static>,
    ) {
        let state = self.server_state(&server);
        if state.surveying.replace(true) {
            return;
        }
        let (order_executor, sink) = (self.clone(), sink.clone());
        actix_rt::spawn(async move {
            if let Some(born) = order_executor.survey(&server, address, &state).await {
                sink.newer_incarnation(&server, born);
            }
            state.surveying.set(false);
        });
    }

    fn server_state(&self, server: &Rc<str>) -> Rc<ServerState> {
        self.server_states.borrow_mut().entry(server.clone()).or_default().clone()
    }

    async fn execute(&self, plan: Plan, sink: &impl NoticeSink) {
        let began = self.clock.now();
        let (end, fetch) = self.run_steps(&plan, sink).await;
        let now = self.clock.now();
        self.planner.borrow_mut().ended(now, &plan, end, fetch);
        let took_ms = now.since(began).as_millis() as u64;
        if let PlannedLoad::Adapter(key, version) = &plan.load {
            let state = match end {
                PlanOutcome::Done => Some(NoticeState::Held(*version)),
                PlanOutcome::Refused | PlanOutcome::NotSent | PlanOutcome::Unknown => {
                    Some(NoticeState::Refused)
                }
                PlanOutcome::InUse
                | PlanOutcome::Busy
                | PlanOutcome::Uncounted
                | PlanOutcome::Overtaken => None,
            };
            sink.notices(state.map(|state| notice(&plan, key, state)).into_iter().collect());
        }
        self.log_end(&plan, end, took_ms);
    }

    fn log_end(&self, plan: &Plan, end: PlanOutcome, took_ms: u64) {
        let (adapter, version) = match &plan.load {
            PlannedLoad::Base(_) => ("", 0),
            PlannedLoad::Adapter(key, version) => (&*key.adapter, *version),
        };
        let evicted = plan.evict.as_ref().map_or("", |key| &*key.adapter);
        let fence = self.claims.borrow().may_order(self.clock.now(), &plan.server).unwrap_or(0);
        log::info!(
            server = &*plan.server, adapter = adapter, version = version, evicted = evicted,
            cold = plan.cold, waited_ms = plan.waited.as_millis() as u64, took_ms = took_ms,
            fence = fence, end:? = end; "order"
        );
    }

    async fn run_steps(
        &self,
        plan: &Plan,
        sink: &impl NoticeSink,
    ) -> (PlanOutcome, Option<Duration>) {
        if let Some(victim) = &plan.evict {
            sink.notices(vec![notice(plan, victim, NoticeState::Absent)]);
            let order = self.adapter_order(OrderKind::Unload, victim, None);
            match self.order(plan, order).await {
                OrderOutcome::Answer(OrderAnswer::Holds) => {
                    self.planner.borrow_mut().evicted(&plan.server, victim);
                }
                OrderOutcome::Answer(OrderAnswer::Accepted) => return (PlanOutcome::InUse, None),
                other => return (outcome_of(other), None),
            }
        }
        match &plan.load {
            PlannedLoad::Base(model) => {
                let order = self.base_order(model);
                (outcome_of(self.order(plan, order).await), None)
            }
            PlannedLoad::Adapter(key, version) => {
                let began = self.clock.now();
                let end = self.load(plan, key, *version, sink).await;
                (end, Some(self.clock.now().since(began)))
            }
        }
    }

    fn base_order(&self, model: &Rc<str>) -> Order {
        Order {
            kind: OrderKind::Load,
            model: model.clone(),
            adapter: None,
            version: None,
            holder: self.node.clone(),
            fence: 0,
            expected: None,
        }
    }

    fn adapter_order(&self, kind: OrderKind, key: &AdapterKey, version: Option<u64>) -> Order {
        Order {
            kind,
            model: key.model.clone(),
            adapter: Some(key.adapter.clone()),
            version,
            holder: self.node.clone(),
            fence: 0,
            expected: None,
        }
    }

    /// Orders a load and queries it until it is done.
    async fn load(
        &self,
        plan: &Plan,
        key: &AdapterKey,
        version: u64,
        sink: &impl NoticeSink,
    ) -> PlanOutcome {
        let began = self.clock.now();
        let first = self.order(plan, self.adapter_order(OrderKind::Load, key, Some(version))).await;
        match first {
            OrderOutcome::Answer(OrderAnswer::Accepted) => {}
            other => return outcome_of(other),
        }
        let delay = if plan.cold { COLD_CONFIRM_DELAY } else { WARM_CONFIRM_DELAY };
        let typical = self.planner.borrow().expected_load_time(plan.cold);
        let coming = NoticeState::Coming(version, typical.as_millis() as u32);
        sink.notices(vec![notice(plan, key, coming)]);
        actix_rt::time::sleep(delay).await;
        while self.clock.now().since(began) < CONFIRM_DEADLINE {
            let order = self.adapter_order(OrderKind::Load, key, Some(version));
            match self.confirm(plan, order, key, version).await {
                Err(LoadProgress::Held) | Ok(OrderOutcome::Answer(OrderAnswer::Holds)) => {
                    return PlanOutcome::Done;
                }
                Err(_) => return PlanOutcome::Overtaken,
                Ok(OrderOutcome::Answer(OrderAnswer::Accepted | OrderAnswer::Busy)) => {}
                Ok(OrderOutcome::Answer(_)) => return PlanOutcome::Refused,
                Ok(OrderOutcome::Unknown | OrderOutcome::Uncounted) => {}
                Ok(OrderOutcome::NotSent) => return PlanOutcome::Unknown,
            }
            actix_rt::time::sleep(CONFIRM_INTERVAL).await;
        }
        PlanOutcome::Unknown
    }

    /// Resends an order that the server has accepted: the server responds whether the load is done
    /// and does not count the order again. It is not sent if a report or a later step has settled
    /// the load: the adapter may have been evicted since, and the same order would load it again.
    async fn confirm(
        &self,
        plan: &Plan,
        mut order: Order,
        key: &AdapterKey,
        version: u64,
    ) -> Result<OrderOutcome, LoadProgress> {
        let state = self.server_state(&plan.server);
        let _guard = state.order_lock.lock().await;
        let progress = self.planner.borrow().load_progress(&plan.server, key, version);
        if progress != LoadProgress::Loading {
            return Err(progress);
        }
        let Some(count) = state.orders_taken.get() else { return Ok(OrderOutcome::Uncounted) };
        order.expected = Some(count);
        let outcome = self.send(plan, &mut order, CONFIRM_TIMEOUT).await;
        if matches!(outcome, OrderOutcome::Answer(OrderAnswer::Busy | OrderAnswer::Refused)) {
            self.invalidate(&plan.server, &state);
        }
        Ok(outcome)
    }

    /// Sends one order with the number of orders that the server must have accepted before it.
    async fn order(&self, plan: &Plan, mut order: Order) -> OrderOutcome {
        let state = self.server_state(&plan.server);
        let _guard = state.order_lock.lock().await;
        let Some(count) = state.orders_taken.get() else { return OrderOutcome::Uncounted };
        order.expected = Some(count);
        let mut outcome = OrderOutcome::Unknown;
        for timeout in ORDER_TIMEOUTS {
            outcome = self.send(plan, &mut order, timeout).await;
            if outcome != OrderOutcome::Unknown {
                break;
            }
        }
        if !self.is_same_incarnation(plan) {
            return OrderOutcome::NotSent;
        }
        match outcome {
            OrderOutcome::Answer(OrderAnswer::Accepted) => self.accepted(plan, &state, count),
            OrderOutcome::Answer(OrderAnswer::Holds) if order.kind == OrderKind::Unload => {
                self.accepted(plan, &state, count);
            }
            OrderOutcome::Answer(OrderAnswer::Holds)
            | OrderOutcome::NotSent
            | OrderOutcome::Uncounted => {}
            OrderOutcome::Answer(_) | OrderOutcome::Unknown => {
                self.invalidate(&plan.server, &state)
            }
        }
        outcome
    }

    /// Records that the server has accepted an order after `count` others.
    fn accepted(&self, plan: &Plan, state: &ServerState, count: u64) {
        state.record_accepted(self.clock.now(), count);
        self.planner.borrow_mut().record_orders_taken(&plan.server, count.saturating_add(1));
    }

    /// Records an adapter order that is about to be sent: unless it is answered, the server's next incarnation may
    /// execute it as well.
    fn record_sent(&self, plan: &Plan, order: &Order) -> Option<UnansweredOrder> {
        let adapter = AdapterKey { model: order.model.clone(), adapter: order.adapter.clone()? };
        let expected = order.expected?;
        let sent =
            UnansweredOrder { kind: order.kind, adapter, expected, sent_at: self.clock.now() };
        self.planner.borrow_mut().order_sent(&plan.server, sent.clone());
        Some(sent)
    }

    /// Returns false if the server was removed or restarted since the step was planned.
    fn is_same_incarnation(&self, plan: &Plan) -> bool {
        self.planner.borrow().incarnation(&plan.server) == Some(plan.born)
    }

    /// Marks the server's state as unknown: its report is read before the next order.
    fn invalidate(&self, server: &str, state: &ServerState) {
        state.orders_taken.set(None);
        state.last_order_at.set(self.clock.now());
        self.planner.borrow_mut().invalidate_survey(server);
    }

    /// Reads a server's report, once it can no longer be older than this daemon's last orders.
    /// Returns the start of a newer incarnation if the report is of one.
    async fn survey(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
        state: &Rc<ServerState>,
    ) -> Option<u64> {
        let age = self.clock.now().since(state.last_order_at.get());
        actix_rt::time::sleep(REPORT_LAG.saturating_sub(age)).await;
        let _guard = state.order_lock.lock().await;
        let read = self.read_report(server, address, SURVEY_TIMEOUT).await;
        let report = read.filter(|_| Rc::ptr_eq(state, &self.server_state(server)))?;
        match self.reported_incarnation(server, &report) {
            ReportedIncarnation::Present => {}
            ReportedIncarnation::Newer(born) => return Some(born),
            ReportedIncarnation::Former => {
                // Retried after the lag of a report instead of at once.
                state.last_order_at.set(self.clock.now());
                return None;
            }
        }
        state.orders_taken.set(Some(report.orders_taken));
        self.planner.borrow_mut().reported(self.clock.now(), server, &report);
        self.log_reserved_slots(server, report.orders_taken);
        None
    }

    fn log_reserved_slots(&self, server: &str, orders_taken: u64) {
        let now = self.clock.now();
        let (slots, until) = self.planner.borrow().reserved_slots(now, server);
        if slots > 0 {
            let left_ms = until.since(now).as_millis() as u64;
            log::info!(server = server, slots = slots, orders_taken = orders_taken, left_ms = left_ms; "slots_reserved");
        }
    }

    /// Compares the incarnation of a report with the known one.
    pub(in crate::gateway) fn reported_incarnation(
        &self,
        server: &str,
        report: &ServerReport,
    ) -> ReportedIncarnation {
        let known = self.planner.borrow().incarnation(server).flatten();
        match (report.born, known) {
            (Some(reported), Some(known)) if reported < known => ReportedIncarnation::Former,
            (Some(reported), Some(known)) if reported > known => {
                ReportedIncarnation::Newer(reported)
            }
            _ => ReportedIncarnation::Present,
        }
    }

    /// Checks the order count of a report. If it exceeds the orders sent from here, a late order
    /// was executed, and the server's report has to be read again.
    pub(in crate::gateway) fn check_order_count(&self, server: &Rc<str>, report: &ServerReport) {
        let state = self.server_state(server);
        if state.orders_taken.get().is_some_and(|known| report.orders_taken > known) {
            self.invalidate(server, &state);
        }
    }

    /// Reads a server's report for its load; `None` if it does not respond.
    pub(in crate::gateway) async fn fetch_load_report(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
    ) -> Option<ServerReport> {
        self.read_report(server, address, LOAD_REPORT_TIMEOUT).await
    }

    async fn read_report(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
        timeout: Duration,
    ) -> Option<ServerReport> {
        let path = self.dialect.report_path();
        let call = OrderCall { server, address, method: "GET", path, body: &[], timeout };
        let CallOutcome::Response(response) = self.calls.call(&call, || true).await else {
            return None;
        };
        let ok = response.status.is_success();
        ok.then(|| self.dialect.report(&response.body).ok()).flatten()
    }

    async fn send(&self, plan: &Plan, order: &mut Order, timeout: Duration) -> OrderOutcome {
        let may_order = || {
            let fence = self.claims.borrow().may_order(self.clock.now(), &plan.server);
            fence.filter(|_| self.is_same_incarnation(plan))
        };
        let Some(fence) = may_order() else { return OrderOutcome::NotSent };
        order.fence = fence;
        let (path, body) = self.dialect.order(order);
        let still_allowed = || may_order() == Some(fence);
        let call = OrderCall {
            server: &plan.server,
            address: plan.address,
            method: "POST",
            path,
            body: &body,
            timeout,
        };
        let sent = self.record_sent(plan, order);
        let outcome = self.calls.call(&call, still_allowed).await;
        if let Some(sent) = sent.filter(|_| !matches!(outcome, CallOutcome::NoResponse)) {
            self.planner.borrow_mut().order_answered(&plan.server, &sent);
        }
        match outcome {
            CallOutcome::Response(response) => {
                OrderOutcome::Answer(self.dialect.order_answer(response.status.as_u16()))
            }
            CallOutcome::NoResponse => OrderOutcome::Unknown,
            CallOutcome::NotSent => OrderOutcome::NotSent,
        }
    }
}

fn outcome_of(outcome: OrderOutcome) -> PlanOutcome {
    match outcome {
        OrderOutcome::Answer(OrderAnswer::Holds | OrderAnswer::Accepted) => PlanOutcome::Done,
        OrderOutcome::Answer(OrderAnswer::Busy) => PlanOutcome::Busy,
        OrderOutcome::Answer(_) => PlanOutcome::Refused,
        OrderOutcome::Unknown => PlanOutcome::Unknown,
        OrderOutcome::NotSent => PlanOutcome::NotSent,
        OrderOutcome::Uncounted => PlanOutcome::Uncounted,
    }
}

fn notice(plan: &Plan, key: &AdapterKey, state: NoticeState) -> PlacementNotice {
    PlacementNotice {
        server: plan.server.to_string(),
        model: key.model.to_string(),
        adapter: key.adapter.to_string(),
        state,
        born: plan.born,
    }
}
