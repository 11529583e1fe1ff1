//! Requests that are held back since servers ended under them, on the path of requests.

use super::caller::{RefusalReason, Refused};
use super::handler::RequestHandler;
use super::job::{Job, RequestOutcome};
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::quarantine::suspect_requests::SendVerdict;
use std::rc::Rc;
use std::time::Duration;

/// When to come back if another node has just begun to try the request, or the store cannot be reached.
const TRIAL_RETRY: Duration = Duration::from_secs(10);

impl RequestHandler {
    /// Lets a request in unless it is held back. One whose hold is over is tried once, by one node.
    pub(super) async fn admit(&self, job: &mut Job<'_>) -> Result<(), Refused> {
        if self.quarantine.has_no_holds() {
            return Ok(());
        }
        let mark = job.mark();
        match self.quarantine.verdict(mark) {
            SendVerdict::Allowed => return Ok(()),
            SendVerdict::Held(left) => {
                job.progress.mark.set(Some(mark));
                return Err(held_back(left));
            }
            SendVerdict::OnTrial(trial) => {
                job.progress.mark.set(Some(mark));
                job.on_trial = self.quarantine.claim_trial(mark, trial).await;
            }
        }
        if job.on_trial { Ok(()) } else { Err(held_back(TRIAL_RETRY)) }
    }

    /// For how long a request must not be sent, as known right now.
    pub(super) fn held_for(&self, job: &Job<'_>) -> Option<Duration> {
        let first_of_trial = job.on_trial && !job.may_have_run();
        if first_of_trial || self.quarantine.has_no_holds() {
            return None;
        }
        match self.quarantine.verdict(job.mark()) {
            SendVerdict::Allowed => None,
            SendVerdict::Held(left) => Some(left),
            SendVerdict::OnTrial(_) => Some(TRIAL_RETRY),
        }
    }

    /// Waits until a request is held back: one that waits for a server or an adapter is refused at once.
    pub(super) async fn until_held(&self, job: &Job<'_>) -> Duration {
        loop {
            let hold_added = self.quarantine.hold_added();
            if let Some(left) = self.held_for(job) {
                return left;
            }
            hold_added.await;
        }
    }

    /// Takes note that a request's connection to a server failed.
    pub(super) fn note_broken(&self, job: &Job<'_>, error: &ExchangeError, server: &Rc<Backend>) {
        if matches!(error, ExchangeError::Lost { .. }) {
            let mark = job.mark();
            job.progress.mark.set(Some(mark));
            self.quarantine.lost(mark, &job.request.meta.id, server);
        }
    }

    /// Takes note that a server ran a request and lives.
    pub(super) fn note_served(&self, job: &Job<'_>) {
        if !self.quarantine.is_empty() {
            self.quarantine.served(job.mark());
        }
    }
}

impl Job<'_> {
    /// The end of a request that is held back when it was about to be sent.
    pub(super) fn held_back(&self, left: Duration, answer_begun: bool) -> RequestOutcome {
        if answer_begun {
            return RequestOutcome::Broken(RefusalReason::Quarantined.name().into());
        }
        match self.may_have_run() {
            true => RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None)),
            false => RequestOutcome::Refused(held_back(left)),
        }
    }
}

fn held_back(left: Duration) -> Refused {
    Refused::new(RefusalReason::Quarantined, Some(left))
}
