//! Quarantine checks on requests: a request is held back if several server processes ended while they ran it, or
//! requests with a part of its prompt.

use super::caller::{RefusalReason, Refused};
use super::handler::RequestHandler;
use super::job::{Job, RequestOutcome};
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::quarantine::ends::LostRequest;
use crate::gateway::quarantine::fingerprint::{RequestFingerprint, SuspectKind};
use crate::gateway::quarantine::suspect_requests::SendVerdict;
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Retry delay if another node has just started the trial of the request, or the store is unreachable.
const TRIAL_RETRY: Duration = Duration::from_secs(10);

/// How long a retry waits for servers that broke off to be looked at.
const JUDGED_WITHIN: Duration = Duration::from_millis(200);

/// Interval at which an answer that goes on proves that its parts crash no servers.
const PROOF_INTERVAL: Duration = Duration::from_millis(1_000);

impl RequestHandler {
    /// Admits a request unless it is held back. After its hold, it gets a single trial, on one node.
    pub(super) async fn admit(&self, job: &mut Job<'_>) -> Result<(), Refused> {
        if self.quarantine.has_no_holds() {
            return Ok(());
        }
        let mut trials = Vec::new();
        for fingerprint in job.marks() {
            match self.quarantine.verdict(fingerprint) {
                SendVerdict::Allowed => {}
                SendVerdict::Held(remaining) => {
                    job.progress.fingerprint.set(Some(fingerprint));
                    return Err(held_back(fingerprint, remaining));
                }
                SendVerdict::OnTrial(trial) => trials.push((fingerprint, trial)),
            }
        }
        for (fingerprint, trial) in trials {
            job.progress.fingerprint.set(Some(fingerprint));
            if !self.quarantine.claim_trial(fingerprint, trial).await {
                return Err(held_back(fingerprint, TRIAL_RETRY));
            }
            job.on_trial = true;
        }
        Ok(())
    }

    /// What holds a request back and for how long, as currently known; `None` if it may be sent.
    pub(super) fn held_for(&self, job: &Job<'_>) -> Option<(RequestFingerprint, Duration)> {
        let is_unsent_trial = job.on_trial && !job.may_have_run();
        if is_unsent_trial || self.quarantine.has_no_holds() {
            return None;
        }
        job.marks().find_map(|fingerprint| match self.quarantine.verdict(fingerprint) {
            SendVerdict::Allowed => None,
            SendVerdict::Held(remaining) => Some((fingerprint, remaining)),
            SendVerdict::OnTrial(_) => Some((fingerprint, TRIAL_RETRY)),
        })
    }

    /// Waits until a request is held back, so that one that waits for a server or an adapter is refused
    /// at once.
    pub(super) async fn until_held(&self, job: &Job<'_>) -> (RequestFingerprint, Duration) {
        loop {
            let hold_added = self.quarantine.hold_added();
            if let Some(held) = self.held_for(job) {
                return held;
            }
            hold_added.await;
        }
    }

    /// Waits until the servers that have just broken off are known to have ended or not, if a part of the prompt
    /// is suspected: these ends may be what is missing to hold it back.
    pub(super) async fn until_judged(&self, job: &Job<'_>) {
        if self.quarantine.suspects_any(job.shared_parts()) {
            let checks = self.quarantine.until_ends_are_checked();
            // The next check before the send decides by what is known then.
            let _ = actix_rt::time::timeout(JUDGED_WITHIN, checks).await;
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
            let now = self.clock.now();
            let request = LostRequest {
                fingerprint,
                parts: job.shared_parts().clone(),
                id: (&*job.request.meta.id).into(),
                sent: job.progress.timings.sent().unwrap_or(now),
                at: now,
            };
            self.quarantine.lost(request, server);
        }
    }

    /// Records that a server has served a request and is still running.
    pub(super) fn record_served(&self, job: &Job<'_>) {
        if !self.quarantine.is_empty() {
            self.quarantine.served(job.fingerprint());
            self.record_proof(job);
        }
    }

    /// Records that a server goes on answering a request. After a while this proves as much as a whole answer:
    /// a part that crashes servers does so when the answer begins.
    pub(super) fn record_answering(&self, job: &Job<'_>, now: Time) {
        let since = &job.progress.answering_since;
        let Some(began) = since.get() else { return since.set(Some(now)) };
        if now.since(began) >= PROOF_INTERVAL && !self.quarantine.is_empty() {
            since.set(Some(now));
            self.record_proof(job);
        }
    }

    fn record_proof(&self, job: &Job<'_>) {
        let is_first = !job.progress.proved.replace(true);
        self.quarantine.answered(job.shared_parts(), is_first);
    }
}

impl Job<'_> {
    /// What it can be held back by: itself, or a part of its prompt.
    fn marks(&self) -> impl Iterator<Item = RequestFingerprint> {
        let parts = self.shared_parts().iter().map(|part| part.fingerprint);
        std::iter::once(self.fingerprint()).chain(parts)
    }

    /// The outcome of a request that is held back when it is about to be sent.
    pub(super) fn held_back(
        &self,
        (fingerprint, remaining): (RequestFingerprint, Duration),
        response_begun: bool,
    ) -> RequestOutcome {
        self.progress.fingerprint.set(Some(fingerprint));
        if response_begun {
            return RequestOutcome::Broken(RefusalReason::Quarantined.name().into());
        }
        match self.may_have_run() {
            true => RequestOutcome::Refused(Refused::new(RefusalReason::Lost, None)),
            false => RequestOutcome::Refused(held_back(fingerprint, remaining)),
        }
    }
}

fn held_back(fingerprint: RequestFingerprint, remaining: Duration) -> Refused {
    let reason = match fingerprint.kind() {
        SuspectKind::Request => RefusalReason::Quarantined,
        SuspectKind::Part => RefusalReason::QuarantinedPart,
    };
    Refused::new(reason, Some(remaining))
}
