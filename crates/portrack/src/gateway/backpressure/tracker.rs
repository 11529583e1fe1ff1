//! Tracks on behalf of one node how much work servers accept, and reports it to other daemons.

use super::announcements::AnnouncementQueue;
use super::backoff_hint::BackoffHint;
use super::backoffs::Backoffs;
use super::bucket::LimitRule;
use super::limit::{LimitHint, RateLimit};
use super::limit_state::LimitObservation;
use super::limit_table::{LimitChange, LimitTable};
use super::message::{LimitReport, REPORTS_PER_DATAGRAM};
use crate::gateway::dialect::ResponseMeta;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::recipients::must_forward;
use crate::types::{Clock, Time};
use prometheus::{IntCounter, IntGauge};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Status of a server that lacks what the request needs, or that is not the server that was meant
/// and only has its address. Such a response may tighten the known limit but never loosen it.
const MISDIRECTED: u16 = 421;

/// Statuses with which a server rejects a request and may ask for backoff.
const REJECTED: [u16; 2] = [429, 503];
/// For this long after a server had no room within its limit, it is not chosen for loading adapters:
/// about as long as an adapter is used.
const FULL_FOR: Duration = Duration::from_millis(5_000);
/// Share of the rejections that a brittle server survives which are risked.
const BRITTLE_SHARE: f64 = 0.5;
/// Shortest and longest time without requests after a brittle server has rejected one.
const MIN_BRITTLE_BACKOFF: Duration = Duration::from_millis(300);
const MAX_BRITTLE_BACKOFF: Duration = Duration::from_secs(5);
/// Each node resumes up to a tenth of the backoff later, but at most [`MAX_JITTER`].
const JITTER_DIVISOR: u32 = 10;
const MAX_JITTER: Duration = Duration::from_millis(250);

/// Metrics of server limits and backoff.
pub struct BackpressureMetrics {
    /// Servers that advertise a limit at present.
    pub limited: IntGauge,
    /// Responses with an unreadable limit or backoff.
    pub unreadable: IntCounter,
    /// Servers that this node backs off from at present.
    pub resting: IntGauge,
    /// Responses that asked for backoff.
    pub rests: IntCounter,
    /// Times that a request skipped a server without room within its limit.
    pub full: IntCounter,
}

/// Dependencies of [`Backpressure`].
pub struct BackpressureDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Sends datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// The daemons that are up and not leaving, kept up to date by others.
    pub daemons: Rc<RefCell<Daemons>>,
    /// The metrics.
    pub metrics: BackpressureMetrics,
}

/// Where a limit was learned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LimitSource {
    Response,
    Peer,
}

impl LimitSource {
    fn name(self) -> &'static str {
        match self {
            Self::Response => "answer",
            Self::Peer => "peer",
        }
    }
}

/// How much work servers accept, according to their responses.
pub struct Backpressure {
    deps: BackpressureDeps,
    limits: RefCell<LimitTable>,
    /// Rates of rejected requests that servers survive, of those that say so.
    rejection_limits: RefCell<LimitTable>,
    backoffs: RefCell<Backoffs>,
    /// When a request last skipped a server without room within its limit.
    full: RefCell<HashMap<u32, Time>>,
    announcements: RefCell<AnnouncementQueue>,
}

impl Backpressure {
    /// Starts without any observations.
    pub fn new(deps: BackpressureDeps) -> Self {
        let (limits, backoffs) = (RefCell::default(), RefCell::default());
        Self {
            deps,
            limits,
            rejection_limits: RefCell::default(),
            backoffs,
            full: RefCell::default(),
            announcements: RefCell::default(),
        }
    }

    /// The limit of a server's incarnation, if any.
    pub fn limit(&self, server: u32) -> Option<RateLimit> {
        self.limits.borrow().limit(server)
    }

    /// The rule for arrivals at a server with a limit. `may_be_shared` is set if this daemon may
    /// not be the only one that grants the limit.
    pub fn rule(&self, server: u32, may_be_shared: bool) -> Option<LimitRule> {
        let limits = self.limits.borrow();
        let state = limits.get(server)?;
        Some(LimitRule { limit: state.limit()?, since: state.since(), may_be_shared })
    }

    /// The report that other daemons need about a server with a limit.
    pub fn report(&self, server: u32) -> Option<LimitReport> {
        let limits = self.limits.borrow();
        let state = limits.get(server).filter(|state| state.limit().is_some())?;
        Some(LimitReport::new(self.deps.clock.now(), server, state.observation()))
    }

    /// Applies a response to a request that was sent at `asked_at`.
    pub fn on_response(&self, backend: &Backend, sent_at: Time, status: u16, meta: &ResponseMeta) {
        let may_loosen = status != MISDIRECTED;
        self.on_limit_hint(backend, may_loosen.then_some(sent_at), meta);
        self.on_rejection_limit(backend, may_loosen.then_some(sent_at), meta.brittle);
        self.on_backoff_hint(backend, sent_at, status, meta);
    }

    fn on_backoff_hint(&self, backend: &Backend, sent_at: Time, status: u16, meta: &ResponseMeta) {
        let (now, server) = (self.deps.clock.now(), backend.incarnation_hash());
        let rejected = REJECTED.contains(&status);
        let requested = meta.rest.get().filter(|backoff| !backoff.is_zero());
        let backoff = requested.or_else(|| self.backoff_of_brittle(server));
        let Some(backoff) = backoff.filter(|_| rejected) else {
            if rejected && meta.rest == BackoffHint::Invalid {
                self.deps.metrics.unreadable.inc();
            }
            self.backoffs.borrow_mut().on_response(now, server, sent_at);
            return;
        };
        if self.backoffs.borrow_mut().start(now, server, backoff + self.jitter(server, backoff)) {
            let rest_ms = u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX);
            log::info!(server = &*backend.id, status = status, rest_ms = rest_ms; "server_rest");
        }
        self.deps.metrics.rests.inc();
    }

    /// Returns true if a server survives only few rejections.
    pub fn is_brittle(&self, server: u32) -> bool {
        self.rejection_limits.borrow().limit(server).is_some()
    }

    /// How long this node backs off from a brittle server after a rejection: with all daemons doing so, they
    /// cause no more rejections than it survives.
    fn backoff_of_brittle(&self, server: u32) -> Option<Duration> {
        let rate = self.rejection_limits.borrow().limit(server)?.get();
        let share = rate * BRITTLE_SHARE / self.deps.daemons.borrow().count().max(1) as f64;
        let seconds = 1.0 / share.max(f64::MIN_POSITIVE);
        Some(Duration::from_secs_f64(
            seconds.clamp(MIN_BRITTLE_BACKOFF.as_secs_f64(), MAX_BRITTLE_BACKOFF.as_secs_f64()),
        ))
    }

    /// Applies the rate of rejections in a response, as [`Self::on_limit_hint`] does with limits.
    fn on_rejection_limit(&self, backend: &Backend, sent_at: Option<Time>, hint: LimitHint) {
        let (now, server) = (self.deps.clock.now(), backend.incarnation_hash());
        let limit = match hint {
            LimitHint::Value(limit) => Some(limit),
            LimitHint::Absent if sent_at.is_some() => None,
            LimitHint::Absent | LimitHint::Invalid => return,
        };
        let sent_at = sent_at.unwrap_or_default();
        let observation = LimitObservation { limit, sent_at, received_at: now };
        if let Some(change) = self.rejection_limits.borrow_mut().apply(server, observation) {
            let rate = |limit: Option<RateLimit>| limit.map_or(-1.0, RateLimit::get);
            log::info!(
                server = &*backend.id, per_second = rate(change.now), before = rate(change.before);
                "server_brittle"
            );
        }
    }

    /// Extra time before this node resumes after a backoff, different for each node.
    fn jitter(&self, server: u32, backoff: Duration) -> Duration {
        let me = self.deps.me.address.to_string();
        let fraction = xxh3_64_with_seed(me.as_bytes(), server.into()) as f64 / u64::MAX as f64;
        (backoff / JITTER_DIVISOR).min(MAX_JITTER).mul_f64(fraction)
    }

    /// Remaining backoff of a server; `None` if a request may be sent.
    pub fn backoff_remaining(&self, server: u32) -> Option<Duration> {
        self.backoffs.borrow().remaining(self.deps.clock.now(), server)
    }

    /// Records that a request of this node skipped a server without room within its limit.
    pub fn skipped_full_server(&self, server: u32) {
        self.deps.metrics.full.inc();
        self.full.borrow_mut().insert(server, self.deps.clock.now());
    }

    /// Returns true if a server had no room within its limit recently, so an adapter loaded there
    /// could not be used.
    pub fn is_full(&self, server: u32) -> bool {
        let last = self.full.borrow().get(&server).copied();
        last.is_some_and(|at| self.deps.clock.now().since(at) < FULL_FOR)
    }

    /// Records that a request is sent to a server.
    pub fn sent(&self, server: u32) {
        self.backoffs.borrow_mut().sent(self.deps.clock.now(), server);
    }

    /// Applies a response to an order or to a report query. A limit in it holds; the lack of one
    /// does not end a limit.
    pub fn on_order_response(&self, backend: &Backend, meta: &ResponseMeta) {
        self.on_limit_hint(backend, None, meta);
    }

    /// Applies the limit in a response. Without the time of its request it may only tighten the
    /// known limit.
    fn on_limit_hint(&self, backend: &Backend, sent_at: Option<Time>, meta: &ResponseMeta) {
        let limit = match meta.limit {
            LimitHint::Value(limit) => Some(limit),
            LimitHint::Absent if sent_at.is_none() => return,
            LimitHint::Absent => None,
            LimitHint::Invalid => {
                self.deps.metrics.unreadable.inc();
                return;
            }
        };
        let (now, server) = (self.deps.clock.now(), backend.incarnation_hash());
        // As if it had been requested before everything else, so it is never newer than what it
        // would loosen.
        let sent_at = sent_at.unwrap_or_default();
        let observation = LimitObservation { limit, sent_at, received_at: now };
        if self.apply(server, &backend.id, observation, LimitSource::Response) {
            self.announcements.borrow_mut().add(now, server);
            self.tick();
        }
    }

    /// Applies a report of another daemon about a known server.
    pub fn on_report(&self, backend: &Backend, report: &LimitReport) {
        let now = self.deps.clock.now();
        let changed =
            self.apply(report.server, &backend.id, report.observation(now), LimitSource::Peer);
        let daemons = self.deps.daemons.borrow();
        if changed && must_forward(&daemons, &self.deps.me, report.server.into()) {
            self.announcements.borrow_mut().add(now, report.server);
        }
    }

    /// Applies an observation. Returns true if the limit changed.
    fn apply(
        &self,
        server: u32,
        id: &str,
        observation: LimitObservation,
        from: LimitSource,
    ) -> bool {
        let Some(change) = self.limits.borrow_mut().apply(server, observation) else {
            return false;
        };
        self.update_limited_gauge();
        let age = self.deps.clock.now().since(observation.sent_at);
        log_limit_change(id, change, age.as_millis() as u64, from);
        true
    }

    fn update_limited_gauge(&self) {
        let limited = self.limits.borrow().limited().count();
        self.deps.metrics.limited.set(limited as i64);
    }

    /// Sends the announcements that are due.
    pub fn tick(&self) {
        let (now, daemons) = (self.deps.clock.now(), self.deps.daemons.borrow());
        let due = self.announcements.borrow_mut().due_by_address(now, &daemons, &self.deps.me);
        let limits = self.limits.borrow();
        let report = |server: u32| {
            let state = limits.get(server)?;
            Some(LimitReport::new(now, server, state.observation()))
        };
        for (to, servers) in due {
            self.send_reports(&servers.into_iter().filter_map(report).collect::<Vec<_>>(), to);
        }
    }

    /// Sends all known limits to a daemon that has just come up or come back.
    pub fn send_snapshot(&self, to: SocketAddr) {
        let now = self.deps.clock.now();
        let limits = self.limits.borrow();
        let limited = limits.limited();
        let reports =
            limited.map(|(server, state)| LimitReport::new(now, server, state.observation()));
        self.send_reports(&reports.collect::<Vec<LimitReport>>(), to);
    }

    fn send_reports(&self, reports: &[LimitReport], to: SocketAddr) {
        for chunk in reports.chunks(REPORTS_PER_DATAGRAM) {
            self.deps.messenger.send(&PeerMessage::Limits(chunk.to_vec()), to);
        }
    }

    /// Removes servers that are gone.
    pub fn retain(&self, is_known: impl Fn(u32) -> bool) {
        let now = self.deps.clock.now();
        self.limits.borrow_mut().retain(now, &is_known);
        self.rejection_limits.borrow_mut().retain(now, &is_known);
        self.backoffs.borrow_mut().retain(now, &is_known);
        self.full.borrow_mut().retain(|server, _| is_known(*server));
        self.update_limited_gauge();
        let resting = self.backoffs.borrow().count(now);
        self.deps.metrics.resting.set(resting as i64);
    }
}

fn log_limit_change(server: &str, change: LimitChange, age_ms: u64, from: LimitSource) {
    let rate = |limit: Option<RateLimit>| limit.map_or(-1.0, RateLimit::get);
    log::info!(
        server = server, per_second = rate(change.now), before = rate(change.before), age_ms = age_ms,
        source = from.name();
        "server_limit"
    );
}
