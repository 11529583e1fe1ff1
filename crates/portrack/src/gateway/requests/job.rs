//! One request on its path: what it needs, how far it has come, how it ended.

use super::caller::{CallerRequest, RefusalReason, Refused};
use super::timings::Timings;
use crate::gateway::admission::{AuthenticatedCaller, Charge};
use crate::gateway::arrivals::{GrantEnd, GrantGuard, GrantTimings};
use crate::gateway::dialect::{AdapterKey, ModelRequest};
use crate::gateway::dispatch::{SlotEnd, SlotGuard};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::config::{Route, Service};
use crate::gateway::fleet::versions::VersionChoice;
use crate::gateway::quarantine::fingerprint::{
    CallerIdentity, FingerprintInput, RequestFingerprint,
};
use crate::gateway::regions::allowed::RegionConstraints;
use crate::types::Time;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;

/// When to come back if all servers are busy.
const BUSY_RETRY: Duration = Duration::from_millis(300);

/// How far a request has come, for the log line of one whose caller leaves in the middle.
#[derive(Debug, Default)]
pub struct Progress {
    /// Its route.
    pub route: RefCell<Option<Rc<Route>>>,
    /// The server of the last try.
    pub server: RefCell<Option<Rc<str>>>,
    /// The server has begun to answer.
    pub begun: Cell<bool>,
    /// The organisation whose key it showed.
    pub organisation: RefCell<Option<Rc<str>>>,
    /// How the version of its adapter was chosen, at the last try.
    pub version: Cell<Option<VersionChoice>>,
    /// When it was sent and answered.
    pub timings: Timings,
    /// What it waited for at granters.
    pub grant: GrantTimings,
    /// What its tries have in common, once a server has broken off or it is held back.
    pub mark: Cell<Option<RequestFingerprint>>,
}

/// How a request ended, for logs and metrics.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// A server's answer was handed on whole.
    Answered(u16),
    /// The gateway refused it.
    Refused(Refused),
    /// The answer broke off after its head.
    Broken(String),
    /// The caller is gone.
    CallerGone,
}

/// What one request needs.
pub struct Job<'a> {
    /// The request.
    pub request: &'a CallerRequest,
    /// Told how far it has come.
    pub progress: &'a Progress,
    /// Its route.
    pub route: Rc<Route>,
    /// Its service.
    pub service: Rc<Service>,
    /// Whose request it is.
    pub admitted: AuthenticatedCaller,
    /// What it has taken of its organisation's quota.
    pub charge: Charge,
    /// When it must have its final answer.
    pub deadline: Time,
    /// Sends so far.
    pub sends: u32,
    /// Sends that may have run.
    pub runs: u32,
    /// Servers tried.
    pub tried: Vec<Rc<str>>,
    /// Servers that name a limit and have no room within it for this request.
    pub servers_at_limit: RefCell<Vec<Rc<str>>>,
    /// The server of the last try.
    pub server: Option<Rc<str>>,
    /// The last event handed on, to go on behind it.
    pub last_event: Option<String>,
    /// What the last try came to.
    pub last_failure: String,
    /// What was known of its adapter when it had to wait or was refused.
    pub adapter_note: RefCell<String>,
    /// What its tries have in common, once that was asked for.
    pub mark: OnceCell<RequestFingerprint>,
    /// It was held back, and this is its one try to see whether servers still end under it.
    pub on_trial: bool,
}

/// A server chosen for a request.
pub struct Choice {
    /// The server.
    pub backend: Rc<Backend>,
    /// The version of the adapter that it must have.
    pub adapter_version: Option<u64>,
    /// The slot there, if its service has a dispatcher.
    pub slot: Option<SlotGuard>,
    /// What lets it in there, if arrivals there are granted.
    pub grant: Option<GrantGuard>,
}

impl Choice {
    /// Takes note of how the request ended at the server.
    pub fn ended(&self, end: SlotEnd) {
        if let Some(slot) = &self.slot {
            slot.ended(end);
        }
    }

    /// The request is being sent.
    pub fn sent(&self, now: Time) {
        if let Some(grant) = &self.grant {
            grant.sent(now);
        }
    }

    /// The server begins to answer.
    pub fn begun(&self, now: Time) {
        if let Some(grant) = &self.grant {
            grant.begun(now);
        }
    }

    /// Takes note of what became of the grant.
    pub fn grant_ended(&self, end: GrantEnd) {
        if let Some(grant) = &self.grant {
            grant.ended(end);
        }
    }
}

impl Job<'_> {
    /// Its rank, 0 highest: its organisation's, or its route's.
    pub fn priority(&self) -> u8 {
        let organisation = self.admitted.organisation.as_ref();
        organisation.and_then(|all| all.priority).unwrap_or(self.route.priority)
    }

    /// The regions that it may be served in.
    pub(in crate::gateway) fn region_bounds(&self) -> RegionConstraints<'_> {
        let organisation = self.admitted.organisation.as_ref();
        RegionConstraints {
            route: self.route.allowed_regions.as_ref(),
            organisation: organisation.and_then(|all| all.allowed_regions.as_ref()),
        }
    }

    /// True if a server is not to be chosen any more: it was tried, or has no room.
    pub fn is_excluded(&self, server: &Rc<str>) -> bool {
        self.tried.contains(server) || self.servers_at_limit.borrow().contains(server)
    }

    /// The adapter asked for, if any.
    pub fn adapter(&self) -> Option<AdapterKey> {
        let model = self.request.meta.model.as_ref()?;
        let adapter = model.adapter.clone()?;
        Some(AdapterKey { model: model.model.clone(), adapter })
    }

    /// What its tries have in common.
    pub fn mark(&self) -> RequestFingerprint {
        *self.mark.get_or_init(|| self.marked())
    }

    fn marked(&self) -> RequestFingerprint {
        let request = self.request;
        let caller = match &self.admitted.organisation {
            Some(organisation) => CallerIdentity::Organisation(&organisation.name),
            None => CallerIdentity::Unknown,
        };
        RequestFingerprint::of(&FingerprintInput {
            caller,
            method: request.method.as_str(),
            host: &request.host,
            target: &request.target,
            body: &request.body,
        })
    }

    /// The model asked for, if the service has models.
    pub fn model(&self) -> Option<&ModelRequest> {
        self.service.engine.as_ref()?;
        self.request.meta.model.as_ref()
    }

    pub(in crate::gateway) fn may_have_run(&self) -> bool {
        self.runs > 0
    }

    /// The end when no other server is to be tried; `after` tells when one takes work again, if that is known.
    pub(in crate::gateway) fn out_of_tries(
        &self,
        reason: RefusalReason,
        after: Option<Duration>,
    ) -> RequestOutcome {
        if self.may_have_run() {
            return RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None));
        }
        RequestOutcome::Refused(Refused::new(reason, after.or(Some(BUSY_RETRY))))
    }
}

/// The end of a request whose time is over: not run only if nothing was ever sent.
pub(in crate::gateway) fn timed_out(job: &Job<'_>) -> Refused {
    match job.server.is_some() {
        true => Refused::new(RefusalReason::TimedOut, None),
        false => Refused::new(RefusalReason::Expired, Some(BUSY_RETRY)),
    }
}

/// A request's end with what is worth logging of it.
#[derive(Debug)]
pub struct RequestRecord {
    /// How it ended.
    pub end: RequestOutcome,
    /// Its route.
    pub route: Option<Rc<Route>>,
    /// The server of the last try.
    pub server: Option<Rc<str>>,
    /// Sends.
    pub sends: u32,
    /// What the last failed try came to.
    pub last_failure: String,
    /// What was known of its adapter when it had to wait or was refused.
    pub adapter_note: String,
}

impl RequestRecord {
    /// A request that was refused before it had a route.
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

    /// A request that was refused before it had a server.
    pub fn refused_on(refused: Refused, route: Rc<Route>) -> Self {
        Self { route: Some(route), ..Self::refused(refused) }
    }
}
