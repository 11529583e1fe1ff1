//! The path of a request: route, server, tries, answer.

use super::caller::{CallerRequest, RefusalReason, Refused, ReplySink};
use super::exchange::{NotRunReason, OutgoingRequest, SendOutcome, request_bytes, send_request};
use super::job::{Choice, Job, Progress, RequestOutcome, RequestRecord, timed_out};
use super::relay::{Relay, RelayEnd};
use super::retries::RetryBudgets;
use super::routes::pick_target;
use crate::gateway::admission::{Charge, FreshnessProof, KeyFreshnessRules, Quotas, authenticate};
use crate::gateway::arrivals::{GrantEnd, GrantGuard, Grants};
use crate::gateway::backpressure::leaving::LeavingServers;
use crate::gateway::backpressure::tracker::Backpressure;
use crate::gateway::connections::pool::ConnectionPool;
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::dialect::{Dialect, ForwardMeta};
use crate::gateway::dispatch::{SlotEnd, SlotService};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::cold_start_tracker::ColdStartTracker;
use crate::gateway::fleet::config::Service;
use crate::gateway::fleet::daemons::Daemons;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::quarantine::coordinator::Quarantine;
use crate::gateway::regions::locality::Locality;
use crate::gateway::regions::traffic::RegionTraffic;
use crate::gateway::selection::demand::AdapterDemandTracker;
use crate::gateway::selection::load::LoadTable;
use crate::types::{Clock, Time};
use prometheus::IntCounter;
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Sends beyond a route's attempts that are allowed if the earlier ones were not run.
const EXTRA_SENDS: u32 = 2;
/// When to come back if nothing is known yet.
const UNKNOWN_RETRY: Duration = Duration::from_millis(500);
/// A request that may be repeated is tried elsewhere after this many times its objective.
const SLOW_FACTOR: u32 = 3;

/// Everything that the path of requests shares.
pub struct RequestHandler {
    /// The monotonic clock.
    pub clock: Rc<dyn Clock>,
    /// The platform's messages.
    pub dialect: Rc<dyn Dialect>,
    /// What is known of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// How fresh the view is.
    pub proof: Rc<FreshnessProof>,
    /// How fresh it must be for keys.
    pub key_rules: KeyFreshnessRules,
    /// What organisations may send.
    pub quotas: Rc<Quotas>,
    /// Arrivals at servers.
    pub grants: Rc<Grants>,
    /// SlotService of the servers of small services.
    pub slots: Rc<SlotService>,
    /// The daemons that may do duties for others.
    pub eligible_daemons: Rc<RefCell<Daemons>>,
    /// Woken when the view has changed.
    pub view_changed: Rc<Notify>,
    /// Which servers may be slow from their start.
    pub coldness: Rc<RefCell<ColdStartTracker>>,
    /// Load and health of the servers.
    pub loads: Rc<LoadTable>,
    /// Connections to the servers.
    pub pool: Rc<ConnectionPool>,
    /// What servers say of how much they take.
    pub backpressure: Rc<Backpressure>,
    /// Servers that leave by their own word.
    pub leaving: Rc<LeavingServers>,
    /// Requests that servers ended under.
    pub quarantine: Rc<Quarantine>,
    /// What may be repeated.
    pub retries: RefCell<RetryBudgets>,
    /// What is asked for.
    pub demand: Rc<AdapterDemandTracker>,
    /// True if some daemon, as far as known, may order this server.
    pub is_ordered: Box<dyn Fn(&str) -> bool>,
    /// Where this daemon is.
    pub locality: Rc<Locality>,
    /// What goes to other regions.
    pub traffic: Rc<RegionTraffic>,
    /// Daemons that share the servers' connections and the retry budget.
    pub daemon_count: Cell<usize>,
    /// The loads of servers are known some hundred milliseconds late, as in fleets where not every
    /// heartbeat reaches all.
    pub loads_are_delayed: Cell<bool>,
    /// Counts requests held back right before they were sent, their servers having closed.
    pub held_back: IntCounter,
}

/// What follows after a try.
enum Next {
    /// Try another server.
    Again,
    /// It is over.
    End(RequestOutcome),
}

impl RequestHandler {
    /// Serves a request to its end.
    pub async fn serve(
        &self,
        request: &CallerRequest,
        sink: &mut impl ReplySink,
        progress: &Progress,
    ) -> RequestRecord {
        let mut job = match self.job(request, progress) {
            Ok(job) => job,
            Err(refused) => return RequestRecord::refused(refused),
        };
        *progress.route.borrow_mut() = Some(job.route.clone());
        if let Err(refused) = self.admit(&mut job).await {
            return RequestRecord::refused_on(refused, job.route.clone());
        }
        job.charge = match self.charge(&job).await {
            Ok(charge) => charge,
            Err(refused) => return RequestRecord::refused_on(refused, job.route.clone()),
        };
        let now = self.clock.now();
        self.retries.borrow_mut().note_request(now, &job.service.name);
        let mut relay = Relay::new(&job.route);
        let time_left = job.deadline.since(now);
        let running = self.run(&mut job, &mut relay, sink);
        let end = match actix_rt::time::timeout(time_left, running).await {
            Ok(end) => end,
            Err(_) if relay.begun() => RequestOutcome::Broken("deadline".into()),
            Err(_) => RequestOutcome::Refused(timed_out(&job)),
        };
        RequestRecord {
            end,
            route: Some(job.route.clone()),
            server: job.server.clone(),
            sends: job.sends,
            last_failure: std::mem::take(&mut job.last_failure),
            adapter_note: job.adapter_note.take(),
        }
    }

    fn job<'a>(
        &self,
        request: &'a CallerRequest,
        progress: &'a Progress,
    ) -> Result<Job<'a>, Refused> {
        let now = self.clock.now();
        let view = self.view.borrow();
        let config = view
            .config()
            .ok_or_else(|| Refused::new(RefusalReason::NoConfig, Some(UNKNOWN_RETRY)))?;
        let (rules, proof) = (&self.key_rules, &self.proof);
        // Without keys, an unknown route is refused without a look at the proof.
        let no_route = || match config.organisations {
            Some(_) => rules.unknown(now, proof, RefusalReason::NoRoute),
            None => Refused::new(RefusalReason::NoRoute, None),
        };
        let route = view.route(&request.host, request.path());
        let route = route.ok_or_else(no_route)?.clone();
        let shown = request.meta.credential;
        let admitted = authenticate(now, config, &route, shown, &view.revoked, rules, proof)?;
        let name = admitted.organisation.as_ref().map(|organisation| organisation.name.clone());
        *progress.organisation.borrow_mut() = name;
        let service = pick_target(&route, &request.meta.id)
            .and_then(|target| view.service(&target.service))
            .ok_or_else(|| Refused::new(RefusalReason::NoServer, Some(UNKNOWN_RETRY)))?
            .clone();
        let patience = request.meta.patience.unwrap_or(route.timeout).min(route.timeout);
        let deadline = request.arrived + patience;
        Ok(Job {
            request,
            progress,
            route,
            service,
            admitted,
            charge: Charge::free(),
            deadline,
            sends: 0,
            runs: 0,
            tried: Vec::new(),
            servers_at_limit: RefCell::default(),
            server: None,
            last_event: request.last_event.clone(),
            last_failure: String::new(),
            adapter_note: RefCell::default(),
            mark: OnceCell::new(),
            on_trial: false,
        })
    }

    /// True if proof of the configuration is fresh enough for requests that a key opens.
    pub fn accepts_keys(&self) -> bool {
        self.key_rules.accepts_keys(self.clock.now(), &self.proof)
    }

    /// Takes what a request needs of its organisation's quota.
    async fn charge(&self, job: &Job<'_>) -> Result<Charge, Refused> {
        match &job.admitted.organisation {
            Some(organisation) => self.quotas.admit(organisation, job.request.meta.tokens).await,
            None => Ok(Charge::free()),
        }
    }

    async fn run(
        &self,
        job: &mut Job<'_>,
        relay: &mut Relay,
        sink: &mut impl ReplySink,
    ) -> RequestOutcome {
        loop {
            let choosing = tokio::select! {
                biased;
                chosen = self.choose_granted(job) => chosen,
                left = self.until_held(job) => {
                    return job.held_back(left, relay.begun());
                }
            };
            let choice = match choosing {
                Ok(choice) => choice,
                Err(refused) if relay.begun() => {
                    return RequestOutcome::Broken(refused.reason.name().into());
                }
                Err(_) if job.may_have_run() => {
                    return RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None));
                }
                Err(refused) => return RequestOutcome::Refused(refused),
            };
            match self.try_at(job, &choice, relay, sink).await {
                Next::Again => {}
                Next::End(end) => return end,
            }
        }
    }

    async fn try_at(
        &self,
        job: &mut Job<'_>,
        choice: &Choice,
        relay: &mut Relay,
        sink: &mut impl ReplySink,
    ) -> Next {
        if let Some(left) = self.held_for(job) {
            return Next::End(job.held_back(left, relay.begun()));
        }
        if job.sends > 0 && !self.may_send_again(job) {
            return Next::End(match relay.begun() {
                true => RequestOutcome::Broken("retry budget".into()),
                false => job.out_of_tries(RefusalReason::Budget, None),
            });
        }
        let backend = &choice.backend;
        job.server = Some(backend.id.clone());
        *job.progress.server.borrow_mut() = Some(backend.id.clone());
        job.tried.push(backend.id.clone());
        let now = self.clock.now();
        let bytes = request_bytes(&*self.dialect, job.request, &self.forward_meta(job, choice));
        let tokens = job.model().map_or(0, |model| model.prompt_tokens as u32);
        let mut guard = self.loads.begin(now, &backend.id, tokens);
        let _using = job.adapter().map(|key| self.demand.begin(&backend.id, &key));
        let most = self.connections_share(&job.service);
        job.sends += 1;
        job.progress.timings.record_sent(now);
        job.charge.mark_sent();
        choice.sent(now);
        self.traffic.count_server_bytes("requests", &backend.hall, bytes.len());
        let id = &job.request.meta.id;
        let may_send = || self.may_send_now(job, choice);
        let heard = |head: &ResponseHead| {
            self.backpressure.on_response(backend, now, head.status.as_u16(), &head.meta);
            self.leaving.on_response(backend, head.meta.leaving);
        };
        let outgoing = OutgoingRequest { request_id: id, bytes: &bytes, most_connections: most };
        let exchanging =
            send_request(&*self.dialect, &self.pool, backend, outgoing, may_send, heard);
        let sent = match self.slow_after(job, now) {
            Some(patience) => match actix_rt::time::timeout(patience, exchanging).await {
                Ok(sent) => sent,
                Err(_) => SendOutcome::MayHaveRun(crate::gateway::ExchangeError::Lost {
                    why: "slow".into(),
                }),
            },
            None => exchanging.await,
        };
        drop(bytes);
        match sent {
            SendOutcome::NotRun(why) => self.after_not_run(job, choice, &why, relay),
            SendOutcome::MayHaveRun(error) => {
                job.runs += 1;
                choice.ended(SlotEnd::Failed);
                choice.grant_ended(GrantEnd::Lost);
                self.coldness.borrow_mut().assume_cold(self.clock.now(), &backend.id);
                self.loads.record_outcome_of(self.clock.now(), backend, true);
                job.last_failure = error.to_string();
                self.note_broken(job, &error, backend);
                self.after_loss(job, relay)
            }
            SendOutcome::Answer(answer) => {
                job.runs += 1;
                guard.begun();
                job.progress.begun.set(true);
                guard.record_activity(self.clock.now());
                let timings = &job.progress.timings;
                let heard = || {
                    let now = self.clock.now();
                    guard.record_activity(now);
                    timings.record_chunk(now);
                    choice.begun(now);
                };
                let end = relay.answer(job, *answer, sink, heard).await;
                choice.begun(self.clock.now());
                if let Some(apart) = timings.mean_event_gap() {
                    self.grants.record_event_gap(&job.service.name, apart);
                }
                self.traffic.count_server_bytes("answers", &backend.hall, relay.take_received());
                drop(guard);
                if matches!(
                    end,
                    RelayEnd::Failed(_) | RelayEnd::Unusable(_) | RelayEnd::BrokenOff(_)
                ) {
                    choice.ended(SlotEnd::Failed);
                }
                self.after_relay(job, backend, end, relay)
            }
        }
    }

    /// Whether a request may be sent at this moment: what is known of its server, and of the request, may have changed while a
    /// connection was opened.
    fn may_send_now(&self, job: &Job<'_>, choice: &Choice) -> Result<(), NotRunReason> {
        let (backend, mark) = (&choice.backend, choice.backend.incarnation_hash());
        if !self.view.borrow().accepts_requests(self.clock.now(), &backend.id) {
            return Err(NotRunReason::Closed);
        }
        if self.held_for(job).is_some() {
            return Err(NotRunReason::HeldBack);
        }
        if self.backpressure.backoff_remaining(mark).is_some() {
            return Err(NotRunReason::Resting);
        }
        if !self.is_let_in(choice) {
            return Err(NotRunReason::Ungranted);
        }
        self.backpressure.sent(mark);
        Ok(())
    }

    /// True if a request may be sent by the limit that its server names, if it does: on a grant, and before long. The
    /// server may have named it after it was chosen.
    fn is_let_in(&self, choice: &Choice) -> bool {
        let fresh = |grant: &GrantGuard| grant.is_fresh(self.clock.now());
        !self.grants.is_limited(&choice.backend) || choice.grant.as_ref().is_some_and(fresh)
    }

    /// How long a server may take before another one is tried; only where that is allowed.
    fn slow_after(&self, job: &Job<'_>, now: Time) -> Option<Duration> {
        let again = job.runs + 1 < job.route.attempts;
        let plain = job.service.engine.is_none();
        let patience = job.route.objective * SLOW_FACTOR;
        let left = job.deadline.since(now);
        (job.route.repeatable() && again && plain && patience * 2 < left).then_some(patience)
    }

    fn forward_meta<'a>(&self, job: &'a Job<'_>, choice: &'a Choice) -> ForwardMeta<'a> {
        let left = job.deadline.since(self.clock.now());
        ForwardMeta {
            time_left: Some(left),
            instance: &choice.backend.id,
            urgency: job.service.engine.as_ref().map(|_| job.priority().min(9)),
            adapter_version: choice.adapter_version,
            last_event: job.last_event.as_deref(),
            organisation: job.admitted.organisation.as_ref().map(|all| &*all.name),
            withholds_key: job.admitted.keyed,
        }
    }

    fn connections_share(&self, service: &Service) -> usize {
        (service.max_connections / self.daemon_count.get().max(1)).max(2)
    }

    fn may_send_again(&self, job: &Job<'_>) -> bool {
        let now = self.clock.now();
        job.runs < job.route.attempts
            && job.sends < job.route.attempts + EXTRA_SENDS
            && self.retries.borrow_mut().take(now, &job.service.name, self.daemon_count.get())
    }

    fn after_not_run(
        &self,
        job: &mut Job<'_>,
        choice: &Choice,
        why: &NotRunReason,
        relay: &Relay,
    ) -> Next {
        let (now, id) = (self.clock.now(), &choice.backend.id);
        job.last_failure = format!("{why:?}");
        if !job.may_have_run() {
            job.charge.mark_not_run();
        }
        match why {
            NotRunReason::NoConnection => {
                job.sends -= 1;
                choice.grant_ended(GrantEnd::Unsent);
            }
            NotRunReason::HeldBack => {
                job.sends -= 1;
                choice.grant_ended(GrantEnd::Unsent);
                // It says nothing of the server; only its place is given back.
                choice.ended(SlotEnd::Answered);
            }
            NotRunReason::Ungranted | NotRunReason::Resting => {
                job.sends -= 1;
                job.tried.pop();
                choice.grant_ended(GrantEnd::Unsent);
                choice.ended(SlotEnd::Unsent);
                return Next::Again;
            }
            NotRunReason::Closed => {
                job.sends -= 1;
                choice.grant_ended(GrantEnd::Unsent);
                choice.ended(SlotEnd::Unreachable);
                self.held_back.inc();
            }
            NotRunReason::Unreachable(_) => {
                job.sends -= 1;
                choice.ended(SlotEnd::Unreachable);
                choice.grant_ended(GrantEnd::Unreachable);
                self.coldness.borrow_mut().assume_cold(now, id);
                if self.loads.is_current_incarnation(&choice.backend) {
                    self.loads.unreachable(now, id);
                }
            }
            NotRunReason::TurnedAway(status) => {
                choice.ended(SlotEnd::Failed);
                if *status == 421 {
                    choice.grant_ended(GrantEnd::TurnedAway);
                }
                self.record_misdirected(job, choice, *status);
            }
        }
        let others = self.has_untried(job);
        if others {
            return Next::Again;
        }
        Next::End(match relay.begun() {
            true => RequestOutcome::Broken("no server left".into()),
            false => job.out_of_tries(RefusalReason::Busy, self.soonest_rest(job)),
        })
    }

    fn after_loss(&self, job: &Job<'_>, relay: &Relay) -> Next {
        if job.route.repeatable() && job.runs < job.route.attempts {
            return Next::Again;
        }
        Next::End(match relay.begun() {
            true => RequestOutcome::Broken(job.last_failure.clone()),
            false => RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None)),
        })
    }

    fn resume_elsewhere(&self, job: &mut Job<'_>, why: String, relay: &Relay) -> Next {
        job.last_failure = why;
        job.last_event = relay.last_event().map(str::to_owned).or(job.last_event.take());
        self.after_loss(job, relay)
    }

    fn after_relay(
        &self,
        job: &mut Job<'_>,
        server: &Rc<Backend>,
        end: RelayEnd,
        relay: &mut Relay,
    ) -> Next {
        let now = self.clock.now();
        match end {
            RelayEnd::Whole(status) => {
                self.loads.record_outcome_of(now, server, status >= 500);
                if status < 500 {
                    self.note_served(job);
                }
                Next::End(RequestOutcome::Answered(status))
            }
            RelayEnd::CallerGone => Next::End(RequestOutcome::CallerGone),
            RelayEnd::Failed(status) => {
                self.loads.record_outcome_of(now, server, true);
                job.last_failure = format!("status {status}");
                Next::Again
            }
            RelayEnd::Unusable(why) => {
                self.loads.record_outcome_of(now, server, true);
                self.resume_elsewhere(job, why, relay)
            }
            RelayEnd::BrokenOff(error) => {
                self.loads.record_outcome_of(now, server, true);
                self.note_broken(job, &error, server);
                self.resume_elsewhere(job, error.to_string(), relay)
            }
        }
    }
}
