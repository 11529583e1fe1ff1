//! Requests of this entry node that need a reservation on an engine.

use super::{Effect, Node};
use crate::owner::{Answer, End, Verdict};
use crate::reserve::{Action, Request, Spec, Token};
use crate::types::{EngineName, Instance, NodeName, ReservationId, Time};
use crate::wire::Message;
use rand::Rng;

impl Node {
    pub(super) fn owner_of(&self, engine: &EngineName) -> Option<&NodeName> {
        self.ownership.owner_of(engine)
    }

    pub(super) fn begin(&mut self, now: Time, token: Token, spec: Spec, out: &mut Vec<Effect>) {
        let request = Request::new(spec, self.tunables.patience.clone());
        self.requests.insert(token, request);
        self.choose(now, token, out);
    }

    fn choose(&mut self, now: Time, token: Token, out: &mut Vec<Effect>) {
        let Some(request) = self.requests.get_mut(&token) else {
            return;
        };
        let ownership = &self.ownership;
        let chosen = self.view.choose(
            &request.spec().wanted,
            &self.members.me().hall,
            &self.tunables.weights,
            &self.prefixes,
            &mut self.rng,
            |state| ownership.owner_of(&state.server.name).is_some(),
        );
        let Some(choice) = chosen else {
            let action = request.no_engine();
            return self.act(now, token, vec![action], out);
        };
        let id = ReservationId(self.rng.random());
        let actions = request.try_engine(now, choice.engine, id);
        self.reserving.insert(id, token);
        self.act(now, token, actions, out);
    }

    fn act(&mut self, now: Time, token: Token, actions: Vec<Action>, out: &mut Vec<Effect>) {
        for action in actions {
            match action {
                Action::Send(engine, ask) => {
                    if let Some(owner) = self.owner_of(&engine).cloned() {
                        self.send(owner, Message::Reserve { engine, ask }, out);
                    }
                }
                Action::Release(engine, id) => {
                    self.reserving.remove(&id);
                    self.release(now, engine, id, End::Ended, out);
                }
                Action::Start(grant) => {
                    self.reserving.remove(&grant.id);
                    self.started.insert(grant.id);
                    self.view.note_grant(&grant.engine);
                    self.note_prefix(token, &grant.engine);
                    out.push(Effect::Start { token, grant });
                }
                Action::ChooseAgain => self.choose(now, token, out),
                Action::GiveUp(refusal) => {
                    self.requests.remove(&token);
                    out.push(Effect::GiveUp { token, refusal });
                }
            }
        }
    }

    fn note_prefix(&mut self, token: Token, engine: &EngineName) {
        let Some(request) = self.requests.get(&token) else {
            return;
        };
        self.prefixes.note(request.spec().wanted.prefix, engine.clone());
    }

    pub(super) fn answer(
        &mut self,
        now: Time,
        from: Instance,
        answer: &Answer,
        out: &mut Vec<Effect>,
    ) {
        let Some(token) = self.reserving.get(&answer.id).copied() else {
            return self.release_unclaimed(from, answer, out);
        };
        let Some(request) = self.requests.get_mut(&token) else {
            return;
        };
        let actions = request.answer(now, answer);
        self.act(now, token, actions, out);
    }

    /// Releases a grant or queue place at once if no request here waits for it.
    fn release_unclaimed(&mut self, from: Instance, answer: &Answer, out: &mut Vec<Effect>) {
        let known = self.releases.contains_key(&answer.id);
        let refused = matches!(answer.verdict, Verdict::Refused { .. });
        if known || refused || self.started.contains(&answer.id) {
            return;
        }
        let (id, end) = (answer.id, End::Ended);
        for engine in self.engines_owned_by(&from.node) {
            let body = Message::Release { engine, id, end };
            self.send(from.node.clone(), body, out);
        }
    }

    fn engines_owned_by(&self, node: &NodeName) -> Vec<EngineName> {
        let owned = |name: &EngineName| self.owner_of(name) == Some(node);
        let names = self.view.iter().map(|state| state.server.name.clone());
        names.filter(|name| owned(name)).collect()
    }

    pub(super) fn not_run(
        &mut self,
        now: Time,
        token: Token,
        engine: EngineName,
        id: ReservationId,
        missing: bool,
        out: &mut Vec<Effect>,
    ) {
        let end = if missing { End::Missing } else { End::Ended };
        self.release(now, engine.clone(), id, end, out);
        let Some(request) = self.requests.get_mut(&token) else { return };
        let actions = request.not_run(engine, missing);
        self.act(now, token, actions, out);
    }

    pub(super) fn cancel(&mut self, now: Time, token: Token, out: &mut Vec<Effect>) {
        let Some(mut request) = self.requests.remove(&token) else {
            return;
        };
        let actions = request.too_late();
        let releases = actions.into_iter().filter(|a| matches!(a, Action::Release(..))).collect();
        self.act(now, token, releases, out);
    }

    pub(super) fn tick_requests(&mut self, now: Time, out: &mut Vec<Effect>) {
        let tokens: Vec<Token> = self.requests.keys().copied().collect();
        for token in tokens {
            let Some(request) = self.requests.get_mut(&token) else {
                continue;
            };
            let actions = request.tick(now);
            self.act(now, token, actions, out);
        }
    }
}
