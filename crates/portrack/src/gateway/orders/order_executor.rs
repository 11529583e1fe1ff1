//! Carries the planner's steps out: sends orders, one at a time to each server, and tells the
//! other daemons what came of them.

use super::claims::Claims;
use super::order_call::{AnswerHeard, Called, OrderCall, OrderCalls};
use super::planner::{LoadProgress, Plan, PlanOutcome, PlannedLoad, Planner};
use crate::gateway::dialect::{AdapterKey, Dialect, Order, OrderAnswer, OrderKind, ServerReport};
use crate::gateway::fleet::message::{NoticeState, PlacementNotice};
use crate::types::{Clock, Time};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long each try of one order waits for its answer. Every try carries the same count of orders,
/// so at most one of them is carried out, however late.
const ORDER_PATIENCE: [Duration; 3] =
    [Duration::from_millis(150), Duration::from_millis(250), Duration::from_millis(300)];
/// The longest wait for the answer to a question whether a load is done.
const CONFIRM_PATIENCE: Duration = Duration::from_millis(120);
/// The longest wait for a report.
const REPORT_PATIENCE: Duration = Duration::from_millis(700);
/// The longest wait for a report that is asked for again soon.
const LOAD_PATIENCE: Duration = Duration::from_millis(200);
/// A report is this much older than the server's state.
const REPORT_LAG: Duration = Duration::from_millis(260);
/// An order is asked about again after this while it is carried out.
const CONFIRM_EVERY: Duration = Duration::from_millis(25);
/// A load that is not confirmed after this is left to the store's list.
const CONFIRM_FOR: Duration = Duration::from_millis(4_000);
/// A load from the weight store is asked about after this.
const COLD_GUESS: Duration = Duration::from_millis(240);
/// A load of what the server has at hand is asked about after this.
const WARM_GUESS: Duration = Duration::from_millis(20);

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ordered {
    Answer(OrderAnswer),
    /// Sent, and no answer came.
    Unknown,
    /// Not sent: no right to order, or no connection.
    NotSent,
    /// Not sent: how many orders the server has taken is not known at the moment.
    Uncounted,
}

/// Who hears of what was ordered, and of what servers report.
pub trait NoticeSink {
    /// Takes notices of one step.
    fn notices(&self, notices: Vec<PlacementNotice>);
    /// A server reports of a life that started later than the one believed in.
    fn newer_incarnation(self: &Rc<Self>, server: &Rc<str>, born: u64);
}

/// Which life a report is of, compared with the one believed in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) enum ReportedIncarnation {
    /// That one, as far as it tells.
    Present,
    /// One that started later.
    Newer(u64),
    /// One that is over.
    Former,
}

#[derive(Default)]
struct ServerLine {
    turn: tokio::sync::Mutex<()>,
    orders_taken: Cell<Option<u64>>,
    surveying: Cell<bool>,
    ordered_at: Cell<Time>,
}

impl ServerLine {
    /// The server has taken an order after `count` others.
    fn took(&self, now: Time, count: u64) {
        self.orders_taken.set(Some(count.saturating_add(1)));
        self.ordered_at.set(now);
    }
}

/// Sends orders.
pub struct OrderExecutor {
    clock: Rc<dyn Clock>,
    dialect: Rc<dyn Dialect>,
    node: Rc<str>,
    calls: OrderCalls,
    lines: RefCell<HashMap<Rc<str>, Rc<ServerLine>>>,
    /// The right to order.
    pub claims: RefCell<Claims>,
    /// What is to be ordered.
    pub planner: RefCell<Planner>,
}

impl OrderExecutor {
    /// Nothing ordered yet.
    pub fn new(
        clock: Rc<dyn Clock>,
        dialect: Rc<dyn Dialect>,
        node: Rc<str>,
        claims: Claims,
    ) -> Self {
        Self {
            clock,
            calls: OrderCalls::new(dialect.clone()),
            dialect,
            node,
            lines: RefCell::default(),
            claims: RefCell::new(claims),
            planner: RefCell::default(),
        }
    }

    /// Forgets a server that is gone or has started again.
    pub fn forget(&self, server: &str) {
        self.lines.borrow_mut().remove(server);
        self.calls.forget(server);
    }

    /// A server's claim is new: what it holds is asked before it is ordered.
    pub fn claimed(&self, server: &Rc<str>) {
        let line = self.line(server);
        self.unsure(server, &line);
    }

    /// Closes connections that can no longer be used.
    pub fn sweep(&self) {
        self.calls.sweep();
    }

    /// Has the heads of answers to orders and to questions for reports told.
    pub(in crate::gateway) fn set_response_hook(&self, heard: AnswerHeard) {
        self.calls.set_response_hook(heard);
    }

    /// Begins every step that is due.
    pub fn start_due_steps(self: &Rc<Self>, sink: &Rc<impl NoticeSink + 'static>) {
        let now = self.clock.now();
        let orderable = self.claims.borrow().orderable(now);
        for (server, address) in self.planner.borrow().needing_survey(&orderable) {
            self.begin_survey(server, address, sink);
        }
        let (plans, given_up) = self.planner.borrow_mut().plan(now, &orderable);
        for plan in plans {
            let (order_executor, sink) = (self.clone(), sink.clone());
            actix_rt::spawn(async move { order_executor.carry_out(plan, &*sink).await });
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

    fn begin_survey(
        self: &Rc<Self>,
        server: Rc<str>,
        address: SocketAddr,
        sink: &Rc<impl NoticeSink + 'static>,
    ) {
        let line = self.line(&server);
        if line.surveying.replace(true) {
            return;
        }
        let (order_executor, sink) = (self.clone(), sink.clone());
        actix_rt::spawn(async move {
            if let Some(born) = order_executor.survey(&server, address, &line).await {
                sink.newer_incarnation(&server, born);
            }
            line.surveying.set(false);
        });
    }

    fn line(&self, server: &Rc<str>) -> Rc<ServerLine> {
        self.lines.borrow_mut().entry(server.clone()).or_default().clone()
    }

    async fn carry_out(&self, plan: Plan, sink: &impl NoticeSink) {
        let began = self.clock.now();
        let (end, fetch) = self.steps(&plan, sink).await;
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
        self.log(&plan, end, took_ms);
    }

    fn log(&self, plan: &Plan, end: PlanOutcome, took_ms: u64) {
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

    async fn steps(&self, plan: &Plan, sink: &impl NoticeSink) -> (PlanOutcome, Option<Duration>) {
        if let Some(victim) = &plan.evict {
            sink.notices(vec![notice(plan, victim, NoticeState::Absent)]);
            let order = self.adapter_order(OrderKind::Unload, victim, None);
            match self.order(plan, order).await {
                Ordered::Answer(OrderAnswer::Holds) => {
                    self.planner.borrow_mut().evicted(&plan.server, victim);
                }
                Ordered::Answer(OrderAnswer::Accepted) => return (PlanOutcome::InUse, None),
                other => return (end_of(other), None),
            }
        }
        match &plan.load {
            PlannedLoad::Base(model) => {
                let order = self.base_order(model);
                (end_of(self.order(plan, order).await), None)
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

    /// Orders a load and asks about it until it is there.
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
            Ordered::Answer(OrderAnswer::Accepted) => {}
            other => return end_of(other),
        }
        let guess = if plan.cold { COLD_GUESS } else { WARM_GUESS };
        let typical = self.planner.borrow().fetch_takes(plan.cold);
        let coming = NoticeState::Coming(version, typical.as_millis() as u32);
        sink.notices(vec![notice(plan, key, coming)]);
        actix_rt::time::sleep(guess).await;
        while self.clock.now().since(began) < CONFIRM_FOR {
            let order = self.adapter_order(OrderKind::Load, key, Some(version));
            match self.confirm(plan, order, key, version).await {
                Err(LoadProgress::Held) | Ok(Ordered::Answer(OrderAnswer::Holds)) => {
                    return PlanOutcome::Done;
                }
                Err(_) => return PlanOutcome::Overtaken,
                Ok(Ordered::Answer(OrderAnswer::Accepted | OrderAnswer::Busy)) => {}
                Ok(Ordered::Answer(_)) => return PlanOutcome::Refused,
                Ok(Ordered::Unknown | Ordered::Uncounted) => {}
                Ok(Ordered::NotSent) => return PlanOutcome::Unknown,
            }
            actix_rt::time::sleep(CONFIRM_EVERY).await;
        }
        PlanOutcome::Unknown
    }

    /// Sends an order again that the server has taken: it answers whether it holds by now, and
    /// does not count it again. Not sent if a report or a later step has settled the load: the
    /// adapter may have made way since, and the same order would load it once more.
    async fn confirm(
        &self,
        plan: &Plan,
        mut order: Order,
        key: &AdapterKey,
        version: u64,
    ) -> Result<Ordered, LoadProgress> {
        let line = self.line(&plan.server);
        let _turn = line.turn.lock().await;
        let progress = self.planner.borrow().load_progress(&plan.server, key, version);
        if progress != LoadProgress::Loading {
            return Err(progress);
        }
        let Some(count) = line.orders_taken.get() else { return Ok(Ordered::Uncounted) };
        order.expected = Some(count);
        let ordered = self.send(plan, &mut order, CONFIRM_PATIENCE).await;
        if matches!(ordered, Ordered::Answer(OrderAnswer::Busy | OrderAnswer::Refused)) {
            self.unsure(&plan.server, &line);
        }
        Ok(ordered)
    }

    /// Sends one order, with the number of orders that the server must have taken before.
    async fn order(&self, plan: &Plan, mut order: Order) -> Ordered {
        let line = self.line(&plan.server);
        let _turn = line.turn.lock().await;
        let Some(count) = line.orders_taken.get() else { return Ordered::Uncounted };
        order.expected = Some(count);
        let mut ordered = Ordered::Unknown;
        for patience in ORDER_PATIENCE {
            ordered = self.send(plan, &mut order, patience).await;
            if ordered != Ordered::Unknown {
                break;
            }
            self.note_unanswered(plan, &order);
        }
        if !self.is_same_life(plan) {
            return Ordered::NotSent;
        }
        match ordered {
            Ordered::Answer(OrderAnswer::Accepted) => line.took(self.clock.now(), count),
            Ordered::Answer(OrderAnswer::Holds) if order.kind == OrderKind::Unload => {
                line.took(self.clock.now(), count);
            }
            Ordered::Answer(OrderAnswer::Holds) | Ordered::NotSent | Ordered::Uncounted => {}
            Ordered::Answer(_) | Ordered::Unknown => self.unsure(&plan.server, &line),
        }
        ordered
    }

    /// An unload without an answer may be carried out at the server's next life as well.
    fn note_unanswered(&self, plan: &Plan, order: &Order) {
        let Some(adapter) = order.adapter.clone().filter(|_| order.kind == OrderKind::Unload)
        else {
            return;
        };
        let key = AdapterKey { model: order.model.clone(), adapter };
        self.planner.borrow_mut().unload_unanswered(self.clock.now(), &plan.server, &key);
    }

    /// True unless the server is gone or has started again since the step was planned.
    fn is_same_life(&self, plan: &Plan) -> bool {
        self.planner.borrow().incarnation(&plan.server) == Some(plan.born)
    }

    /// The server's state is not known any more: its report is read before the next order.
    fn unsure(&self, server: &str, line: &ServerLine) {
        line.orders_taken.set(None);
        line.ordered_at.set(self.clock.now());
        self.planner.borrow_mut().invalidate_survey(server);
    }

    /// Reads a server's report, once it can no longer be older than this daemon's last orders. Returns the
    /// start of a newer life if the report is of one.
    async fn survey(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
        line: &Rc<ServerLine>,
    ) -> Option<u64> {
        let age = self.clock.now().since(line.ordered_at.get());
        actix_rt::time::sleep(REPORT_LAG.saturating_sub(age)).await;
        let _turn = line.turn.lock().await;
        let read = self.read_report(server, address, REPORT_PATIENCE).await;
        let report = read.filter(|_| Rc::ptr_eq(line, &self.line(server)))?;
        match self.reported_incarnation(server, &report) {
            ReportedIncarnation::Present => {}
            ReportedIncarnation::Newer(born) => return Some(born),
            ReportedIncarnation::Former => {
                // Asked again after the lag of a report, not at once.
                line.ordered_at.set(self.clock.now());
                return None;
            }
        }
        line.orders_taken.set(Some(report.orders_taken));
        self.planner.borrow_mut().reported(self.clock.now(), server, &report);
        None
    }

    /// Which life of a server a report is of.
    pub(in crate::gateway) fn reported_incarnation(
        &self,
        server: &str,
        report: &ServerReport,
    ) -> ReportedIncarnation {
        let believed = self.planner.borrow().incarnation(server).flatten();
        match (report.born, believed) {
            (Some(told), Some(believed)) if told < believed => ReportedIncarnation::Former,
            (Some(told), Some(believed)) if told > believed => ReportedIncarnation::Newer(told),
            _ => ReportedIncarnation::Present,
        }
    }

    /// A report counts more orders than were sent from here: a late one was carried out, and what the
    /// server holds has to be asked.
    pub(in crate::gateway) fn check_order_count(&self, server: &Rc<str>, report: &ServerReport) {
        let line = self.line(server);
        if line.orders_taken.get().is_some_and(|known| report.orders_taken > known) {
            self.unsure(server, &line);
        }
    }

    /// A server's report, for its load; `None` if it does not answer.
    pub(in crate::gateway) async fn fetch_load_report(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
    ) -> Option<ServerReport> {
        self.read_report(server, address, LOAD_PATIENCE).await
    }

    async fn read_report(
        &self,
        server: &Rc<str>,
        address: SocketAddr,
        patience: Duration,
    ) -> Option<ServerReport> {
        let path = self.dialect.report_path();
        let call = OrderCall { server, address, method: "GET", path, body: &[], patience };
        let Called::Answer(answer) = self.calls.call(&call, || true).await else { return None };
        let ok = answer.status.is_success();
        ok.then(|| self.dialect.report(&answer.body).ok()).flatten()
    }

    async fn send(&self, plan: &Plan, order: &mut Order, patience: Duration) -> Ordered {
        let may_order = || {
            let fence = self.claims.borrow().may_order(self.clock.now(), &plan.server);
            fence.filter(|_| self.is_same_life(plan))
        };
        let Some(fence) = may_order() else { return Ordered::NotSent };
        order.fence = fence;
        let (path, body) = self.dialect.order(order);
        let still = || may_order() == Some(fence);
        let call = OrderCall {
            server: &plan.server,
            address: plan.address,
            method: "POST",
            path,
            body: &body,
            patience,
        };
        match self.calls.call(&call, still).await {
            Called::Answer(answer) => {
                Ordered::Answer(self.dialect.order_answer(answer.status.as_u16()))
            }
            Called::NoAnswer => Ordered::Unknown,
            Called::NotSent => Ordered::NotSent,
        }
    }
}

fn end_of(ordered: Ordered) -> PlanOutcome {
    match ordered {
        Ordered::Answer(OrderAnswer::Holds | OrderAnswer::Accepted) => PlanOutcome::Done,
        Ordered::Answer(OrderAnswer::Busy) => PlanOutcome::Busy,
        Ordered::Answer(_) => PlanOutcome::Refused,
        Ordered::Unknown => PlanOutcome::Unknown,
        Ordered::NotSent => PlanOutcome::NotSent,
        Ordered::Uncounted => PlanOutcome::Uncounted,
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
