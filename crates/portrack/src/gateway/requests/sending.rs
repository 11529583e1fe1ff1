//! Checks right before a request is sent to a server, and what it is sent with.

use super::completeness::ServerAfterClose;
use super::exchange::NotRunReason;
use super::handler::RequestHandler;
use super::job::{Choice, Job};
use crate::gateway::arrivals::GrantGuard;
use crate::gateway::connections::identity::IdentityCheck;
use crate::gateway::dialect::ForwardMeta;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::tunnels::connecting::LOOK_DELAY;
use crate::types::Time;
use std::time::Duration;

/// Multiple of its latency objective after which a repeatable request is tried at another server.
const SLOW_OBJECTIVES: u32 = 3;

/// How long the look may take, with the questions to other daemons.
const LOOK_TIMEOUT: Duration = Duration::from_millis(700);

impl RequestHandler {
    /// Checks whether a request may be sent now: the state of the server, of the request and of this daemon may have
    /// changed while a connection was opened. `started` tells whether its reply has begun.
    pub(super) fn check_before_send(
        &self,
        job: &Job<'_>,
        choice: &Choice,
        started: bool,
    ) -> Result<(), NotRunReason> {
        if !started && !self.shutdown.allows_send(job.answer_bound()) {
            return Err(NotRunReason::Stopping);
        }
        let (backend, hash) = (&choice.backend, choice.backend.incarnation_hash());
        if !self.view.borrow().accepts_requests(self.clock.now(), &backend.id) {
            return Err(NotRunReason::Closed);
        }
        // A stream that begins is recorded with the version of the server that was chosen.
        let software = self.view.borrow().backend(&backend.id).map(|known| known.software.clone());
        if software.as_ref() != Some(&backend.software) {
            return Err(NotRunReason::Closed);
        }
        if self.held_for(job).is_some() {
            return Err(NotRunReason::HeldBack);
        }
        if self.backpressure.backoff_remaining(hash).is_some() {
            return Err(NotRunReason::Resting);
        }
        if !self.has_required_grant(choice) {
            return Err(NotRunReason::Ungranted);
        }
        if !self.use_retry(job) {
            return Err(NotRunReason::RetryExpired);
        }
        self.backpressure.sent(hash);
        Ok(())
    }

    /// Looks at a server that has closed the connection of a response: it runs if it says so itself. Neither that it
    /// meant to leave nor that something listens at its address tells whether it was killed.
    pub(super) async fn look_after_close(&self, backend: &Backend) -> ServerAfterClose {
        let service = self.view.borrow().service(&backend.service).cloned();
        let Some(service) = service.filter(|service| !service.health_path.is_empty()) else {
            return self.look_at_address(backend).await;
        };
        actix_rt::time::sleep(LOOK_DELAY).await;
        let report_path = service.engine.as_ref().map(|_| self.dialect.report_path());
        let check =
            IdentityCheck::new(&*self.dialect, &backend.id, &service.health_path, report_path);
        let asking = self.connections.answers(backend, &check);
        let answers = actix_rt::time::timeout(LOOK_TIMEOUT, asking).await.unwrap_or(false);
        match answers && !self.view.borrow().has_restarted(backend) {
            true => ServerAfterClose::Runs,
            false => ServerAfterClose::NotSeen,
        }
    }

    /// The same look at a server that cannot be asked who it is.
    async fn look_at_address(&self, backend: &Backend) -> ServerAfterClose {
        // The entry of a server that is killed goes afterwards.
        let ends_as_planned = self.view.borrow().ends_after_last_answer(&backend.id);
        actix_rt::time::sleep(LOOK_DELAY).await;
        let looking = self.connections.reaches(backend);
        let reached = actix_rt::time::timeout(LOOK_TIMEOUT, looking).await;
        if self.view.borrow().has_restarted(backend) {
            return ServerAfterClose::NotSeen;
        }
        match reached {
            Ok(true) => ServerAfterClose::Runs,
            Ok(false) | Err(_) if ends_as_planned => ServerAfterClose::EndedAsPlanned,
            Ok(false) | Err(_) => ServerAfterClose::NotSeen,
        }
    }

    /// Whether a request has the recent grant that it needs if its server announces a rate limit. The server
    /// may have announced it after it was selected.
    fn has_required_grant(&self, choice: &Choice) -> bool {
        let is_fresh = |grant: &GrantGuard| grant.is_fresh(self.clock.now());
        !self.grants.is_limited(&choice.backend) || choice.grant.as_ref().is_some_and(is_fresh)
    }

    /// Time after which another server is tried; `None` if another attempt is not allowed or
    /// would come too late.
    pub(super) fn slow_timeout(&self, job: &Job<'_>, now: Time) -> Option<Duration> {
        let may_retry = job.possible_runs + 1 < job.route.attempts;
        let has_no_engine = job.service.engine.is_none();
        let slow_timeout = job.route.objective * SLOW_OBJECTIVES;
        let left = job.deadline.since(now);
        (job.route.repeatable() && may_retry && has_no_engine && slow_timeout * 2 < left)
            .then_some(slow_timeout)
    }

    pub(super) fn forward_meta<'a>(&self, job: &'a Job<'_>, choice: &'a Choice) -> ForwardMeta<'a> {
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
}
