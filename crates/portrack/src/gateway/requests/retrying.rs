//! Permits for sending a request again.

use super::handler::RequestHandler;
use super::job::Job;
use crate::gateway::retries::budgets::SlackRefusal;
use crate::gateway::retries::reason::RetryReason;

/// Sends in addition to a route's attempts that are allowed if earlier ones were not run.
const MAX_EXTRA_SENDS: u32 = 2;
/// In logs and metrics, a retry beyond the attempts of the route.
const NO_ATTEMPTS_LEFT: &str = "attempts";
/// In logs and metrics, a retry for which there is no budget.
const BUDGET_SPENT: &str = "spent";

impl RequestHandler {
    /// Returns true if it is certain that the request cannot be sent again, so that it need not wait for a
    /// server.
    pub(super) fn is_out_of_retries(&self, job: &Job<'_>) -> bool {
        if !has_attempts_left(job) {
            self.record_retry(job, NO_ATTEMPTS_LEFT, None);
            return true;
        }
        let now = self.clock.now();
        if job.permit.as_ref().is_some_and(|permit| permit.is_usable(now)) {
            return false;
        }
        let refusal = self.retries.refusal(&job.service.name);
        if refusal.is_some() {
            self.record_retry(job, BUDGET_SPENT, refusal);
        }
        refusal.is_some()
    }

    /// Makes sure that the request has the permit for another send. Returns false if it gets none.
    pub(super) async fn obtain_retry(&self, job: &mut Job<'_>) -> bool {
        let now = self.clock.now();
        if job.permit.as_ref().is_some_and(|permit| permit.is_usable(now)) {
            return true;
        }
        job.permit = None;
        match self.retries.take(&job.service.name).await {
            Ok(permit) => {
                job.permit = Some(permit);
                true
            }
            Err(why) => {
                self.record_retry(job, BUDGET_SPENT, Some(why));
                false
            }
        }
    }

    /// Uses the request's permit if it is sent again. Returns false if the permit has expired.
    pub(super) fn use_retry(&self, job: &Job<'_>) -> bool {
        let Some(permit) = &job.permit else { return true };
        if !permit.is_usable(self.clock.now()) {
            return false;
        }
        permit.mark_used();
        self.record_retry(job, permit.source().name(), None);
        true
    }

    /// Logs and counts a retry, or why there is none. `budget` is what it was taken from, or the reason.
    fn record_retry(&self, job: &Job<'_>, budget: &str, slack: Option<SlackRefusal>) {
        let service = &job.service.name;
        let reason = job.retry_reason.map_or("", RetryReason::name);
        self.retry_counts.with_label_values(&[&**service, reason, budget]).inc();
        let state = self.retries.state(service);
        log::info!(
            request = &*job.request.meta.id, service = &**service, reason = reason,
            sends = job.sends, runs = job.possible_runs, budget = budget,
            requests = state.requests, earned_spent = state.retries, earned_left = state.available,
            slack = slack.map_or("", SlackRefusal::name);
            "retry"
        );
    }
}

fn has_attempts_left(job: &Job<'_>) -> bool {
    job.possible_runs < job.route.attempts && job.sends < job.route.attempts + MAX_EXTRA_SENDS
}
