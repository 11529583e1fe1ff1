//! The state machine of one request that seeks a place.

use super::{Action, Grant, Patience, Spec};
use crate::owner::{Answer, Ask, Verdict};
use crate::types::{EngineName, Reason, Refusal, ReservationId, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// Repetitions whose sending time is remembered.
const REMEMBERED_ATTEMPTS: usize = 16;

#[derive(Debug, Clone)]
struct Current {
    engine: EngineName,
    id: ReservationId,
    attempt: u32,
    sent: VecDeque<(u32, Time)>,
    unanswered: u32,
    queued: bool,
    next: Time,
}

/// A request on its way to a place.
#[derive(Debug, Clone)]
pub struct Request {
    spec: Spec,
    patience: Patience,
    current: Option<Current>,
    last_refusal: Option<(Reason, Duration)>,
    started: bool,
    missed: Vec<EngineName>,
}

impl Request {
    /// A request that has asked nobody yet.
    pub fn new(spec: Spec, patience: Patience) -> Self {
        Self {
            spec,
            patience,
            current: None,
            last_refusal: None,
            started: false,
            missed: Vec::new(),
        }
    }

    /// What is sought, with the engines tried so far.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Asks this engine's owner under a fresh reservation.
    pub fn try_engine(&mut self, now: Time, engine: EngineName, id: ReservationId) -> Vec<Action> {
        self.current = Some(Current {
            engine,
            id,
            attempt: 0,
            sent: VecDeque::new(),
            unanswered: 0,
            queued: false,
            next: now,
        });
        self.tick(now)
    }

    /// No engine can be chosen.
    pub fn no_engine(&mut self) -> Action {
        let refusal = match self.last_refusal {
            Some((reason, after)) => Refusal::not_run(reason, detail(reason)).after(after),
            None => Refusal::not_run(Reason::NoBackend, detail(Reason::NoBackend))
                .after(Duration::from_secs(1)),
        };
        Action::GiveUp(refusal)
    }

    /// Repeats, renews or ends the current ask.
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
        if now < current.next {
            return Vec::new();
        }
        if current.unanswered >= patience.unanswered {
            return self.elsewhere(Reason::NoBackend, Duration::from_secs(1));
        }
        current.attempt += 1;
        current.sent.push_back((current.attempt, now));
        if current.sent.len() > REMEMBERED_ATTEMPTS {
            current.sent.pop_front();
        }
        let pause = match current.queued {
            true => patience.renew_every,
            false => patience.repeat_after * 2_u32.pow(current.unanswered),
        };
        current.unanswered += 1;
        current.next = now + pause;
        let ask = Ask {
            id: current.id,
            attempt: current.attempt,
            adapter: self.spec.wanted.adapter.clone(),
            class: self.spec.wanted.class,
            wait_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
        };
        vec![Action::Send(current.engine.clone(), ask)]
    }

    /// Takes an owner's answer in.
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
                current.next = current.next.max(now + self.patience.renew_every);
                Vec::new()
            }
            Verdict::Granted(fence) => {
                let sent = current.sent.iter().find(|(attempt, _)| *attempt == answer.attempt);
                let start_by = sent.map(|(_, at)| *at + self.patience.start_within);
                let Some(start_by) = start_by.filter(|by| now < *by) else {
                    current.next = now;
                    return self.tick(now);
                };
                let (engine, id, fence) = (current.engine.clone(), current.id, *fence);
                self.current = None;
                self.started = true;
                vec![Action::Start(Grant { engine, id, fence, start_by })]
            }
            Verdict::Refused { reason, retry_ms } => {
                self.elsewhere(*reason, Duration::from_millis(u64::from(*retry_ms)))
            }
        }
    }

    /// The engine said that it did not run the request: another one is chosen.
    /// One that only misses the adapter may be asked once more: its owner knows by then.
    pub fn not_run(&mut self, engine: EngineName, missing: bool) -> Vec<Action> {
        self.started = false;
        if !missing || self.missed.contains(&engine) {
            self.spec.wanted.tried.push(engine);
        } else {
            self.missed.push(engine);
        }
        self.last_refusal = Some((Reason::NoBackend, Duration::from_secs(1)));
        self.choose_or_stop()
    }

    fn elsewhere(&mut self, reason: Reason, after: Duration) -> Vec<Action> {
        let Some(current) = self.current.take() else {
            return Vec::new();
        };
        self.last_refusal = Some((reason, after));
        self.spec.wanted.tried.push(current.engine.clone());
        let mut actions = vec![Action::Release(current.engine, current.id)];
        actions.extend(self.choose_or_stop());
        actions
    }

    fn choose_or_stop(&mut self) -> Vec<Action> {
        match self.spec.wanted.tried.len() < self.patience.engines {
            true => vec![Action::ChooseAgain],
            false => vec![self.no_engine()],
        }
    }

    /// Ends the request: the deadline has passed, or the caller has gone.
    pub fn too_late(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        if let Some(current) = self.current.take() {
            actions.push(Action::Release(current.engine, current.id));
        }
        let refusal = Refusal::not_run(Reason::Deadline, detail(Reason::Deadline));
        actions.push(Action::GiveUp(refusal.after(Duration::from_secs(1))));
        actions
    }

    /// The reservation that is being asked for.
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
