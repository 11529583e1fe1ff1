//! Requests grants from the granters of servers, and acts as the granter of some servers for other
//! daemons.

use super::fallback_shares::FallbackShares;
use super::granter::{Granter, ServerRule};
use super::guard::{GrantGuard, WaitingGrant};
use super::message::{GrantAnswer, GrantEnd, GrantMessage, GrantReply, GrantRequest};
use super::pending_calls::{ANSWER_TIMEOUT, CallId, PendingCalls, next_answer};
use super::prefill_rate::PrefillRate;
use super::quantile::Quantile;
use crate::gateway::admission::{FreshnessProof, OrganisationHash};
use crate::gateway::backpressure::message::LimitReport;
use crate::gateway::backpressure::tracker::Backpressure;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::cold_start_tracker::ColdStartTracker;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::regions::Regions;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::selection::load::LoadTable;
use crate::types::{Clock, Time};
use prometheus::{Histogram, IntCounterVec};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// How long the granter of a server is cached. The set of known daemons changes with each
/// heartbeat.
const GRANTER_CACHED_FOR: Duration = Duration::from_millis(300);
/// Interval between log lines with the prefill rates.
const RATES_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Assumed duration of an engine step before any stream was observed; typical of slow engines.
const DEFAULT_STEP_MS: f64 = 20.0;
/// A low quantile, because streams delayed by prefill say nothing about the usual gap between
/// events.
const EVENT_GAP_QUANTILE: f64 = 0.3;

/// What a request requires of a grant.
#[derive(Debug, Clone)]
pub struct GrantRequirements {
    /// The request's organisation, if callers present keys.
    pub organisation: Option<OrganisationHash>,
    /// Number of prompt tokens.
    pub tokens: u32,
    /// Priority, 0 is highest.
    pub priority: u8,
    /// The request must be sent within this to meet its objective.
    pub time_left: Duration,
    /// The caller no longer waits for the answer if the request is sent later than this.
    pub max_wait: Duration,
    /// The longest gap between events of a stream that meets the objective.
    pub max_gap: Option<Duration>,
}

/// The outcome of requesting a grant.
pub enum GrantOutcome {
    /// The request may be sent.
    Granted(GrantGuard),
    /// The request has to wait.
    Waits(WaitingGrant),
    /// The request must not be sent; the caller may retry after this.
    Refused(Duration),
    /// No granter answered.
    Unanswered,
}

/// Metrics of grants.
pub struct GrantMetrics {
    /// Requests for a grant by outcome.
    pub outcomes: IntCounterVec,
    /// Time from the request to the grant, in seconds.
    pub waits: Histogram,
}

/// Dependencies of [`Grants`].
pub struct GrantDeps {
    /// The monotonic clock.
    pub clock: Rc<dyn Clock>,
    /// The known state of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// Proof of how fresh the view is.
    pub proof: Rc<FreshnessProof>,
    /// Which servers may be cold.
    pub coldness: Rc<RefCell<ColdStartTracker>>,
    /// Load of the servers.
    pub loads: Rc<LoadTable>,
    /// Limits and backoffs that servers have stated.
    pub backpressure: Rc<Backpressure>,
    /// Sends datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// The daemons that may be granters.
    pub daemons: Rc<RefCell<Daemons>>,
    /// The regions of the data halls.
    pub regions: Regions,
    /// Factor by which arrivals at a cold server may exceed its stated rate.
    pub cold_ratio: f64,
    /// Requests per second that a cold server may receive in addition.
    pub cold_slack: f64,
    /// Metrics.
    pub metrics: GrantMetrics,
}

/// A server for which this daemon is the granter.
struct GrantedServer {
    id: Rc<str>,
    born: Option<u64>,
    granter: Granter,
}

impl GrantedServer {
    /// Creates the state of a server without any grants.
    fn new(now: Time, backend: &Backend) -> Self {
        Self { id: backend.id.clone(), born: backend.born, granter: Granter::new(now) }
    }
}

/// Requests and gives grants on behalf of this daemon.
pub struct Grants {
    pub(super) clock: Rc<dyn Clock>,
    pub(super) view: Rc<RefCell<FleetView>>,
    pub(super) proof: Rc<FreshnessProof>,
    pub(super) coldness: Rc<RefCell<ColdStartTracker>>,
    loads: Rc<LoadTable>,
    pub(super) backpressure: Rc<Backpressure>,
    messenger: Rc<Messenger>,
    pub(super) me: DaemonInfo,
    pub(super) daemons: Rc<RefCell<Daemons>>,
    pub(super) regions: Regions,
    pub(super) cold_ratio: f64,
    pub(super) cold_slack: f64,
    metrics: GrantMetrics,
    /// Whether the loads of servers are known only with a delay.
    pub loads_are_delayed: Cell<bool>,
    /// Number of recently known daemons, including silent ones and this one.
    pub(super) known_daemons: Cell<usize>,
    pub(super) shares: RefCell<FallbackShares>,
    pub(super) calls: PendingCalls<GrantAnswer>,
    servers: RefCell<HashMap<u32, GrantedServer>>,
    prefill_rates: RefCell<HashMap<Rc<str>, PrefillRate>>,
    event_gaps: RefCell<HashMap<Rc<str>, Quantile>>,
    /// Recently found granters, by server and whether it states a limit.
    granters: RefCell<HashMap<(u32, bool), (Time, SocketAddr)>>,
    rates_logged_at: Cell<Time>,
}

impl Grants {
    /// Creates the state with nothing granted.
    pub fn new(deps: GrantDeps) -> Self {
        let started_at = deps.clock.now();
        Self {
            clock: deps.clock,
            view: deps.view,
            proof: deps.proof,
            coldness: deps.coldness,
            loads: deps.loads,
            backpressure: deps.backpressure,
            messenger: deps.messenger,
            me: deps.me,
            daemons: deps.daemons,
            regions: deps.regions,
            cold_ratio: deps.cold_ratio,
            cold_slack: deps.cold_slack,
            metrics: deps.metrics,
            loads_are_delayed: Cell::new(false),
            known_daemons: Cell::new(1),
            shares: RefCell::new(FallbackShares::new(started_at)),
            calls: PendingCalls::default(),
            servers: RefCell::default(),
            prefill_rates: RefCell::default(),
            event_gaps: RefCell::default(),
            granters: RefCell::default(),
            rates_logged_at: Cell::new(started_at),
        }
    }

    /// Updates the known daemons, including silent ones.
    pub fn update_daemons(&self, daemons: impl Iterator<Item = SocketAddr>) {
        let daemons: Vec<SocketAddr> = daemons.collect();
        self.known_daemons.set(daemons.len() + 1);
        let daemons = daemons.into_iter();
        self.shares.borrow_mut().update_daemons(self.clock.now(), daemons);
    }

    /// The granter of a server, from the cache if it was found recently.
    fn granter(&self, now: Time, backend: &Backend) -> Option<SocketAddr> {
        let key = (backend.incarnation_hash(), self.is_limited(backend));
        if let Some((at, granter)) = self.granters.borrow().get(&key)
            && now.since(*at) < GRANTER_CACHED_FOR
        {
            return Some(*granter);
        }
        let granter = self.first_granter(backend, |daemon| {
            !self.calls.is_avoided(now, daemon.address) && !self.loads.is_hall_silent(&daemon.hall)
        })?;
        self.granters.borrow_mut().insert(key, (now, granter));
        Some(granter)
    }

    /// Requests permission to send a request to a server.
    pub async fn ask(
        self: &Rc<Self>,
        backend: &Backend,
        requirements: &GrantRequirements,
    ) -> GrantOutcome {
        let asked_at = self.clock.now();
        let server = backend.incarnation_hash();
        let Some(granter) = self.granter(asked_at, backend) else {
            return GrantOutcome::Unanswered;
        };
        let (call, mut answers) = self.calls.open();
        let prefill = (backend.service.clone(), requirements.tokens);
        let guard = GrantGuard::new(self.clone(), granter, server, call, prefill);
        let request = GrantRequest {
            ask: call,
            server,
            organisation: requirements.organisation,
            tokens: requirements.tokens,
            priority: requirements.priority,
            left_ms: requirements.time_left.as_millis() as u32,
            most_ms: requirements.max_wait.as_millis() as u32,
            gap_ms: requirements.max_gap.map_or(0, |gap| gap.as_millis() as u16),
            event_ms: requirements.max_gap.map_or(0, |_| self.event_ms(&backend.service)),
            limit: self.backpressure.report(server),
        };
        self.send(granter, GrantMessage::Ask(request));
        // The round trip to another region takes part of the time.
        let timeout = match self.regions.is_own(&backend.hall) {
            true => ANSWER_TIMEOUT,
            false => ANSWER_TIMEOUT * 2,
        };
        let answer = next_answer(&mut answers, timeout).await;
        // A daemon that was suspended in the meantime cannot tell how old the answer is.
        let in_time = self.clock.now().since(asked_at) < timeout * 2;
        let answer = answer.filter(|_| in_time);
        self.handle_answer(backend, guard, answers, answer)
    }

    /// Waits for the second answer.
    pub async fn wait(
        &self,
        backend: &Backend,
        mut waiting: WaitingGrant,
        max_wait: Duration,
    ) -> GrantOutcome {
        let started_at = self.clock.now();
        let timeout = max_wait + ANSWER_TIMEOUT;
        let answer = next_answer(&mut waiting.answers, timeout).await;
        // A daemon that was suspended in the meantime would send all waiting requests at once, long
        // after they were granted.
        let in_time = self.clock.now().since(started_at) < timeout + ANSWER_TIMEOUT;
        let answer = answer.filter(|answer| in_time && !matches!(answer, GrantAnswer::Waits(_)));
        self.handle_answer(backend, waiting.guard, waiting.answers, answer)
    }

    fn handle_answer(
        &self,
        backend: &Backend,
        guard: GrantGuard,
        answers: UnboundedReceiver<GrantAnswer>,
        answer: Option<GrantAnswer>,
    ) -> GrantOutcome {
        let now = self.clock.now();
        let millis = |millis: u32| Duration::from_millis(millis.into());
        let backlog = |after: u32| self.loads.set_backlog_until(&backend.id, now + millis(after));
        let (label, outcome) = match answer {
            Some(GrantAnswer::Granted(prefill_ms)) => {
                backlog(prefill_ms);
                guard.set_prefill_alone(prefill_ms == 0);
                guard.granted(now);
                ("granted", GrantOutcome::Granted(guard))
            }
            Some(GrantAnswer::Waits(wait)) => {
                backlog(wait);
                let expected = millis(wait);
                ("waits", GrantOutcome::Waits(WaitingGrant { guard, answers, expected }))
            }
            Some(GrantAnswer::Refused(after)) => {
                guard.refused();
                log::info!(
                    server = &*backend.id, granter:% = guard.granter, retry_after_ms = after;
                    "grant_refused"
                );
                ("refused", GrantOutcome::Refused(millis(after)))
            }
            None => {
                // Logged once per period in which the daemon is avoided.
                if !self.calls.is_avoided(now, guard.granter) {
                    log::warn!(server = &*backend.id, granter:% = guard.granter; "grant_unanswered");
                }
                self.calls.avoid(now, guard.granter);
                self.granters.borrow_mut().clear();
                ("unanswered", GrantOutcome::Unanswered)
            }
        };
        self.metrics.outcomes.with_label_values(&[label]).inc();
        outcome
    }

    /// Mean prefill time of a prompt on a server of the service; zero if unknown.
    pub fn mean_prefill_time(&self, service: &Rc<str>) -> Duration {
        self.prefill_rates
            .borrow()
            .get(service)
            .map_or(Duration::ZERO, PrefillRate::mean_prefill_time)
    }

    /// Records the prefill time of a prompt on a server that had no other prefill.
    pub(super) fn record_prefill(&self, service: &Rc<str>, tokens: u32, took: Duration) {
        let mut rates = self.prefill_rates.borrow_mut();
        let rate = rates.entry(service.clone()).or_default();
        rate.observe(tokens, took.as_secs_f64() * 1_000.0);
    }

    /// Periodically logs the prefill rates and drops removed servers.
    fn log_rates(&self, now: Time) {
        if now.since(self.rates_logged_at.get()) < RATES_LOG_INTERVAL {
            return;
        }
        self.rates_logged_at.set(now);
        let view = self.view.borrow();
        self.servers.borrow_mut().retain(|_, granted| view.backend(&granted.id).is_some());
        for (service, rate) in &*self.prefill_rates.borrow() {
            let event = self.event_gaps.borrow().get(service).map_or(0.0, Quantile::get);
            log::info!(
                service = &**service, tokens_per_ms = rate.get(), event_ms = event,
                reads_ms = rate.mean_prefill_time().as_millis() as u64; "reading_pace"
            );
        }
    }

    /// Records how long a request waited for its grant.
    pub fn observe_wait(&self, wait: Duration) {
        self.metrics.waits.observe(wait.as_secs_f64());
    }

    fn event_ms(&self, service: &Rc<str>) -> u16 {
        let first = || {
            let view = self.view.borrow();
            let engine = view.service(service).and_then(|service| service.engine.clone());
            engine.map_or(1, |engine| engine.event_tokens.max(1))
        };
        let mut gaps = self.event_gaps.borrow_mut();
        let event = gaps.entry(service.clone()).or_insert_with(|| {
            Quantile::new(EVENT_GAP_QUANTILE, f64::from(first()) * DEFAULT_STEP_MS)
        });
        event.get().round() as u16
    }

    /// Records the mean gap between the events of a stream.
    pub fn record_event_gap(&self, service: &Rc<str>, gap: Duration) {
        if let Some(event) = self.event_gaps.borrow_mut().get_mut(service) {
            event.observe(gap.as_secs_f64() * 1_000.0);
        }
    }

    pub(super) fn send(&self, to: SocketAddr, message: GrantMessage) {
        if to == self.me.address {
            self.on_message(message, to);
        } else {
            self.messenger.send(&PeerMessage::Grants(message), to);
        }
    }

    /// Handles a message from another daemon or from this one.
    pub fn on_message(&self, message: GrantMessage, from: SocketAddr) {
        match message {
            GrantMessage::Ask(request) => self.on_ask(request, from),
            GrantMessage::Answer(call, answer) => self.calls.answer(call, answer),
            GrantMessage::Ended(server, call, end) => {
                let id = CallId { from, call };
                if matches!(end, GrantEnd::Lost | GrantEnd::Unreachable) {
                    self.assume_cold(server);
                }
                self.with_granter(server, false, |now, granter, rule, rate| {
                    granter.ended(now, id, end, rule, rate)
                });
            }
        }
    }

    /// Handles limits that other daemons know of. Reports about unknown servers are ignored.
    pub fn on_limits(&self, reports: &[LimitReport]) {
        for report in reports {
            let before = self.granted_server_id(report.server);
            if let Some(backend) = self.backend(report.server, before.as_deref()) {
                self.backpressure.on_report(&backend, report);
            }
        }
    }

    /// A request about an unknown server is not answered, so the requesting daemon decides alone.
    fn on_ask(&self, request: GrantRequest, from: SocketAddr) {
        if let Some(report) = &request.limit {
            self.on_limits(std::slice::from_ref(report));
        }
        self.with_granter(request.server, true, |now, granter, rule, rate| {
            granter.ask(now, from, request, rule, rate.get())
        });
    }

    /// Lets the granter of a server decide, and sends its replies.
    fn with_granter(
        &self,
        server: u32,
        create: bool,
        decide: impl FnOnce(Time, &mut Granter, &ServerRule, &mut PrefillRate) -> Vec<GrantReply>,
    ) {
        let now = self.clock.now();
        let replies = {
            let mut servers = self.servers.borrow_mut();
            let before = servers.get(&server).map(|granted| granted.id.clone());
            if before.is_none() && !create {
                return;
            }
            let Some(backend) = self.backend(server, before.as_deref()) else {
                servers.remove(&server);
                return;
            };
            let fresh = || GrantedServer::new(now, &backend);
            let granted = servers.entry(server).or_insert_with(fresh);
            if granted.born != backend.born {
                *granted = fresh();
            }
            let rule = self.rule(now, &backend);
            let mut rates = self.prefill_rates.borrow_mut();
            let rate = rates.entry(backend.service.clone()).or_default();
            decide(now, &mut granted.granter, &rule, rate)
        };
        self.send_replies(replies);
    }

    /// The id of a server for which this daemon gives grants.
    fn granted_server_id(&self, server: u32) -> Option<Rc<str>> {
        self.servers.borrow().get(&server).map(|granted| granted.id.clone())
    }

    /// A server that closed the connection or was unreachable may have restarted.
    fn assume_cold(&self, server: u32) {
        if let Some(id) = self.granted_server_id(server) {
            self.coldness.borrow_mut().assume_cold(self.clock.now(), &id);
        }
    }

    fn send_replies(&self, replies: Vec<GrantReply>) {
        for (id, answer) in replies {
            self.send(id.from, GrantMessage::Answer(id.call, answer));
        }
    }

    /// Logs prefill rates, serves waiting requests, and expires grants whose end was never
    /// reported.
    pub fn tick(&self) {
        self.log_rates(self.clock.now());
        let busy: Vec<u32> = {
            let servers = self.servers.borrow();
            let busy = servers.iter().filter(|(_, granted)| !granted.granter.is_idle());
            busy.map(|(server, _)| *server).collect()
        };
        for server in busy {
            self.with_granter(server, false, |now, granter, rule, rate| {
                granter.tick(now, rule, rate.get())
            });
        }
    }
}
