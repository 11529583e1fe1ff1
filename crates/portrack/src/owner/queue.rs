//! Requests that wait at an owner.

use super::Ask;
use crate::types::{AdapterVersion, Class, Instance, ReservationId, Time};
use std::collections::VecDeque;

/// A request that waits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// The entry node.
    pub from: Instance,
    /// What it asked, in its latest repetition.
    pub ask: Ask,
    /// When it first came.
    pub since: Time,
    /// When it is refused if still waiting.
    pub until: Time,
    /// When its entry node last asked.
    pub renewed: Time,
}

/// Two bounded queues, one a class, each first come, first served.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    interactive: VecDeque<Waiting>,
    background: VecDeque<Waiting>,
    grants: u32,
}

impl Queue {
    fn of(&mut self, class: Class) -> &mut VecDeque<Waiting> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Background => &mut self.background,
        }
    }

    /// Requests that wait in a class.
    pub fn len(&self, class: Class) -> usize {
        match class {
            Class::Interactive => self.interactive.len(),
            Class::Background => self.background.len(),
        }
    }

    /// All requests that wait.
    pub fn total(&self) -> usize {
        self.interactive.len() + self.background.len()
    }

    /// Adds a request at the end of its class.
    pub fn push(&mut self, waiting: Waiting) {
        self.of(waiting.ask.class).push_back(waiting);
    }

    /// The request of this reservation.
    pub fn find(&mut self, id: ReservationId) -> Option<&mut Waiting> {
        let mut all = self.interactive.iter_mut().chain(self.background.iter_mut());
        all.find(|w| w.ask.id == id)
    }

    /// Takes the request of this reservation out.
    pub fn remove(&mut self, id: ReservationId) -> Option<Waiting> {
        for queue in [&mut self.interactive, &mut self.background] {
            if let Some(at) = queue.iter().position(|w| w.ask.id == id) {
                return queue.remove(at);
            }
        }
        None
    }

    /// Takes out every request for which `gone` holds.
    pub fn take_where(&mut self, gone: impl Fn(&Waiting) -> bool) -> Vec<Waiting> {
        let mut taken = Vec::new();
        for queue in [&mut self.interactive, &mut self.background] {
            let (out, kept) = std::mem::take(queue).into_iter().partition(|w| gone(w));
            *queue = kept;
            taken.extend::<VecDeque<Waiting>>(out);
        }
        taken
    }

    /// Takes the next request whose adapter is ready. Every `background_every`th grant looks at
    /// background work first.
    pub fn next(
        &mut self,
        background_every: u32,
        ready: impl Fn(&AdapterVersion) -> bool,
    ) -> Option<Waiting> {
        let background_turn = (self.grants + 1).is_multiple_of(background_every.max(1));
        let order = match background_turn {
            true => [Class::Background, Class::Interactive],
            false => [Class::Interactive, Class::Background],
        };
        for class in order {
            let queue = self.of(class);
            let Some(at) = queue.iter().position(|w| ready(&w.ask.adapter)) else {
                continue;
            };
            let waiting = queue.remove(at);
            self.grants = self.grants.wrapping_add(1);
            return waiting;
        }
        None
    }

    /// Every waiting request, interactive ones first.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.interactive.iter().chain(self.background.iter())
    }
}
