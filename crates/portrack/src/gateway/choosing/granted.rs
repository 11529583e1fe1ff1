//! A request's way to a server that lets it in.

use super::placing::patience;
use crate::gateway::arrivals::{GrantNeed, GrantOutcome, WaitingGrant};
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::requests::job::{Choice, Job};
use crate::gateway::requests::path::RequestPath;
use std::rc::Rc;
use std::time::Duration;

/// A wait that is not worth asking another server.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// Holders that a request asks before it waits at the best of them: each costs a way there and back.
const ASKED_AT_ONCE: usize = 4;
/// Choices for one try of a request, where servers stop taking requests while it waits.
const CHOICES: usize = 3;
/// When to come back where a cold server's granter does not answer.
const UNANSWERED_RETRY: Duration = Duration::from_millis(1_000);
/// From the start at a server to the first event, roughly, without reading.
const FIRST_EVENT: Duration = Duration::from_millis(80);

/// What a server says to a request.
enum Turn {
    Send(Choice),
    Waits(Choice, WaitingGrant),
    Refused(Duration),
}

impl RequestPath {
    /// A server for the next try that lets the request in now.
    pub(in crate::gateway) async fn choose_granted(
        &self,
        job: &Job<'_>,
    ) -> Result<Choice, Refused> {
        for _ in 0..CHOICES {
            let choice = self.choose(job).await?;
            if !self.grants.grants(&choice.backend) {
                return Ok(choice);
            }
            let began = self.clock.now();
            let granted = self.granted(job, choice).await;
            let waited = self.clock.now().since(began);
            self.grants.waited(waited);
            job.progress.grant.waited(waited);
            if let Some(choice) = granted? {
                return Ok(choice);
            }
        }
        Err(busy(UNANSWERED_RETRY))
    }

    /// The choice once it is granted, or another one; `None` if it takes no requests any more.
    async fn granted(&self, job: &Job<'_>, choice: Choice) -> Result<Option<Choice>, Refused> {
        let asked = choice.backend.id.clone();
        let turn = match self.turn(job, choice).await {
            Turn::Waits(choice, waiting) if waiting.expected > SHORT_WAIT => {
                self.sooner_turn(job, choice, waiting).await
            }
            Turn::Refused(after) => self.turn_elsewhere(job, asked, after).await,
            turn => turn,
        };
        match turn {
            Turn::Send(choice) => Ok(Some(choice)),
            Turn::Refused(after) => Err(busy(after)),
            Turn::Waits(choice, waiting) => {
                let most = self.grant_need(job).most;
                let grasp = self.grants.wait(&choice.backend, waiting, most).await;
                match self.turn_of(job, choice, grasp) {
                    Turn::Send(choice) => Ok(Some(choice).filter(|all| self.still_takes(job, all))),
                    Turn::Refused(after) => Err(busy(after)),
                    Turn::Waits(..) => Err(busy(UNANSWERED_RETRY)),
                }
            }
        }
    }

    async fn turn(&self, job: &Job<'_>, choice: Choice) -> Turn {
        let mut grasp = self.grants.ask(&choice.backend, &self.grant_need(job)).await;
        if matches!(grasp, GrantOutcome::Unanswered) {
            // The next daemon in order is the granter now.
            grasp = self.grants.ask(&choice.backend, &self.grant_need(job)).await;
        }
        self.turn_of(job, choice, grasp)
    }

    fn turn_of(&self, job: &Job<'_>, mut choice: Choice, grasp: GrantOutcome) -> Turn {
        match grasp {
            GrantOutcome::Granted(guard) => {
                job.progress.grant.granter.set(Some(guard.granter));
                choice.grant = Some(guard);
                Turn::Send(choice)
            }
            GrantOutcome::Waits(waiting) => {
                job.progress.grant.told(waiting.expected);
                Turn::Waits(choice, waiting)
            }
            GrantOutcome::Refused(after) => Turn::Refused(after),
            GrantOutcome::Unanswered if self.grants.may_send_alone(&choice.backend) => {
                Turn::Send(choice)
            }
            GrantOutcome::Unanswered => Turn::Refused(UNANSWERED_RETRY),
        }
    }

    /// The holder that lets the request in soonest, of the one at which it waits and some others. The
    /// place at the best one so far is kept until another one is better.
    async fn sooner_turn(
        &self,
        job: &Job<'_>,
        mut choice: Choice,
        mut waiting: WaitingGrant,
    ) -> Turn {
        let mut asked = vec![choice.backend.id.clone()];
        while asked.len() < ASKED_AT_ONCE && waiting.expected > SHORT_WAIT {
            let Some(other) = self.other_holder(job, &asked) else { break };
            asked.push(other.backend.id.clone());
            match self.turn(job, other).await {
                Turn::Send(other) => return Turn::Send(other),
                Turn::Waits(other, sooner) if sooner.expected < waiting.expected => {
                    (choice, waiting) = (other, sooner);
                }
                Turn::Waits(..) | Turn::Refused(_) => {}
            }
        }
        Turn::Waits(choice, waiting)
    }

    /// Another holder than one that has refused.
    async fn turn_elsewhere(&self, job: &Job<'_>, asked: Rc<str>, after: Duration) -> Turn {
        let Some(other) = self.other_holder(job, &[asked]) else { return Turn::Refused(after) };
        match self.turn(job, other).await {
            Turn::Refused(other) => Turn::Refused(other.min(after)),
            turn => turn,
        }
    }

    fn grant_need(&self, job: &Job<'_>) -> GrantNeed {
        let now = self.clock.now();
        let passed = now.since(job.request.arrived);
        // After a failed try the caller's patience counts from what it heard last, about now.
        let silent = if job.sends == 0 { passed } else { Duration::ZERO };
        let most = patience(&job.route).saturating_sub(silent).min(job.deadline.since(now));
        let model = job.model();
        let first_event = model.map_or(Duration::ZERO, |_| FIRST_EVENT);
        GrantNeed {
            organisation: job.admitted.organisation.as_ref().map(|all| all.mark()),
            tokens: model.map_or(0, |model| model.prompt_tokens as u32),
            priority: job.priority(),
            left: job.route.objective.saturating_sub(passed + first_event).min(most),
            most,
            gap: job.route.gap_objective.filter(|_| model.is_some() && self.loads_lag.get()),
        }
    }
}

fn busy(after: Duration) -> Refused {
    Refused::new(RefusalReason::Busy, Some(after))
}
