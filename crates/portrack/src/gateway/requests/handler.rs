//! Handles requests: routing, authentication, quotas, server selection, retries, responses.

use super::caller::{CallerRequest, RefusalReason, Refused, ReplySink};
use super::exchange::{NotRunReason, OutgoingRequest, SendOutcome, request_bytes, send_request};
use super::job::{Choice, Job, Progress, RequestOutcome, RequestRecord};
use super::relay::{Relay, RelayHooks, RelayOutcome};
use super::routes::pick_target;
use crate::gateway::admission::{Charge, FreshnessProof, KeyFreshnessRules, Quotas, authenticate};
use crate::gateway::arrivals::{GrantEnd, Grants};
use crate::gateway::backpressure::leaving::LeavingServers;
use crate::gateway::backpressure::tracker::Backpressure;
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::connections::pool::ConnectionPool;
use crate::gateway::connections::response::ResponseHead;
use crate::gateway::dialect::Dialect;
use crate::gateway::dispatch::{SlotEnd, SlotService};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::cold_start_tracker::ColdStartTracker;
use crate::gateway::fleet::config::Service;
use crate::gateway::fleet::daemons::Daemons;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::quarantine::coordinator::Quarantine;
use crate::gateway::regions::locality::Locality;
use crate::gateway::regions::traffic::RegionTraffic;
use crate::gateway::retries::budgets::RetryBudgets;
use crate::gateway::retries::reason::RetryReason;
use crate::gateway::selection::demand::AdapterDemandTracker;
use crate::gateway::selection::load::LoadTable;
use crate::gateway::shutdown::Shutdown;
use crate::gateway::software::resolver::StreamOrigins;
use crate::gateway::tunnels::connecting::ServerConnections;
use crate::types::Clock;
use prometheus::{IntCounter, IntCounterVec};
use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Retry delay while there is no configuration, or none of the service.
const NOT_READY_RETRY: Duration = Duration::from_millis(500);

/// Handles requests; holds the state that they share.
pub struct RequestHandler {
    /// The monotonic clock.
    pub clock: Rc<dyn Clock>,
    /// The platform's dialect.
    pub dialect: Rc<dyn Dialect>,
    /// This daemon's view of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// Proof of how fresh the view is.
    pub proof: Rc<FreshnessProof>,
    /// How fresh the view must be to accept keys.
    pub key_rules: KeyFreshnessRules,
    /// Quotas of organisations.
    pub quotas: Rc<Quotas>,
    /// Grants for sending to servers.
    pub grants: Rc<Grants>,
    /// Slots of the servers of small services.
    pub slots: Rc<SlotService>,
    /// The daemons that are eligible for tasks on behalf of others.
    pub eligible_daemons: Rc<RefCell<Daemons>>,
    /// Notified when the view has changed.
    pub view_changed: Rc<Notify>,
    /// Servers that may still be slow after their start.
    pub coldness: Rc<RefCell<ColdStartTracker>>,
    /// Load and health of the servers.
    pub loads: Rc<LoadTable>,
    /// Connections to the servers.
    pub pool: Rc<ConnectionPool>,
    /// Opens connections to the servers for requests.
    pub connections: Rc<ServerConnections>,
    /// Rate limits and backoffs that servers have announced.
    pub backpressure: Rc<Backpressure>,
    /// Servers that have announced that they are leaving.
    pub leaving: Rc<LeavingServers>,
    /// Requests under which servers have ended.
    pub quarantine: Rc<Quarantine>,
    /// Retry budgets.
    pub retries: Rc<RetryBudgets>,
    /// Where streams began.
    pub origins: Rc<StreamOrigins>,
    /// Demand for adapters.
    pub demand: Rc<AdapterDemandTracker>,
    /// The planned stop of this daemon.
    pub shutdown: Rc<Shutdown>,
    /// Whether some daemon, as far as known, may send orders to a server.
    pub is_ordered: Box<dyn Fn(&str) -> bool>,
    /// The data hall and region of this daemon.
    pub locality: Rc<Locality>,
    /// Traffic to other regions.
    pub traffic: Rc<RegionTraffic>,
    /// Number of daemons that share the servers' connections.
    pub daemon_count: Cell<usize>,
    /// Whether the servers' loads are known only some hundred milliseconds late, as in fleets where not
    /// every heartbeat is sent to all daemons.
    pub loads_are_delayed: Cell<bool>,
    /// Counts retries by service, reason, and what they were taken from.
    pub retry_counts: IntCounterVec,
    /// Counts requests that were held back just before they were sent, since their server had closed.
    pub held_back: IntCounter,
}

/// What to do after an attempt.
enum NextStep {
    /// Try another server.
    Retry,
    /// Finish the request.
    Finish(RequestOutcome),
}

impl RequestHandler {
    /// Handles a request to its end.
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
        let mut relay = Relay::new(&job.route);
        let time_left = job.deadline.since(self.clock.now());
        let end = tokio::select! {
            biased;
            end = self.handle(&mut job, &mut relay, sink) => end,
            () = actix_rt::time::sleep(time_left) => job.out_of_time(relay.has_started()),
            () = self.shutdown.until_wait_ends() => job.cut_by_stop(relay.has_started()),
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

    /// Handles a request without regard to its deadline and the end of this daemon.
    async fn handle(
        &self,
        job: &mut Job<'_>,
        relay: &mut Relay,
        sink: &mut impl ReplySink,
    ) -> RequestOutcome {
        if !self.shutdown.allows_send(job.answer_bound()) {
            return job.stopped(false);
        }
        if let Err(refused) = self.prepare(job).await {
            return RequestOutcome::Refused(refused);
        }
        self.retries.record_request(&job.service.name);
        self.run(job, relay, sink).await
    }

    /// Makes the checks that may take some time, before a server is chosen.
    async fn prepare(&self, job: &mut Job<'_>) -> Result<(), Refused> {
        self.resume(job).await?;
        self.admit(job).await?;
        job.charge = self.charge(job).await?;
        Ok(())
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
            .ok_or_else(|| Refused::new(RefusalReason::NoConfig, Some(NOT_READY_RETRY)))?;
        let (rules, proof) = (&self.key_rules, &self.proof);
        // Without keys, an unknown route is refused regardless of the proof.
        let no_route = || match config.organisations {
            Some(_) => rules.unknown(now, proof, RefusalReason::NoRoute),
            None => Refused::new(RefusalReason::NoRoute, None),
        };
        let route = view.route(&request.host, request.path());
        let route = route.ok_or_else(no_route)?.clone();
        let credential = request.meta.credential;
        let admitted = authenticate(now, config, &route, credential, &view.revoked, rules, proof)?;
        let name = admitted.organisation.as_ref().map(|organisation| organisation.name.clone());
        *progress.organisation.borrow_mut() = name;
        let service = pick_target(&route, &request.meta.id)
            .and_then(|target| view.service(&target.service))
            .ok_or_else(|| Refused::new(RefusalReason::NoServer, Some(NOT_READY_RETRY)))?
            .clone();
        let timeout = request.meta.patience.unwrap_or(route.timeout).min(route.timeout);
        let deadline = request.arrived + timeout;
        Ok(Job {
            request,
            progress,
            route,
            service,
            admitted,
            charge: Charge::free(),
            deadline,
            sends: 0,
            possible_runs: 0,
            tried: Vec::new(),
            servers_at_limit: RefCell::default(),
            server: None,
            origin: OnceCell::new(),
            last_event: request.last_event.clone(),
            last_failure: String::new(),
            was_unreachable: false,
            retry_reason: None,
            permit: None,
            adapter_note: RefCell::default(),
            fingerprint: OnceCell::new(),
            parts: OnceCell::new(),
            on_trial: false,
        })
    }

    /// Whether the proof of the configuration is fresh enough to accept keys.
    pub fn accepts_keys(&self) -> bool {
        self.key_rules.accepts_keys(self.clock.now(), &self.proof)
    }

    /// Takes the units of a request from its organisation's quota.
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
            if job.sends > 0 && self.is_out_of_retries(job) {
                return job.out_of_retries(relay.has_started());
            }
            if job.sends > 0 {
                self.until_judged(job).await;
            }
            let selected = tokio::select! {
                biased;
                chosen = self.choose_granted(job) => chosen,
                left = self.until_held(job) => {
                    return job.held_back(left, relay.has_started());
                }
                () = self.shutdown.until_send_ends(job.answer_bound()), if !relay.has_started() => {
                    return job.stopped(false);
                }
            };
            let choice = match selected {
                Ok(choice) => choice,
                Err(refused) if relay.has_started() => {
                    return RequestOutcome::Broken(refused.reason.name().into());
                }
                Err(_) if job.may_have_run() => {
                    return RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None));
                }
                Err(refused) => return RequestOutcome::Refused(job.with_cause(refused)),
            };
            match self.try_server(job, &choice, relay, sink).await {
                NextStep::Retry => {}
                NextStep::Finish(end) => return end,
            }
        }
    }

    async fn try_server(
        &self,
        job: &mut Job<'_>,
        choice: &Choice,
        relay: &mut Relay,
        sink: &mut impl ReplySink,
    ) -> NextStep {
        if let Some(left) = self.held_for(job) {
            return NextStep::Finish(job.held_back(left, relay.has_started()));
        }
        if job.sends > 0 && !self.obtain_retry(job).await {
            return NextStep::Finish(job.out_of_retries(relay.has_started()));
        }
        let backend = &choice.backend;
        job.server = Some(backend.id.clone());
        *job.progress.server.borrow_mut() = Some(backend.id.clone());
        *job.progress.software.borrow_mut() = Some(backend.software.clone());
        job.tried.push(backend.id.clone());
        let now = self.clock.now();
        let bytes = request_bytes(&*self.dialect, job.request, &self.forward_meta(job, choice));
        let tokens = job.model().map_or(0, |model| model.prompt_tokens as u32);
        let mut guard = self.loads.begin(now, &backend.id, tokens);
        let _usage = job.adapter().map(|key| self.demand.begin(&backend.id, &key));
        let max_connections = self.max_connections(&job.service);
        job.sends += 1;
        job.progress.timings.record_sent(now);
        job.progress.answering_since.set(None);
        job.charge.mark_sent();
        choice.sent(now);
        self.traffic.count_server_bytes("requests", &backend.hall, bytes.len());
        let id = &job.request.meta.id;
        let started = relay.has_started();
        let may_send = || self.check_before_send(job, choice, started);
        let on_head = |head: &ResponseHead| {
            self.backpressure.on_response(backend, now, head.status.as_u16(), &head.meta);
            self.leaving.on_response(backend, head.meta.leaving);
            job.progress.framing.set(Some(head.framing));
        };
        let outgoing = OutgoingRequest { request_id: id, bytes: &bytes };
        let acquiring = async {
            let acquired = self.connections.acquire(backend, max_connections).await;
            if let Ok(pooled) = &acquired {
                job.progress.carrier.set(pooled.carrier());
            }
            acquired
        };
        let sending = send_request(&*self.dialect, acquiring, outgoing, may_send, on_head);
        let finished = match self.slow_timeout(job, now) {
            Some(slow_timeout) => actix_rt::time::timeout(slow_timeout, sending).await.ok(),
            None => Some(sending.await),
        };
        let loss_reason = if finished.is_some() { RetryReason::Lost } else { RetryReason::Slow };
        let slow = || SendOutcome::MayHaveRun(ExchangeError::Lost { why: "slow".into() });
        let sent = finished.unwrap_or_else(slow);
        drop(bytes);
        match sent {
            SendOutcome::NotRun(why) => self.on_not_run(job, choice, &why, relay),
            SendOutcome::MayHaveRun(error) => {
                job.possible_runs += 1;
                choice.ended(SlotEnd::Failed);
                choice.grant_ended(GrantEnd::Lost);
                self.coldness.borrow_mut().assume_cold(self.clock.now(), &backend.id);
                self.loads.record_outcome_of(self.clock.now(), backend, true);
                job.last_failure = error.to_string();
                job.retry_reason = Some(loss_reason);
                self.record_connection_lost(job, &error, backend);
                self.on_loss(job, relay)
            }
            SendOutcome::Answer(response) => {
                job.possible_runs += 1;
                guard.begun();
                job.progress.begun.set(true);
                guard.record_activity(self.clock.now());
                let timings = &job.progress.timings;
                let on_chunk = || {
                    let now = self.clock.now();
                    guard.record_activity(now);
                    timings.record_chunk(now);
                    self.record_answering(job, now);
                    choice.begun(now);
                };
                let hooks = RelayHooks {
                    on_chunk,
                    before_events: || self.record_first_event(job, backend),
                    look_after_close: async || self.look_after_close(backend).await,
                };
                let end = relay.forward(job, *response, sink, &hooks).await;
                job.progress.event_cut.set(relay.is_event_cut());
                choice.begun(self.clock.now());
                if let Some(gap) = timings.mean_event_gap() {
                    self.grants.record_event_gap(&job.service.name, gap);
                }
                self.traffic.count_server_bytes(
                    "answers",
                    &backend.hall,
                    relay.take_received_bytes(),
                );
                drop(guard);
                if matches!(
                    end,
                    RelayOutcome::Failed(_)
                        | RelayOutcome::Invalid(_)
                        | RelayOutcome::Interrupted(_)
                ) {
                    choice.ended(SlotEnd::Failed);
                }
                self.on_relay_outcome(job, backend, end, relay)
            }
        }
    }

    /// Maximum number of open connections of this daemon to a server.
    pub(in crate::gateway) fn max_connections(&self, service: &Service) -> usize {
        (service.max_connections / self.daemon_count.get().max(1)).max(2)
    }

    fn on_not_run(
        &self,
        job: &mut Job<'_>,
        choice: &Choice,
        why: &NotRunReason,
        relay: &Relay,
    ) -> NextStep {
        let (now, id) = (self.clock.now(), &choice.backend.id);
        job.last_failure = format!("{why:?}");
        job.was_unreachable = matches!(why, NotRunReason::Unreachable(_) | NotRunReason::NoPath(_));
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
                // This is not a failure of the server; only the slot is released.
                choice.ended(SlotEnd::Answered);
            }
            NotRunReason::Stopping => {
                job.sends -= 1;
                choice.grant_ended(GrantEnd::Unsent);
                choice.ended(SlotEnd::Unsent);
                return NextStep::Finish(job.stopped(relay.has_started()));
            }
            NotRunReason::Ungranted | NotRunReason::Resting | NotRunReason::RetryExpired => {
                job.sends -= 1;
                job.tried.pop();
                choice.grant_ended(GrantEnd::Unsent);
                choice.ended(SlotEnd::Unsent);
                return NextStep::Retry;
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
            NotRunReason::NoPath(_) => {
                job.sends -= 1;
                choice.ended(SlotEnd::Unsent);
                choice.grant_ended(GrantEnd::Unsent);
                if self.loads.is_current_incarnation(&choice.backend) {
                    self.loads.unreachable(now, id);
                }
            }
            NotRunReason::TurnedAway(status) => {
                job.retry_reason = Some(RetryReason::Rejected);
                choice.ended(SlotEnd::Failed);
                if *status == 421 {
                    choice.grant_ended(GrantEnd::TurnedAway);
                }
                self.record_misdirected(job, choice, *status);
            }
        }
        let others = self.has_untried(job);
        if others {
            return NextStep::Retry;
        }
        NextStep::Finish(match relay.has_started() {
            true => RequestOutcome::Broken("no server left".into()),
            false => job.no_server_left(RefusalReason::Busy, self.soonest_rest(job)),
        })
    }

    fn on_loss(&self, job: &Job<'_>, relay: &Relay) -> NextStep {
        if job.route.repeatable() && job.possible_runs < job.route.attempts {
            return NextStep::Retry;
        }
        NextStep::Finish(match relay.has_started() {
            true => RequestOutcome::Broken(job.last_failure.clone()),
            false => RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None)),
        })
    }

    fn resume_elsewhere(&self, job: &mut Job<'_>, why: String, relay: &Relay) -> NextStep {
        job.last_failure = why;
        job.last_event = relay.last_event().map(str::to_owned).or(job.last_event.take());
        self.on_loss(job, relay)
    }

    fn on_relay_outcome(
        &self,
        job: &mut Job<'_>,
        server: &Rc<Backend>,
        end: RelayOutcome,
        relay: &mut Relay,
    ) -> NextStep {
        let now = self.clock.now();
        match end {
            RelayOutcome::Complete(status) => {
                self.loads.record_outcome_of(now, server, status >= 500);
                if status < 500 {
                    self.record_served(job);
                }
                NextStep::Finish(RequestOutcome::Answered(status))
            }
            RelayOutcome::CallerGone => NextStep::Finish(RequestOutcome::CallerGone),
            RelayOutcome::Failed(status) => {
                self.loads.record_outcome_of(now, server, true);
                job.last_failure = format!("status {status}");
                job.retry_reason = Some(RetryReason::Failed);
                NextStep::Retry
            }
            RelayOutcome::Invalid(why) => {
                job.retry_reason = Some(RetryReason::Invalid);
                self.loads.record_outcome_of(now, server, true);
                self.resume_elsewhere(job, why, relay)
            }
            RelayOutcome::Interrupted(error) => {
                job.retry_reason = Some(RetryReason::Interrupted);
                self.loads.record_outcome_of(now, server, true);
                self.record_connection_lost(job, &error, server);
                self.resume_elsewhere(job, error.to_string(), relay)
            }
        }
    }
}
