//! Quarantine checks on requests: a request is held back if several server
//! processes ended while they ran it.

use super::caller::{RefusalReason, Refused};
use super::handler::RequestHandler;
use super::job::{Job, RequestOutcome};
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::quarantine::suspect_requests::SendVerdict;
use std::rc::Rc;
use std::time::Duration;

/// Retry delay if another node has just started the trial of the request, or the store is unreachable.
const TRIAL_RETRY: Duration = Duration::from_secs(10);

impl RequestHandler {
    /// Admits a request unless it is held back. After its hold, it gets a single trial, on one node.
    pub(super) async fn admit(&self, job: &mut Job<'_>) -> Result<(), Refused> {
        if self.quarantine.has_no_holds() {
            return Ok(());
        }
        let fingerprint = job.fingerprint();
        match self.quarantine.verdict(fingerprint) {
            SendVerdict::Allowed => return Ok(()),
            SendVerdict::Held(remaining) => {
                job.progress.fingerprint.set(Some(fingerprint));
                return Err(held_back(remaining));
            }
            SendVerdict::OnTrial(trial) => {
                job.progress.fingerprint.set(Some(fingerprint));
                job.on_trial = self.quarantine.claim_trial(fingerprint, trial).await;
            }
        }
        if job.on_trial { Ok(()) } else { Err(held_back(TRIAL_RETRY)) }
    }

    /// How long a request must not be sent, as currently known; `None` if it may be sent.
    pub(super) fn held_for(&self, job: &Job<'_>) -> Option<Duration> {
        let is_unsent_trial = job.on_trial && !job.may_have_run();
        if is_unsent_trial || self.quarantine.has_no_holds() {
            return None;
        }
        match self.quarantine.verdict(job.fingerprint()) {
            SendVerdict::Allowed => None,
            SendVerdict::Held(remaining) => Some(remaining),
            SendVerdict::OnTrial(_) => Some(TRIAL_RETRY),
        }
    }

    /// Waits until a request is held back, so that one that waits for a server or an adapter is refused
    /// at once.
    pub(super) async fn until_held(&self, job: &Job<'_>) -> Duration {
        loop {
            let hold_added = self.quarantine.hold_added();
            if let Some(remaining) = self.held_for(job) {
                return remaining;
            }
            hold_added.await;
        }
    }

    /// Records that a request's connection to a server was lost.
    pub(super) fn record_connection_lost(
        &self,
        job: &Job<'_>,
        error: &ExchangeError,
        server: &Rc<Backend>,
    ) {
        if matches!(error, ExchangeError::Lost { .. }) {
            let fingerprint = job.fingerprint();
            job.progress.fingerprint.set(Some(fingerprint));
            self.quarantine.lost(fingerprint, &job.request.meta.id, server);
        }
    }

    /// Records that a server has served a request and is still running.
    pub(super) fn record_served(&self, job: &Job<'_>) {
        if !self.quarantine.is_empty() {
            self.quarantine.served(job.fingerprint());
        }
    }
}

impl Job<'_> {
    /// The outcome of a request that is held back when it is about to be sent.
    pub(super) fn held_back(&self, remaining: Duration, response_begun: bool) -> RequestOutcome {
        if response_begun {
            return RequestOutcome::Broken(RefusalReason::Quarantined.name().into());
        }
        match self.may_have_run() {
            true => RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None)),
            false => RequestOutcome::Refused(held_back(remaining)),
        }
    }
}

fn held_back(remaining: Duration) -> Refused {
    Refused::new(RefusalReason::Quarantined, Some(remaining))
}
