//! Keeps what servers say of how much they take on behalf of one node, and tells the others.

use super::announcements::AnnouncementQueue;
use super::backoff_hint::BackoffHint;
use super::backoffs::Backoffs;
use super::bucket::LimitRule;
use super::limit::{LimitHint, RateLimit};
use super::limit_state::LimitObservation;
use super::limit_table::{LimitChange, LimitTable};
use super::message::{LimitReport, REPORTS};
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

/// A server that answers a request with this does not have what the request needs, or has only the address of the one that
/// is meant: what it says may narrow what is believed, never widen it.
const NOT_MEANT: u16 = 421;

/// Statuses by which a server turns a request away, and may ask for rest.
const TURNED_AWAY: [u16; 2] = [429, 503];
/// A server without room within its limit is no home for adapters for so long: about as long as one is used.
const FULL_LATELY: Duration = Duration::from_millis(5_000);
/// Nodes come back up to a tenth later than a rest's end, and up to this.
const SPREAD_SHARE: u32 = 10;
const SPREAD: Duration = Duration::from_millis(250);

/// What is counted.
pub struct BackpressureMetrics {
    /// Servers that name a limit now.
    pub limited: IntGauge,
    /// Answers that name a limit or a rest which cannot be read.
    pub unreadable: IntCounter,
    /// Servers that rest from this node now.
    pub resting: IntGauge,
    /// Answers that asked for rest.
    pub rests: IntCounter,
    /// Servers passed over by requests since they had no room within their limits.
    pub full: IntCounter,
}

/// What keeping limits hangs on.
pub struct BackpressureDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// For datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// The daemons that are up and stay, kept up to date by others.
    pub daemons: Rc<RefCell<Daemons>>,
    /// Everything counted.
    pub metrics: BackpressureMetrics,
}

/// Whom a limit was learned from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LearnedFrom {
    Answer,
    Peer,
}

impl LearnedFrom {
    fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
        }
    }
}

/// What servers said of how much they take.
pub struct Backpressure {
    parts: BackpressureDeps,
    limits: RefCell<LimitTable>,
    rests: RefCell<Backoffs>,
    /// When requests last passed over servers without room within their limits.
    full: RefCell<HashMap<u32, Time>>,
    telling: RefCell<AnnouncementQueue>,
}

impl Backpressure {
    /// Nothing heard yet.
    pub fn new(parts: BackpressureDeps) -> Self {
        let (limits, rests) = (RefCell::default(), RefCell::default());
        Self { parts, limits, rests, full: RefCell::default(), telling: RefCell::default() }
    }

    /// The limit that a life of a server names, if any.
    pub fn limit(&self, server: u32) -> Option<RateLimit> {
        self.limits.borrow().limit(server)
    }

    /// What binds arrivals at a life of a server that names a limit; `may_be_shared` if this daemon may not be the only one that
    /// gives it out.
    pub fn rule(&self, server: u32, may_be_shared: bool) -> Option<LimitRule> {
        let limits = self.limits.borrow();
        let belief = limits.get(server)?;
        Some(LimitRule { limit: belief.limit()?, since: belief.since(), may_be_shared })
    }

    /// What another daemon has to know of a server that names a limit.
    pub fn report(&self, server: u32) -> Option<LimitReport> {
        let limits = self.limits.borrow();
        let belief = limits.get(server).filter(|belief| belief.limit().is_some())?;
        Some(LimitReport::new(self.parts.clock.now(), server, belief.evidence()))
    }

    /// Takes in an answer to a request that was sent at `asked_at`.
    pub fn on_response(&self, backend: &Backend, asked_at: Time, status: u16, meta: &ResponseMeta) {
        let may_widen = status != NOT_MEANT;
        self.hear_limit(backend, may_widen.then_some(asked_at), meta);
        self.hear_rest(backend, asked_at, status, meta);
    }

    fn hear_rest(&self, backend: &Backend, asked_at: Time, status: u16, meta: &ResponseMeta) {
        let (now, server) = (self.parts.clock.now(), backend.incarnation_hash());
        let turned_away = TURNED_AWAY.contains(&status);
        let rest = meta.rest.get().filter(|rest| turned_away && !rest.is_zero());
        let Some(rest) = rest else {
            if turned_away && meta.rest == BackoffHint::Invalid {
                self.parts.metrics.unreadable.inc();
            }
            self.rests.borrow_mut().answered(now, server, asked_at);
            return;
        };
        if self.rests.borrow_mut().begin(now, server, rest + self.spread(server, rest)) {
            let rest_ms = u64::try_from(rest.as_millis()).unwrap_or(u64::MAX);
            log::info!(server = &*backend.id, status = status, rest_ms = rest_ms; "server_rest");
        }
        self.parts.metrics.rests.inc();
    }

    /// How much later than a rest's end this node comes back: each node at a time of its own.
    fn spread(&self, server: u32, rest: Duration) -> Duration {
        let me = self.parts.me.address.to_string();
        let place = xxh3_64_with_seed(me.as_bytes(), server.into()) as f64 / u64::MAX as f64;
        (rest / SPREAD_SHARE).min(SPREAD).mul_f64(place)
    }

    /// For how long a server wants nothing from this node; `None` if a request may be sent.
    pub fn backoff_remaining(&self, server: u32) -> Option<Duration> {
        self.rests.borrow().left(self.parts.clock.now(), server)
    }

    /// A request of this node passes a server over that has no room within its limit.
    pub fn skipped_full_server(&self, server: u32) {
        self.parts.metrics.full.inc();
        self.full.borrow_mut().insert(server, self.parts.clock.now());
    }

    /// True if a server had no room within its limit a while ago: what is loaded there now could not be used.
    pub fn is_full(&self, server: u32) -> bool {
        let last = self.full.borrow().get(&server).copied();
        last.is_some_and(|at| self.parts.clock.now().since(at) < FULL_LATELY)
    }

    /// A request is being sent to a server.
    pub fn sent(&self, server: u32) {
        self.rests.borrow_mut().sent(self.parts.clock.now(), server);
    }

    /// Takes in an answer to an order or to a question for a report: a limit that it names holds, one that it does not name is
    /// not over.
    pub fn on_order_response(&self, backend: &Backend, meta: &ResponseMeta) {
        self.hear_limit(backend, None, meta);
    }

    /// Takes in what an answer says of its server's limit. Without the time at which it was asked for it may only narrow what is
    /// believed.
    fn hear_limit(&self, backend: &Backend, asked_at: Option<Time>, meta: &ResponseMeta) {
        let limit = match meta.limit {
            LimitHint::Value(limit) => Some(limit),
            LimitHint::Absent if asked_at.is_none() => return,
            LimitHint::Absent => None,
            LimitHint::Invalid => {
                self.parts.metrics.unreadable.inc();
                return;
            }
        };
        let (now, server) = (self.parts.clock.now(), backend.incarnation_hash());
        // As if it had been asked for before all else: then it cannot be newer than what it would widen.
        let asked_at = asked_at.unwrap_or_default();
        let evidence = LimitObservation { limit, asked_at, heard_at: now };
        if self.take(server, &backend.id, evidence, LearnedFrom::Answer) {
            self.telling.borrow_mut().add(now, server);
            self.tick();
        }
    }

    /// Takes in what another daemon believes of a server that this one knows.
    pub fn on_report(&self, backend: &Backend, report: &LimitReport) {
        let now = self.parts.clock.now();
        let changed =
            self.take(report.server, &backend.id, report.evidence(now), LearnedFrom::Peer);
        let daemons = self.parts.daemons.borrow();
        if changed && must_forward(&daemons, &self.parts.me, report.server.into()) {
            self.telling.borrow_mut().add(now, report.server);
        }
    }

    /// Takes evidence in; true if the limit has changed.
    fn take(&self, server: u32, id: &str, evidence: LimitObservation, from: LearnedFrom) -> bool {
        let Some(change) = self.limits.borrow_mut().take(server, evidence) else { return false };
        self.count();
        let age = self.parts.clock.now().since(evidence.asked_at);
        log_change(id, change, age.as_millis() as u64, from);
        true
    }

    fn count(&self) {
        let limited = self.limits.borrow().limited().count();
        self.parts.metrics.limited.set(limited as i64);
    }

    /// Tells what is due.
    pub fn tick(&self) {
        let (now, daemons) = (self.parts.clock.now(), self.parts.daemons.borrow());
        let due = self.telling.borrow_mut().due_by_address(now, &daemons, &self.parts.me);
        let limits = self.limits.borrow();
        let report = |server: u32| {
            let belief = limits.get(server)?;
            Some(LimitReport::new(now, server, belief.evidence()))
        };
        for (to, servers) in due {
            self.tell(&servers.into_iter().filter_map(report).collect::<Vec<_>>(), to);
        }
    }

    /// Tells a daemon that has just come up, or is heard again, which servers name limits.
    pub fn send_snapshot(&self, to: SocketAddr) {
        let now = self.parts.clock.now();
        let limits = self.limits.borrow();
        let limited = limits.limited();
        let reports =
            limited.map(|(server, belief)| LimitReport::new(now, server, belief.evidence()));
        self.tell(&reports.collect::<Vec<LimitReport>>(), to);
    }

    fn tell(&self, reports: &[LimitReport], to: SocketAddr) {
        for some in reports.chunks(REPORTS) {
            self.parts.messenger.send(&PeerMessage::Limits(some.to_vec()), to);
        }
    }

    /// Forgets servers that are gone.
    pub fn retain(&self, is_known: impl Fn(u32) -> bool) {
        let now = self.parts.clock.now();
        self.limits.borrow_mut().retain(now, &is_known);
        self.rests.borrow_mut().retain(now, &is_known);
        self.full.borrow_mut().retain(|server, _| is_known(*server));
        self.count();
        let resting = self.rests.borrow().count(now);
        self.parts.metrics.resting.set(resting as i64);
    }
}

fn log_change(server: &str, change: LimitChange, age_ms: u64, from: LearnedFrom) {
    let rate = |limit: Option<RateLimit>| limit.map_or(-1.0, RateLimit::get);
    log::info!(
        server = server, per_second = rate(change.now), before = rate(change.before), age_ms = age_ms,
        source = from.name();
        "server_limit"
    );
}
