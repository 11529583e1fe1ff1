//! State of a request while it is handled: its requirements, progress and outcome.

use super::caller::{CallerRequest, RefusalReason, Refused};
use super::timings::Timings;
use crate::gateway::admission::{AuthenticatedCaller, Charge};
use crate::gateway::arrivals::{GrantEnd, GrantGuard, GrantTimings};
use crate::gateway::dialect::{AdapterKey, ModelRequest};
use crate::gateway::dispatch::{SlotEnd, SlotGuard};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::{Route, RouteKind, Service};
use crate::gateway::fleet::versions::VersionChoice;
use crate::gateway::quarantine::fingerprint::{
    CallerIdentity, FingerprintInput, PartInput, RequestFingerprint,
};
use crate::gateway::quarantine::parts::PromptPart;
use crate::gateway::regions::allowed::RegionConstraints;
use crate::gateway::retries::permit::RetryPermit;
use crate::gateway::retries::reason::RetryReason;
use crate::gateway::shutdown::AnswerBound;
use crate::gateway::software::origin::Origin;
use crate::http1::framing::Framing;
use crate::types::Time;
use std::cell::{Cell, OnceCell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Retry delay if all servers are busy.
const BUSY_RETRY: Duration = Duration::from_millis(300);

/// Retry delay of requests that a stopping daemon refuses: other daemons take them.
const STOPPING_RETRY: Duration = Duration::from_millis(20);

/// Maximum number of parts of a prompt that can be held back, the first ones.
const MAX_PARTS: usize = 16;

/// Progress of a request, for the log line if its caller disconnects before the end.
#[derive(Debug, Default)]
pub struct Progress {
    /// Its route.
    pub route: RefCell<Option<Rc<Route>>>,
    /// The server of the last try.
    pub server: RefCell<Option<Rc<str>>>,
    /// The software version of that server.
    pub software: RefCell<Option<Rc<str>>>,
    /// The software version of the server that made the first event of this answer.
    pub first_event_software: RefCell<Option<Rc<str>>>,
    /// Whether the server has started to respond.
    pub begun: Cell<bool>,
    /// The organisation that its key belongs to.
    pub organisation: RefCell<Option<Rc<str>>>,
    /// How the version of its adapter was chosen, at the last try.
    pub version: Cell<Option<VersionChoice>>,
    /// Times of its sends and of the response.
    pub timings: Timings,
    /// The daemon that the connection of the last try leads through; `None` if it is direct.
    pub carrier: Cell<Option<SocketAddr>>,
    /// Times that it waited for grants.
    pub grant: GrantTimings,
    /// Its fingerprint, once a server has broken off or it is held back.
    pub fingerprint: Cell<Option<RequestFingerprint>>,
    /// The framing of the last server's response.
    pub framing: Cell<Option<Framing>>,
    /// Since when the server of the last try has been answering, or when that last proved that the request's
    /// parts crash no servers.
    pub answering_since: Cell<Option<Time>>,
    /// Whether some server has proved that.
    pub proved: Cell<bool>,
    /// Whether the last server's response ended inside an event.
    pub event_cut: Cell<bool>,
}

impl Progress {
    /// Records that a server of a software version has made an event of the answer.
    pub fn record_first_event(&self, software: &Rc<str>) {
        self.first_event_software.borrow_mut().get_or_insert_with(|| software.clone());
    }
}

/// Outcome of a request, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// The complete response of a server was forwarded.
    Answered(u16),
    /// The gateway refused it.
    Refused(Refused),
    /// The reply was interrupted after its head.
    Broken(String),
    /// The caller has disconnected.
    CallerGone,
}

/// State of a request that is being handled.
pub struct Job<'a> {
    /// The request.
    pub request: &'a CallerRequest,
    /// Its progress, for the log.
    pub progress: &'a Progress,
    /// Its route.
    pub route: Rc<Route>,
    /// Its service.
    pub service: Rc<Service>,
    /// Its authenticated caller.
    pub admitted: AuthenticatedCaller,
    /// The units that it has taken from its organisation's quota.
    pub charge: Charge,
    /// Time by which its response must be complete.
    pub deadline: Time,
    /// Number of sends so far.
    pub sends: u32,
    /// Number of sends after which a server may have run it.
    pub possible_runs: u32,
    /// Servers tried.
    pub tried: Vec<Rc<str>>,
    /// Servers that announce a rate limit which leaves no room for this request.
    pub servers_at_limit: RefCell<Vec<Rc<str>>>,
    /// The server of the last try.
    pub server: Option<Rc<str>>,
    /// Where its stream began, from the first event that its caller gets; empty before.
    pub origin: OnceCell<Rc<Origin>>,
    /// The id of the last forwarded event, after which the stream is resumed.
    pub last_event: Option<String>,
    /// Description of the last failure.
    pub last_failure: String,
    /// Whether the last server tried could not be reached from this node.
    pub was_unreachable: bool,
    /// How the last send that reached a server failed.
    pub retry_reason: Option<RetryReason>,
    /// The permit for the next send, if that is a retry.
    pub permit: Option<RetryPermit>,
    /// State of its adapter when it had to wait or was refused.
    pub adapter_note: RefCell<String>,
    /// Its fingerprint, computed on first use.
    pub fingerprint: OnceCell<RequestFingerprint>,
    /// The shared parts of its prompt, computed on first use.
    pub parts: OnceCell<Rc<[PromptPart]>>,
    /// Whether this is its single trial after a hold, to see whether servers still end while running it.
    pub on_trial: bool,
}

/// A server selected for a request.
pub struct Choice {
    /// The server.
    pub backend: Rc<Backend>,
    /// The adapter version that the server must have.
    pub adapter_version: Option<u64>,
    /// The slot at the server, if the service has a dispatcher.
    pub slot: Option<SlotGuard>,
    /// The grant for the server, if it requires grants.
    pub grant: Option<GrantGuard>,
}

impl Choice {
    /// Records how the request ended at the server.
    pub fn ended(&self, end: SlotEnd) {
        if let Some(slot) = &self.slot {
            slot.ended(end);
        }
    }

    /// Records that the request is being sent.
    pub fn sent(&self, now: Time) {
        if let Some(grant) = &self.grant {
            grant.sent(now);
        }
    }

    /// Records that the server has started to respond.
    pub fn begun(&self, now: Time) {
        if let Some(grant) = &self.grant {
            grant.begun(now);
        }
    }

    /// Records how the grant was used.
    pub fn grant_ended(&self, end: GrantEnd) {
        if let Some(grant) = &self.grant {
            grant.ended(end);
        }
    }
}

impl Job<'_> {
    /// Its priority, 0 is highest: its organisation's, or its route's.
    pub fn priority(&self) -> u8 {
        let organisation = self.admitted.organisation.as_ref();
        organisation.and_then(|organisation| organisation.priority).unwrap_or(self.route.priority)
    }

    /// The constraints on the regions in which it may be served.
    pub(in crate::gateway) fn region_bounds(&self) -> RegionConstraints<'_> {
        let organisation = self.admitted.organisation.as_ref();
        RegionConstraints {
            route: self.route.allowed_regions.as_ref(),
            organisation: organisation
                .and_then(|organisation| organisation.allowed_regions.as_ref()),
        }
    }

    /// Whether a server must not be selected any more: it was tried, or is at its limit.
    pub fn is_excluded(&self, server: &Rc<str>) -> bool {
        self.tried.contains(server) || self.servers_at_limit.borrow().contains(server)
    }

    /// The requested adapter, if any.
    pub fn adapter(&self) -> Option<AdapterKey> {
        let model = self.request.meta.model.as_ref()?;
        let adapter = model.adapter.clone()?;
        Some(AdapterKey { model: model.model.clone(), adapter })
    }

    /// Its fingerprint, which is the same for all its retries.
    pub fn fingerprint(&self) -> RequestFingerprint {
        *self.fingerprint.get_or_init(|| self.compute_fingerprint())
    }

    fn compute_fingerprint(&self) -> RequestFingerprint {
        RequestFingerprint::of(&self.fingerprint_input())
    }

    /// The parts of its prompt that other requests may share, computed on first use.
    pub fn shared_parts(&self) -> &Rc<[PromptPart]> {
        self.parts.get_or_init(|| self.compute_parts())
    }

    fn compute_parts(&self) -> Rc<[PromptPart]> {
        let Some(model) = self.model() else { return Rc::new([]) };
        let input = |id| PartInput {
            caller: self.fingerprint_input().caller,
            service: &self.service.name,
            model: &model.model,
            id,
        };
        let parts = model.shared_parts().iter().take(MAX_PARTS).map(|(id, _)| PromptPart {
            id: *id,
            fingerprint: RequestFingerprint::of_part(&input(*id)),
        });
        parts.collect()
    }

    /// What the request's fingerprint is made of.
    pub(in crate::gateway) fn fingerprint_input(&self) -> FingerprintInput<'_> {
        let request = self.request;
        let caller = match &self.admitted.organisation {
            Some(organisation) => CallerIdentity::Organisation(&organisation.name),
            None => CallerIdentity::Unknown,
        };
        FingerprintInput {
            caller,
            method: request.method.as_str(),
            host: &request.host,
            target: &request.target,
            body: &request.body,
        }
    }

    /// The requested model, if the service has models.
    pub fn model(&self) -> Option<&ModelRequest> {
        self.service.engine.as_ref()?;
        self.request.meta.model.as_ref()
    }

    pub(in crate::gateway) fn may_have_run(&self) -> bool {
        self.possible_runs > 0
    }

    /// What bounds its answer.
    pub(in crate::gateway) fn answer_bound(&self) -> AnswerBound {
        AnswerBound { deadline: self.deadline, is_stream: self.route.kind == RouteKind::Stream }
    }

    /// The outcome if the daemon stops too soon for its answer; `started` tells whether its reply has begun.
    pub(in crate::gateway) fn stopped(&self, started: bool) -> RequestOutcome {
        if started {
            return RequestOutcome::Broken(RefusalReason::Stopping.name().into());
        }
        RequestOutcome::Refused(match self.may_have_run() {
            true => Refused::new(RefusalReason::Lost, None),
            false => Refused::new(RefusalReason::Stopping, Some(STOPPING_RETRY)),
        })
    }

    /// The outcome at the end of the daemon's stop; `started` tells whether its reply has begun.
    pub(in crate::gateway) fn cut_by_stop(&self, started: bool) -> RequestOutcome {
        if self.server.is_some() && !started {
            return RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None));
        }
        self.stopped(started)
    }

    /// The outcome at its deadline: not run only if it was never sent; `started` tells whether its reply has begun.
    pub(in crate::gateway) fn out_of_time(&self, started: bool) -> RequestOutcome {
        if started {
            return RequestOutcome::Broken("deadline".into());
        }
        RequestOutcome::Refused(match self.server.is_some() {
            true => Refused::new(RefusalReason::TimedOut, None),
            false => Refused::new(RefusalReason::Expired, Some(BUSY_RETRY)),
        })
    }

    /// The outcome if the request must not be sent again; `started` tells whether its reply has begun.
    pub(in crate::gateway) fn out_of_retries(&self, started: bool) -> RequestOutcome {
        match started {
            true => RequestOutcome::Broken("retry budget".into()),
            false => self.no_server_left(RefusalReason::Budget, None),
        }
    }

    /// The outcome if no other server is to be tried; `after` is the time until one accepts requests again,
    /// if known.
    pub(in crate::gateway) fn no_server_left(
        &self,
        reason: RefusalReason,
        after: Option<Duration>,
    ) -> RequestOutcome {
        if self.may_have_run() {
            return RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None));
        }
        let refused = Refused::new(reason, after.or(Some(BUSY_RETRY)));
        RequestOutcome::Refused(self.with_cause(refused))
    }

    /// The refusal with its cause: without a reachable server, a request also finds no adapter or slot.
    pub(in crate::gateway) fn with_cause(&self, refused: Refused) -> Refused {
        match self.was_unreachable {
            true => Refused { reason: RefusalReason::Unreachable, ..refused },
            false => refused,
        }
    }
}

/// Outcome of a request, with the details to log.
#[derive(Debug)]
pub struct RequestRecord {
    /// The outcome.
    pub end: RequestOutcome,
    /// Its route.
    pub route: Option<Rc<Route>>,
    /// The server of the last try.
    pub server: Option<Rc<str>>,
    /// Number of sends.
    pub sends: u32,
    /// Description of the last failure.
    pub last_failure: String,
    /// State of its adapter when it had to wait or was refused.
    pub adapter_note: String,
}

impl RequestRecord {
    /// Record of a request that was refused before its route was known.
    pub fn refused(refused: Refused) -> Self {
        Self {
            end: RequestOutcome::Refused(refused),
            route: None,
            server: None,
            sends: 0,
            last_failure: String::new(),
            adapter_note: String::new(),
        }
    }
}
