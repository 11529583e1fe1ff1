//! Selects a server for a request and obtains a grant for it.

use super::server_choice::max_silence;
use crate::gateway::arrivals::{GrantOutcome, GrantRequirements, WaitingGrant};
use crate::gateway::dispatch::SlotEnd;
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::requests::handler::RequestHandler;
use crate::gateway::requests::job::{Choice, Job};
use std::rc::Rc;
use std::time::Duration;

/// A wait so short that asking another server does not pay off.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// Number of holders that a request asks before it waits at the best one. Each costs a round trip.
const MAX_HOLDERS_ASKED: usize = 4;
/// Number of selections per try; servers may stop accepting requests while the request waits.
const MAX_CHOICES: usize = 3;
/// How long a server at its limit counts as busy. Short enough that it is used again for its next
/// admission, and once it no longer states a limit.
const FULL_BACKLOG: Duration = Duration::from_millis(300);
/// Retry delay when the granter of a cold server does not answer.
const NO_GRANTER_RETRY: Duration = Duration::from_millis(1_000);
/// Approximate latency of the first event on a server, without prefill.
const FIRST_EVENT_LATENCY: Duration = Duration::from_millis(80);

/// The result of asking for a grant.
enum Admission {
    Send(Choice),
    Waits(Choice, WaitingGrant),
    Refused(Duration),
}

impl RequestHandler {
    /// Selects a server for the next try and waits until the request is granted there.
    pub(in crate::gateway) async fn choose_granted(
        &self,
        job: &Job<'_>,
    ) -> Result<Choice, Refused> {
        job.servers_at_limit.borrow_mut().clear();
        let mut soonest: Option<Refused> = None;
        for _ in 0..MAX_CHOICES {
            let choice = match self.choose(job).await {
                Ok(choice) => choice,
                Err(refused) => return Err(soonest.unwrap_or(refused)),
            };
            if !self.grants.grants(&choice.backend) {
                return Ok(choice);
            }
            let started = self.clock.now();
            let granted = self.obtain_grant(job, choice).await;
            let waited = self.clock.now().since(started);
            self.grants.observe_wait(waited);
            job.progress.grant.add_wait(waited);
            match granted {
                Ok(Some(choice)) => return Ok(choice),
                Ok(None) => {}
                Err(refused) => {
                    soonest = Some(sooner_retry(soonest, refused));
                    let is_at_limit = !job.servers_at_limit.borrow().is_empty();
                    if !is_at_limit || !self.has_alternative(job) {
                        break;
                    }
                }
            }
        }
        Err(soonest.unwrap_or_else(|| busy(NO_GRANTER_RETRY)))
    }

    /// Obtains a grant for the choice or for another server. `None` if the server no longer accepts
    /// requests.
    async fn obtain_grant(&self, job: &Job<'_>, choice: Choice) -> Result<Option<Choice>, Refused> {
        let asked = choice.backend.id.clone();
        let admission = match self.ask_granter(job, choice).await {
            Admission::Waits(choice, waiting)
                if self.leaves_for_other_server(job, &choice, &waiting) =>
            {
                Admission::Refused(waiting.expected)
            }
            Admission::Waits(choice, waiting) if waiting.expected > SHORT_WAIT => {
                self.ask_other_holders(job, choice, waiting).await
            }
            // Without models all servers are equivalent, and the dispatcher chooses another one.
            Admission::Refused(after)
                if job.model().is_none() && job.servers_at_limit.borrow().contains(&asked) =>
            {
                Admission::Refused(after)
            }
            Admission::Refused(after) => self.ask_other_holder(job, asked, after).await,
            admission => admission,
        };
        match admission {
            Admission::Send(choice) => Ok(Some(choice)),
            Admission::Refused(after) => Err(busy(after)),
            Admission::Waits(choice, waiting) => {
                let max_wait = self.grant_requirements(job).max_wait;
                let outcome = self.grants.wait(&choice.backend, waiting, max_wait).await;
                match self.apply_outcome(job, choice, outcome) {
                    Admission::Send(choice) => {
                        Ok(Some(choice).filter(|choice| self.still_accepts(job, choice)))
                    }
                    Admission::Refused(after) => Err(busy(after)),
                    Admission::Waits(..) => Err(busy(NO_GRANTER_RETRY)),
                }
            }
        }
    }

    /// Returns whether a request leaves the queue of a server at its limit because another server
    /// may take it. Applies to services without models, where all servers are equivalent.
    fn leaves_for_other_server(
        &self,
        job: &Job<'_>,
        choice: &Choice,
        waiting: &WaitingGrant,
    ) -> bool {
        let waits = waiting.expected > SHORT_WAIT && self.grants.is_limited(&choice.backend);
        if !waits || job.model().is_some() {
            return false;
        }
        job.servers_at_limit.borrow_mut().push(choice.backend.id.clone());
        let has_other = self.has_alternative(job);
        match has_other {
            true => choice.ended(SlotEnd::Unsent),
            false => drop(job.servers_at_limit.borrow_mut().pop()),
        }
        has_other
    }

    async fn ask_granter(&self, job: &Job<'_>, choice: Choice) -> Admission {
        if !self.grants.grants(&choice.backend) {
            return Admission::Send(choice);
        }
        let mut outcome = self.grants.ask(&choice.backend, &self.grant_requirements(job)).await;
        if matches!(outcome, GrantOutcome::Unanswered) {
            // The next daemon in order is the granter now.
            outcome = self.grants.ask(&choice.backend, &self.grant_requirements(job)).await;
        }
        self.apply_outcome(job, choice, outcome)
    }

    fn apply_outcome(&self, job: &Job<'_>, mut choice: Choice, outcome: GrantOutcome) -> Admission {
        match outcome {
            GrantOutcome::Granted(guard) => {
                job.progress.grant.granter.set(Some(guard.granter));
                choice.grant = Some(guard);
                Admission::Send(choice)
            }
            GrantOutcome::Waits(waiting) => {
                job.progress.grant.expect_wait(waiting.expected);
                Admission::Waits(choice, waiting)
            }
            GrantOutcome::Refused(after) => {
                self.record_full(job, &choice, after);
                Admission::Refused(after)
            }
            GrantOutcome::Unanswered if self.grants.may_send_without_grant(&choice.backend) => {
                Admission::Send(choice)
            }
            GrantOutcome::Unanswered => {
                self.record_full(job, &choice, NO_GRANTER_RETRY);
                Admission::Refused(NO_GRANTER_RETRY)
            }
        }
    }

    /// Records that a server with a limit has no capacity left. This request does not ask there
    /// again, and other requests on this node prefer servers without a wait.
    fn record_full(&self, job: &Job<'_>, choice: &Choice, after: Duration) {
        let backend = &choice.backend;
        if self.grants.is_limited(backend) {
            job.servers_at_limit.borrow_mut().push(backend.id.clone());
            choice.ended(SlotEnd::Unsent);
            self.backpressure.skipped_full_server(backend.incarnation_hash());
            self.loads.set_backlog_until(&backend.id, self.clock.now() + after.min(FULL_BACKLOG));
        }
    }

    /// Asks further holders and returns the one with the shortest wait. The queue position at the
    /// best holder so far is kept until a better one is found.
    async fn ask_other_holders(
        &self,
        job: &Job<'_>,
        mut choice: Choice,
        mut waiting: WaitingGrant,
    ) -> Admission {
        let mut asked = vec![choice.backend.id.clone()];
        while asked.len() < MAX_HOLDERS_ASKED && waiting.expected > SHORT_WAIT {
            let Some(other) = self.other_holder(job, &asked) else { break };
            asked.push(other.backend.id.clone());
            match self.ask_granter(job, other).await {
                Admission::Send(other) => return Admission::Send(other),
                Admission::Waits(other, sooner) if sooner.expected < waiting.expected => {
                    (choice, waiting) = (other, sooner);
                }
                Admission::Waits(..) | Admission::Refused(_) => {}
            }
        }
        Admission::Waits(choice, waiting)
    }

    /// Asks a holder other than the one that refused.
    async fn ask_other_holder(&self, job: &Job<'_>, asked: Rc<str>, after: Duration) -> Admission {
        let Some(other) = self.other_holder(job, &[asked]) else {
            return Admission::Refused(after);
        };
        match self.ask_granter(job, other).await {
            Admission::Refused(other) => Admission::Refused(other.min(after)),
            admission => admission,
        }
    }

    fn grant_requirements(&self, job: &Job<'_>) -> GrantRequirements {
        let now = self.clock.now();
        let elapsed = now.since(job.request.arrived);
        // After a failed try, the caller's timeout counts from the data it received last, which is
        // about now.
        let silent = if job.sends == 0 { elapsed } else { Duration::ZERO };
        let max_wait = max_silence(&job.route).saturating_sub(silent).min(job.deadline.since(now));
        let model = job.model();
        let first_event = model.map_or(Duration::ZERO, |_| FIRST_EVENT_LATENCY);
        GrantRequirements {
            organisation: job
                .admitted
                .organisation
                .as_ref()
                .map(|organisation| organisation.name_hash()),
            tokens: model.map_or(0, |model| model.prompt_tokens as u32),
            priority: job.priority(),
            time_left: job.route.objective.saturating_sub(elapsed + first_event).min(max_wait),
            max_wait,
            max_gap: job
                .route
                .gap_objective
                .filter(|_| model.is_some() && self.loads_are_delayed.get()),
        }
    }
}

/// The refusal with the shorter retry delay.
fn sooner_retry(one: Option<Refused>, two: Refused) -> Refused {
    match one {
        Some(one) if one.retry_after <= two.retry_after => one,
        _ => two,
    }
}

fn busy(after: Duration) -> Refused {
    Refused::new(RefusalReason::Busy, Some(after))
}
