//! The engines that this node owns.

use super::{Effect, EngineTask, Node};
use crate::owner::{Answer, Ask, End, EngineOwner, Event, Lock, Output, Verdict};
use crate::router::BackendServer;
use crate::types::{EngineName, Instance, Reason, ReservationId, Time};
use crate::wire::{Message, PermitAsk, PermitRef};

/// Retry delay that a node suggests if it does not own the engine, in milliseconds.
const NOT_OWNER_RETRY_MS: u32 = 200;

impl Node {
    pub(super) fn take_servers(
        &mut self,
        now: Time,
        list: Vec<BackendServer>,
        out: &mut Vec<Effect>,
    ) {
        self.view.servers(now, list);
        self.update_owners(now, out);
        let leaving: Vec<EngineName> = self
            .owners
            .keys()
            .filter(|name| self.view.engine(name).is_some_and(|e| e.server.leaving))
            .cloned()
            .collect();
        for engine in leaving {
            self.engine_event(now, &engine, Event::Leaving, out);
        }
    }

    /// Takes over the engines for which this node is the highest-ranked live member, and releases the
    /// others.
    pub(super) fn update_owners(&mut self, now: Time, out: &mut Vec<Effect>) {
        if !self.ownership.update(&self.members, &self.view) {
            return;
        }
        let mine: Vec<(EngineName, Lock)> = self
            .view
            .iter()
            .filter(|state| self.ownership.owner_of(&state.server.name) == Some(&self.me.node))
            .filter_map(|state| Some((state.server.name.clone(), state.lock()?)))
            .collect();
        let lost: Vec<EngineName> = self
            .owners
            .keys()
            .filter(|name| !mine.iter().any(|(m, _)| m == *name))
            .cloned()
            .collect();
        for engine in lost {
            self.release_engine(now, &engine, out);
        }
        for (engine, lock) in mine {
            let tuning = self.tunables.owner.clone();
            let fences = self.fences;
            let new = || EngineOwner::new(engine.clone(), lock, tuning, fences, now);
            self.owners.entry(engine.clone()).or_insert_with(new);
        }
    }

    fn release_engine(&mut self, now: Time, engine: &EngineName, out: &mut Vec<Effect>) {
        let Some(mut owner) = self.owners.remove(engine) else {
            return;
        };
        self.sent_holdings.remove(engine);
        let outputs = owner.stop(now);
        self.owner_outputs(now, engine, outputs, out);
        out.push(Effect::Engine { engine: engine.clone(), task: EngineTask::LetGo });
    }

    pub(super) fn tick_owners(&mut self, now: Time, out: &mut Vec<Effect>) {
        let engines: Vec<EngineName> = self.owners.keys().cloned().collect();
        for engine in engines {
            self.engine_event(now, &engine, Event::Tick, out);
        }
    }

    pub(super) fn engine_event(
        &mut self,
        now: Time,
        engine: &EngineName,
        event: Event,
        out: &mut Vec<Effect>,
    ) {
        let Some(owner) = self.owners.get_mut(engine) else {
            return;
        };
        let outputs = owner.on(now, event);
        self.owner_outputs(now, engine, outputs, out);
    }

    fn owner_outputs(
        &mut self,
        now: Time,
        engine: &EngineName,
        outputs: Vec<Output>,
        out: &mut Vec<Effect>,
    ) {
        for output in outputs {
            self.owner_output(now, engine, output, out);
        }
    }

    fn owner_output(
        &mut self,
        now: Time,
        engine: &EngineName,
        output: Output,
        out: &mut Vec<Effect>,
    ) {
        let task = match output {
            Output::Answer { to, answer } => {
                return self.send(to.node, Message::Answer(answer), out);
            }
            Output::AskPermit { adapter, waited_ms, weight } => {
                let load = PermitRef { engine: engine.clone(), adapter };
                let ask = PermitAsk { load, waited_ms, weight };
                return self.request_permit(now, ask, out);
            }
            Output::PermitDone(adapter) => {
                let load = PermitRef { engine: engine.clone(), adapter };
                return self.return_permit(&load, out);
            }
            Output::Poll => EngineTask::Poll,
            Output::RaiseFence(fence) => EngineTask::RaiseFence(fence),
            Output::Order(order) => EngineTask::Order(order),
        };
        out.push(Effect::Engine { engine: engine.clone(), task });
    }

    pub(super) fn reserve(
        &mut self,
        now: Time,
        from: Instance,
        engine: &EngineName,
        ask: Ask,
        out: &mut Vec<Effect>,
    ) {
        if self.owners.contains_key(engine) {
            return self.engine_event(now, engine, Event::Reserve { from, ask }, out);
        }
        let verdict = Verdict::Refused { reason: Reason::NoBackend, retry_ms: NOT_OWNER_RETRY_MS };
        let answer = Answer { id: ask.id, attempt: ask.attempt, verdict };
        self.send(from.node, Message::Answer(answer), out);
    }

    pub(super) fn take_release(
        &mut self,
        now: Time,
        from: Instance,
        engine: &EngineName,
        id: ReservationId,
        end: End,
        out: &mut Vec<Effect>,
    ) {
        self.engine_event(now, engine, Event::Release { id, end }, out);
        self.send(from.node, Message::Released(id), out);
    }
}
