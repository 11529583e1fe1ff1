//! A request's way to a server that lets it in.

use super::placing::patience;
use crate::gateway::arrivals::{GrantNeed, GrantOutcome, WaitingGrant};
use crate::gateway::dispatch::SlotEnd;
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::gateway::requests::handler::RequestHandler;
use crate::gateway::requests::job::{Choice, Job};
use std::rc::Rc;
use std::time::Duration;

/// A wait that is not worth asking another server.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// Holders that a request asks before it waits at the best of them: each costs a way there and back.
const ASKED_AT_ONCE: usize = 4;
/// Choices for one try of a request, where servers stop taking requests while it waits.
const CHOICES: usize = 3;
/// A server without room within its limit is taken for busy for so long: soon enough for its next turn, and for its use
/// once it names none any more.
const FULL_FOR: Duration = Duration::from_millis(300);
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

impl RequestHandler {
    /// A server for the next try that lets the request in now.
    pub(in crate::gateway) async fn choose_granted(
        &self,
        job: &Job<'_>,
    ) -> Result<Choice, Refused> {
        job.servers_at_limit.borrow_mut().clear();
        let mut soonest: Option<Refused> = None;
        for _ in 0..CHOICES {
            let choice = match self.choose(job).await {
                Ok(choice) => choice,
                Err(refused) => return Err(soonest.unwrap_or(refused)),
            };
            if !self.grants.grants(&choice.backend) {
                return Ok(choice);
            }
            let began = self.clock.now();
            let granted = self.granted(job, choice).await;
            let waited = self.clock.now().since(began);
            self.grants.waited(waited);
            job.progress.grant.waited(waited);
            match granted {
                Ok(Some(choice)) => return Ok(choice),
                Ok(None) => {}
                Err(refused) => {
                    soonest = Some(sooner(soonest, refused));
                    let for_a_limit = !job.servers_at_limit.borrow().is_empty();
                    if !for_a_limit || !self.has_roomier(job) {
                        break;
                    }
                }
            }
        }
        Err(soonest.unwrap_or_else(|| busy(UNANSWERED_RETRY)))
    }

    /// The choice once it is granted, or another one; `None` if it takes no requests any more.
    async fn granted(&self, job: &Job<'_>, choice: Choice) -> Result<Option<Choice>, Refused> {
        let asked = choice.backend.id.clone();
        let turn = match self.turn(job, choice).await {
            Turn::Waits(choice, waiting) if self.goes_elsewhere(job, &choice, &waiting) => {
                Turn::Refused(waiting.expected)
            }
            Turn::Waits(choice, waiting) if waiting.expected > SHORT_WAIT => {
                self.sooner_turn(job, choice, waiting).await
            }
            // Where all servers serve alike, the dispatcher chooses another one.
            Turn::Refused(after)
                if job.model().is_none() && job.servers_at_limit.borrow().contains(&asked) =>
            {
                Turn::Refused(after)
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

    /// True if a request does not wait for its turn within a server's limit, since another server may take it: one of a
    /// service without models, where all serve alike.
    fn goes_elsewhere(&self, job: &Job<'_>, choice: &Choice, waiting: &WaitingGrant) -> bool {
        let waits = waiting.expected > SHORT_WAIT && self.grants.is_limited(&choice.backend);
        if !waits || job.model().is_some() {
            return false;
        }
        job.servers_at_limit.borrow_mut().push(choice.backend.id.clone());
        let elsewhere = self.has_roomier(job);
        match elsewhere {
            true => choice.ended(SlotEnd::Unsent),
            false => drop(job.servers_at_limit.borrow_mut().pop()),
        }
        elsewhere
    }

    async fn turn(&self, job: &Job<'_>, choice: Choice) -> Turn {
        if !self.grants.grants(&choice.backend) {
            return Turn::Send(choice);
        }
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
            GrantOutcome::Refused(after) => {
                self.note_full(job, &choice, after);
                Turn::Refused(after)
            }
            GrantOutcome::Unanswered if self.grants.may_send_alone(&choice.backend) => {
                Turn::Send(choice)
            }
            GrantOutcome::Unanswered => {
                self.note_full(job, &choice, UNANSWERED_RETRY);
                Turn::Refused(UNANSWERED_RETRY)
            }
        }
    }

    /// A server that names a limit has no room within it: the request does not ask there again, and others of this node
    /// prefer servers at which they need not wait.
    fn note_full(&self, job: &Job<'_>, choice: &Choice, after: Duration) {
        let backend = &choice.backend;
        if self.grants.is_limited(backend) {
            job.servers_at_limit.borrow_mut().push(backend.id.clone());
            choice.ended(SlotEnd::Unsent);
            self.backpressure.skipped_full_server(backend.incarnation_hash());
            self.loads.reads_until(&backend.id, self.clock.now() + after.min(FULL_FOR));
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
            organisation: job.admitted.organisation.as_ref().map(|all| all.name_hash()),
            tokens: model.map_or(0, |model| model.prompt_tokens as u32),
            priority: job.priority(),
            left: job.route.objective.saturating_sub(passed + first_event).min(most),
            most,
            gap: job
                .route
                .gap_objective
                .filter(|_| model.is_some() && self.loads_are_delayed.get()),
        }
    }
}

/// Of two refusals the one after which a caller may come back sooner.
fn sooner(one: Option<Refused>, two: Refused) -> Refused {
    match one {
        Some(one) if one.retry_after <= two.retry_after => one,
        _ => two,
    }
}

fn busy(after: Duration) -> Refused {
    Refused::new(RefusalReason::Busy, Some(after))
}
