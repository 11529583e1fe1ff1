//! State machine of a request that needs a reservation.

use super::{Action, Grant, Patience, Spec};
use crate::owner::{Answer, Ask, Verdict};
use crate::types::{EngineName, Reason, Refusal, ReservationId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of attempts whose send time is kept.
const MAX_REMEMBERED_ATTEMPTS: usize = 16;

#[derive(Debug, Clone)]
struct PendingAsk {
    engine: EngineName,
    id: ReservationId,
    attempt: u32,
    sent: VecDeque<(u32, Time)>,
    unanswered: u32,
    queued: bool,
    next_send: Time,
}

/// A request that is looking for an engine.
#[derive(Debug, Clone)]
pub struct Request {
    spec: Spec,
    patience: Patience,
    current: Option<PendingAsk>,
    last_refusal: Option<(Reason, Duration)>,
    started: bool,
    missing_once: Vec<EngineName>,
}

impl Request {
    /// Creates a request that has not sent an ask yet.
    pub fn new(spec: Spec, patience: Patience) -> Self {
        Self {
            spec,
            patience,
            current: None,
            last_refusal: None,
            started: false,
            missing_once: Vec::new(),
        }
    }

    /// The requirements, with the engines tried so far.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Asks this engine's owner for a new reservation.
    pub fn try_engine(&mut self, now: Time, engine: EngineName, id: ReservationId) -> Vec<Action> {
        self.current = Some(PendingAsk {
            engine,
            id,
            attempt: 0,
            sent: VecDeque::new(),
            unanswered: 0,
            queued: false,
            next_send: now,
        });
        self.tick(now)
    }

    /// Gives up because no engine can be selected.
    pub fn no_engine(&mut self) -> Action {
        let refusal = match self.last_refusal {
            Some((reason, after)) => Refusal::not_run(reason, detail(reason)).after(after),
            None => Refusal::not_run(Reason::NoBackend, detail(Reason::NoBackend))
                .after(Duration::from_secs(1)),
        };
        Action::GiveUp(refusal)
    }

    /// Repeats, renews or ends the pending ask.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        if self.started {
            return Vec::new();
        }
        if now >= self.spec.deadline {
            return self.too_late();
        }
        let left = self.spec.deadline.since(now);
        let patience = self.patience.clone();
        let Some(current) = &mut self.current else {
            return Vec::new();
        };
        if now < current.next_send {
            return Vec::new();
        }
        if current.unanswered >= patience.unanswered {
            return self.try_another(Reason::NoBackend, Duration::from_secs(1));
        }
        current.attempt += 1;
        current.sent.push_back((current.attempt, now));
        if current.sent.len() > MAX_REMEMBERED_ATTEMPTS {
            current.sent.pop_front();
        }
        let pause = match current.queued {
            true => patience.renew_every,
            false => patience.repeat_after * 2_u32.pow(current.unanswered),
        };
        current.unanswered += 1;
        current.next_send = now + pause;
        let ask = Ask {
            id: current.id,
            attempt: current.attempt,
            adapter: self.spec.wanted.adapter.clone(),
            class: self.spec.wanted.class,
            wait_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        };
        vec![Action::Send(current.engine.clone(), ask)]
    }

    /// Handles an owner's answer.
    pub fn answer(&mut self, now: Time, answer: &Answer) -> Vec<Action> {
        let Some(current) = &mut self.current else {
            return Vec::new();
        };
        if current.id != answer.id {
            return Vec::new();
        }
        match &answer.verdict {
            Verdict::Queued => {
                current.queued = true;
                current.unanswered = 0;
                current.next_send = current.next_send.max(now + self.patience.renew_every);
                Vec::new()
            }
            Verdict::Granted(fence) => {
                let sent = current.sent.iter().find(|(attempt, _)| *attempt == answer.attempt);
                let start_by = sent.map(|(_, at)| *at + self.patience.start_within);
                let Some(start_by) = start_by.filter(|by| now < *by) else {
                    current.next_send = now;
                    return self.tick(now);
                };
                let (engine, id, fence) = (current.engine.clone(), current.id, *fence);
                self.current = None;
                self.started = true;
                vec![Action::Start(Grant { engine, id, fence, start_by })]
            }
            Verdict::Refused { reason, retry_ms } => {
                self.try_another(*reason, Duration::from_millis(u64::from(*retry_ms)))
            }
        }
    }

    /// Selects another engine after the engine reported that it did not run the request. An engine
    /// that only lacks the adapter may be tried once more, since its owner knows that by then.
    pub fn not_run(&mut self, engine: EngineName, missing: bool) -> Vec<Action> {
        self.started = false;
        if !missing || self.missing_once.contains(&engine) {
            self.spec.wanted.tried.push(engine);
        } else {
            self.missing_once.push(engine);
        }
        self.last_refusal = Some((Reason::NoBackend, Duration::from_secs(1)));
        self.choose_again_or_give_up()
    }

    fn try_another(&mut self, reason: Reason, after: Duration) -> Vec<Action> {
        let Some(current) = self.current.take() else {
            return Vec::new();
        };
        self.last_refusal = Some((reason, after));
        self.spec.wanted.tried.push(current.engine.clone());
        let mut actions = vec![Action::Release(current.engine, current.id)];
        actions.extend(self.choose_again_or_give_up());
        actions
    }

    fn choose_again_or_give_up(&mut self) -> Vec<Action> {
        match self.spec.wanted.tried.len() < self.patience.engines {
            true => vec![Action::ChooseAgain],
            false => vec![self.no_engine()],
        }
    }

    /// Ends the request: the deadline has passed or the caller has disconnected.
    pub fn too_late(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(current) = self.current.take() {
            actions.push(Action::Release(current.engine, current.id));
        }
        let refusal = Refusal::not_run(Reason::Deadline, detail(Reason::Deadline));
        actions.push(Action::GiveUp(refusal.after(Duration::from_secs(1))));
        actions
    }

    /// The reservation of the pending ask.
    pub fn reservation(&self) -> Option<ReservationId> {
        self.current.as_ref().map(|current| current.id)
    }
}

fn detail(reason: Reason) -> &'static str {
    match reason {
        Reason::QueueFull => "every engine tried has a full queue",
        Reason::Deadline => "the request could not start before its deadline",
        Reason::LoadFailed => "the adapter could not be loaded on the engines tried",
        _ => "no engine can take the request now",
    }
}
