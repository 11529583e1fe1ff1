//! Queue of requests that wait at an owner.

use super::Ask;
use crate::types::{AdapterVersion, Class, Instance, ReservationId, Time};
use std::collections::VecDeque;

/// A waiting request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The entry node.
    pub from: Instance,
    /// The latest repetition of its ask.
    pub ask: Ask,
    /// When it first arrived.
    pub since: Time,
    /// When it is refused if it is still waiting.
    pub until: Time,
    /// When its entry node last repeated the ask.
    pub renewed: Time,
}

/// One FIFO queue per class.
#[derive(Debug, Clone, Default)]
pub struct Queue {
    interactive: VecDeque<WaitingRequest>,
    background: VecDeque<WaitingRequest>,
    grants: u32,
}

impl Queue {
    fn class_queue(&mut self, class: Class) -> &mut VecDeque<WaitingRequest> {
        match class {
            Class::Interactive => &mut self.interactive,
            Class::Background => &mut self.background,
        }
    }

    /// Number of waiting requests in a class.
    pub fn len(&self, class: Class) -> usize {
        match class {
            Class::Interactive => self.interactive.len(),
            Class::Background => self.background.len(),
        }
    }

    /// Number of waiting requests in all classes.
    pub fn total(&self) -> usize {
        self.interactive.len() + self.background.len()
    }

    /// Appends a request to the queue of its class.
    pub fn push(&mut self, waiting: WaitingRequest) {
        self.class_queue(waiting.ask.class).push_back(waiting);
    }

    /// Finds the request with this reservation.
    pub fn find(&mut self, id: ReservationId) -> Option<&mut WaitingRequest> {
        let mut all = self.interactive.iter_mut().chain(self.background.iter_mut());
        all.find(|w| w.ask.id == id)
    }

    /// Removes the request with this reservation.
    pub fn remove(&mut self, id: ReservationId) -> Option<WaitingRequest> {
        for queue in [&mut self.interactive, &mut self.background] {
            if let Some(at) = queue.iter().position(|w| w.ask.id == id) {
                return queue.remove(at);
            }
        }
        None
    }

    /// Removes and returns every request for which `predicate` is true.
    pub fn remove_where(
        &mut self,
        predicate: impl Fn(&WaitingRequest) -> bool,
    ) -> Vec<WaitingRequest> {
        let mut taken = Vec::new();
        for queue in [&mut self.interactive, &mut self.background] {
            let (out, kept) = std::mem::take(queue).into_iter().partition(|w| predicate(w));
            *queue = kept;
            taken.extend::<VecDeque<WaitingRequest>>(out);
        }
        taken
    }

    /// Removes the next request whose adapter is ready. Every `background_every`th call that finds
    /// one tries the background queue first.
    pub fn next(
        &mut self,
        background_every: u32,
        ready: impl Fn(&AdapterVersion) -> bool,
    ) -> Option<WaitingRequest> {
        let background_turn = (self.grants + 1).is_multiple_of(background_every.max(1));
        let order = match background_turn {
            true => [Class::Background, Class::Interactive],
            false => [Class::Interactive, Class::Background],
        };
        for class in order {
            let queue = self.class_queue(class);
            let Some(at) = queue.iter().position(|w| ready(&w.ask.adapter)) else {
                continue;
            };
            let waiting = queue.remove(at);
            self.grants = self.grants.wrapping_add(1);
            return waiting;
        }
        None
    }

    /// All waiting requests, interactive ones first.
    pub fn iter(&self) -> impl Iterator<Item = &WaitingRequest> {
        self.interactive.iter().chain(self.background.iter())
    }
}
