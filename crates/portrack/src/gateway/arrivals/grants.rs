//! Asks the granters of servers on behalf of requests, and is the granter of some for other daemons.

use super::asks::{ANSWER_TIMEOUT, CallId, PendingCalls, next_answer};
use super::granter::{Granter, ServerRule};
use super::guard::{GrantGuard, WaitingGrant};
use super::message::{GrantAnswer, GrantEnd, GrantMessage, GrantReply, GrantRequest};
use super::pace::PrefillRate;
use super::quantile::Quantile;
use super::share::FallbackShares;
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

/// A granter once found is asked for so long before it is looked for again; the daemons known change
/// with each heartbeat.
const GRANTER_KEPT: Duration = Duration::from_millis(300);
/// Between log lines of the pace of reading.
const PACES_LOGGED: Duration = Duration::from_secs(10);
/// How long a step of an engine takes, before any stream was seen: slow ones take so long.
const FIRST_STEP_MS: f64 = 20.0;
/// Streams disturbed by reading are no measure of the usual time of an event.
const EVENT_SHARE: f64 = 0.3;

/// What a request needs of a server.
#[derive(Debug, Clone)]
pub struct GrantNeed {
    /// Whose request it is, if callers show keys.
    pub organisation: Option<OrganisationHash>,
    /// Tokens of its prompt.
    pub tokens: u32,
    /// Its rank, 0 highest.
    pub priority: u8,
    /// It must be sent within this to be in time.
    pub left: Duration,
    /// Nobody waits for its answer if it is sent later than this.
    pub most: Duration,
    /// The longest pause of a stream in time.
    pub gap: Option<Duration>,
}

/// What came of asking.
pub enum GrantOutcome {
    /// It may be sent.
    Granted(GrantGuard),
    /// It has to wait for its turn.
    Waits(WaitingGrant),
    /// It is not to be sent; when to come back.
    Refused(Duration),
    /// Nobody answers.
    Unanswered,
}

/// What grants are counted in.
pub struct GrantMetrics {
    /// Asks by what came of them.
    pub outcomes: IntCounterVec,
    /// From the ask to the grant, in seconds.
    pub waits: Histogram,
}

/// What grants hang on.
pub struct GrantDeps {
    /// The monotonic clock.
    pub clock: Rc<dyn Clock>,
    /// What is known of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// How fresh that is.
    pub proof: Rc<FreshnessProof>,
    /// Which servers may be cold.
    pub coldness: Rc<RefCell<ColdStartTracker>>,
    /// Load of the servers.
    pub loads: Rc<LoadTable>,
    /// What servers say of how much they take.
    pub backpressure: Rc<Backpressure>,
    /// For datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// Those that may be granters.
    pub daemons: Rc<RefCell<Daemons>>,
    /// Which hall is where.
    pub regions: Regions,
    /// Of what a cold server bears, it may get so many times as much.
    pub cold_ratio: f64,
    /// Requests that it may get besides in a second.
    pub cold_slack: f64,
    /// What is counted.
    pub metrics: GrantMetrics,
}

/// A server of which this daemon is the granter.
struct GrantedServer {
    id: Rc<str>,
    born: Option<u64>,
    granter: Granter,
}

impl GrantedServer {
    /// A server for which nothing was granted yet.
    fn new(now: Time, backend: &Backend) -> Self {
        Self { id: backend.id.clone(), born: backend.born, granter: Granter::new(now) }
    }
}

/// Grants as one daemon sees them.
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
    /// Loads of servers are known late.
    pub loads_are_delayed: Cell<bool>,
    /// Daemons known of lately, silent ones and this one included.
    pub(super) known: Cell<usize>,
    pub(super) shares: RefCell<FallbackShares>,
    pub(super) asks: PendingCalls<GrantAnswer>,
    servers: RefCell<HashMap<u32, GrantedServer>>,
    paces: RefCell<HashMap<Rc<str>, PrefillRate>>,
    events: RefCell<HashMap<Rc<str>, Quantile>>,
    /// Granters found lately, by the server and whether it names a limit.
    found: RefCell<HashMap<(u32, bool), (Time, SocketAddr)>>,
    paces_logged: Cell<Time>,
}

impl Grants {
    /// Nothing granted yet.
    pub fn new(parts: GrantDeps) -> Self {
        let started_at = parts.clock.now();
        Self {
            clock: parts.clock,
            view: parts.view,
            proof: parts.proof,
            coldness: parts.coldness,
            loads: parts.loads,
            backpressure: parts.backpressure,
            messenger: parts.messenger,
            me: parts.me,
            daemons: parts.daemons,
            regions: parts.regions,
            cold_ratio: parts.cold_ratio,
            cold_slack: parts.cold_slack,
            metrics: parts.metrics,
            loads_are_delayed: Cell::new(false),
            known: Cell::new(1),
            shares: RefCell::new(FallbackShares::new(started_at)),
            asks: PendingCalls::default(),
            servers: RefCell::default(),
            paces: RefCell::default(),
            events: RefCell::default(),
            found: RefCell::default(),
            paces_logged: Cell::new(started_at),
        }
    }

    /// Takes in which daemons are known, silent ones among them.
    pub fn update_daemons(&self, daemons: impl Iterator<Item = SocketAddr>) {
        let daemons: Vec<SocketAddr> = daemons.collect();
        self.known.set(daemons.len() + 1);
        let daemons = daemons.into_iter();
        self.shares.borrow_mut().update_daemons(self.clock.now(), daemons);
    }

    /// The granter of a server, as it was found a moment ago or is found now.
    fn granter(&self, now: Time, backend: &Backend) -> Option<SocketAddr> {
        let key = (backend.incarnation_hash(), self.is_limited(backend));
        if let Some((at, granter)) = self.found.borrow().get(&key)
            && now.since(*at) < GRANTER_KEPT
        {
            return Some(*granter);
        }
        let granter = self.first_granter(backend, |daemon| {
            !self.asks.is_avoided(now, daemon.address) && !self.loads.is_hall_silent(&daemon.hall)
        })?;
        self.found.borrow_mut().insert(key, (now, granter));
        Some(granter)
    }

    /// Asks whether a request may be sent to a server.
    pub async fn ask(self: &Rc<Self>, backend: &Backend, need: &GrantNeed) -> GrantOutcome {
        let asked_at = self.clock.now();
        let server = backend.incarnation_hash();
        let Some(granter) = self.granter(asked_at, backend) else {
            return GrantOutcome::Unanswered;
        };
        let (ask, mut answers) = self.asks.open();
        let reader = (backend.service.clone(), need.tokens);
        let guard = GrantGuard::new(self.clone(), granter, server, ask, reader);
        let question = GrantRequest {
            ask,
            server,
            organisation: need.organisation,
            tokens: need.tokens,
            priority: need.priority,
            left_ms: need.left.as_millis() as u32,
            most_ms: need.most.as_millis() as u32,
            gap_ms: need.gap.map_or(0, |gap| gap.as_millis() as u16),
            event_ms: need.gap.map_or(0, |_| self.event_ms(&backend.service)),
            limit: self.backpressure.report(server),
        };
        self.send(granter, GrantMessage::Ask(question));
        // The way to another region and back takes some of the time.
        let patience = match self.regions.is_own(&backend.hall) {
            true => ANSWER_TIMEOUT,
            false => ANSWER_TIMEOUT * 2,
        };
        let answer = next_answer(&mut answers, patience).await;
        // A daemon that stood still meanwhile does not know how old the answer is.
        let in_time = self.clock.now().since(asked_at) < patience * 2;
        let answer = answer.filter(|_| in_time);
        self.take_answer(backend, guard, answers, answer)
    }

    /// Waits for the second answer.
    pub async fn wait(
        &self,
        backend: &Backend,
        mut waiting: WaitingGrant,
        most: Duration,
    ) -> GrantOutcome {
        let began = self.clock.now();
        let patience = most + ANSWER_TIMEOUT;
        let answer = next_answer(&mut waiting.answers, patience).await;
        // A daemon that stood still meanwhile would send all that waited at once, long after the grants.
        let in_time = self.clock.now().since(began) < patience + ANSWER_TIMEOUT;
        let answer = answer.filter(|answer| in_time && !matches!(answer, GrantAnswer::Waits(_)));
        self.take_answer(backend, waiting.guard, waiting.answers, answer)
    }

    fn take_answer(
        &self,
        backend: &Backend,
        guard: GrantGuard,
        answers: UnboundedReceiver<GrantAnswer>,
        answer: Option<GrantAnswer>,
    ) -> GrantOutcome {
        let now = self.clock.now();
        let millis = |millis: u32| Duration::from_millis(millis.into());
        let backlog = |after: u32| self.loads.reads_until(&backend.id, now + millis(after));
        let (outcome, grasp) = match answer {
            Some(GrantAnswer::Granted(reading)) => {
                backlog(reading);
                guard.reads_alone(reading == 0);
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
                // Once in the time for which a daemon is left alone.
                if !self.asks.is_avoided(now, guard.granter) {
                    log::warn!(server = &*backend.id, granter:% = guard.granter; "grant_unanswered");
                }
                self.asks.avoid(now, guard.granter);
                self.found.borrow_mut().clear();
                ("unanswered", GrantOutcome::Unanswered)
            }
        };
        self.metrics.outcomes.with_label_values(&[outcome]).inc();
        grasp
    }

    /// How long a server of a service reads a prompt of average length; zero if that is not known.
    pub fn reads(&self, service: &Rc<str>) -> Duration {
        self.paces.borrow().get(service).map_or(Duration::ZERO, PrefillRate::reads)
    }

    /// A prompt was read within so long by a server that was reading nothing else.
    pub(super) fn note_read(&self, service: &Rc<str>, tokens: u32, took: Duration) {
        let mut paces = self.paces.borrow_mut();
        let pace = paces.entry(service.clone()).or_default();
        pace.observe(tokens, took.as_secs_f64() * 1_000.0);
    }

    /// Now and then tells what is reckoned with, and forgets servers that are gone.
    fn look_back(&self, now: Time) {
        if now.since(self.paces_logged.get()) < PACES_LOGGED {
            return;
        }
        self.paces_logged.set(now);
        let view = self.view.borrow();
        self.servers.borrow_mut().retain(|_, granted| view.backend(&granted.id).is_some());
        for (service, pace) in &*self.paces.borrow() {
            let event = self.events.borrow().get(service).map_or(0.0, Quantile::get);
            log::info!(
                service = &**service, tokens_per_ms = pace.get(), event_ms = event,
                reads_ms = pace.reads().as_millis() as u64; "reading_pace"
            );
        }
    }

    /// A request waited so long for its grant.
    pub fn waited(&self, wait: Duration) {
        self.metrics.waits.observe(wait.as_secs_f64());
    }

    fn event_ms(&self, service: &Rc<str>) -> u16 {
        let first = || {
            let view = self.view.borrow();
            let engine = view.service(service).and_then(|service| service.engine.clone());
            engine.map_or(1, |engine| engine.event_tokens.max(1))
        };
        let mut events = self.events.borrow_mut();
        let event = events
            .entry(service.clone())
            .or_insert_with(|| Quantile::new(EVENT_SHARE, f64::from(first()) * FIRST_STEP_MS));
        event.get().round() as u16
    }

    /// The events of a stream came so far apart on average.
    pub fn record_event_gap(&self, service: &Rc<str>, apart: Duration) {
        if let Some(event) = self.events.borrow_mut().get_mut(service) {
            event.observe(apart.as_secs_f64() * 1_000.0);
        }
    }

    pub(super) fn send(&self, to: SocketAddr, message: GrantMessage) {
        if to == self.me.address {
            self.on_message(message, to);
        } else {
            self.messenger.send(&PeerMessage::Grants(message), to);
        }
    }

    /// Takes in a message of another daemon, or of this one.
    pub fn on_message(&self, message: GrantMessage, from: SocketAddr) {
        match message {
            GrantMessage::Ask(ask) => self.on_ask(ask, from),
            GrantMessage::Answer(ask, answer) => self.asks.answer(ask, answer),
            GrantMessage::Ended(server, ask, end) => {
                let id = CallId { from, call: ask };
                if matches!(end, GrantEnd::Lost | GrantEnd::Unreachable) {
                    self.doubt(server);
                }
                self.at(server, false, |now, granter, rule, pace| {
                    granter.ended(now, id, end, rule, pace)
                });
            }
        }
    }

    /// Takes in what another daemon knows of servers that name limits; what it says of unknown ones is passed over.
    pub fn on_limits(&self, reports: &[LimitReport]) {
        for report in reports {
            let before = self.granted_id(report.server);
            if let Some(backend) = self.backend(report.server, before.as_deref()) {
                self.backpressure.on_report(&backend, report);
            }
        }
    }

    /// Who does not know the server leaves the asking daemon to itself.
    fn on_ask(&self, ask: GrantRequest, from: SocketAddr) {
        if let Some(report) = &ask.limit {
            self.on_limits(std::slice::from_ref(report));
        }
        self.at(ask.server, true, |now, granter, rule, pace| {
            granter.ask(now, from, ask, rule, pace.get())
        });
    }

    /// Has the granter of a server decide, and tells what it decided.
    fn at(
        &self,
        server: u32,
        begin: bool,
        decide: impl FnOnce(Time, &mut Granter, &ServerRule, &mut PrefillRate) -> Vec<GrantReply>,
    ) {
        let now = self.clock.now();
        let orders = {
            let mut servers = self.servers.borrow_mut();
            let before = servers.get(&server).map(|granted| granted.id.clone());
            if before.is_none() && !begin {
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
            let mut paces = self.paces.borrow_mut();
            let pace = paces.entry(backend.service.clone()).or_default();
            decide(now, &mut granted.granter, &rule, pace)
        };
        self.carry_out(orders);
    }

    /// The id of a server that this daemon has granted arrivals at.
    fn granted_id(&self, server: u32) -> Option<Rc<str>> {
        self.servers.borrow().get(&server).map(|granted| granted.id.clone())
    }

    /// A server that broke off or could not be reached may have started again.
    fn doubt(&self, server: u32) {
        if let Some(id) = self.granted_id(server) {
            self.coldness.borrow_mut().assume_cold(self.clock.now(), &id);
        }
    }

    fn carry_out(&self, orders: Vec<GrantReply>) {
        for (id, answer) in orders {
            self.send(id.from, GrantMessage::Answer(id.call, answer));
        }
    }

    /// Logs what is reckoned with; lets those have their turn that wait, and forgets grants whose end was never told.
    pub fn tick(&self) {
        self.look_back(self.clock.now());
        let busy: Vec<u32> = {
            let servers = self.servers.borrow();
            let busy = servers.iter().filter(|(_, granted)| !granted.granter.is_idle());
            busy.map(|(server, _)| *server).collect()
        };
        for server in busy {
            self.at(server, false, |now, granter, rule, pace| granter.tick(now, rule, pace.get()));
        }
    }
}
