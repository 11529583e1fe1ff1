//! Load permits: requested from the region's planner, and issued if this node is the planner.

use super::{Effect, Node};
use crate::owner::Event;
use crate::types::{NodeName, Time};
use crate::wire::{Message, PermitAsk, PermitRef};

/// Planners notified of a returned permit: the first and its stand-in.
const PLANNERS_NOTIFIED: usize = 2;

impl Node {
    pub(super) fn request_permit(&mut self, now: Time, ask: PermitAsk, out: &mut Vec<Effect>) {
        let ranked = self.members.planners();
        if let Some(planner) = self.planners.choose(now, &ranked) {
            self.send(planner, Message::PermitAsk(ask), out);
        }
    }

    /// Returns a permit to every planner that may have issued it.
    pub(super) fn return_permit(&mut self, load: &PermitRef, out: &mut Vec<Effect>) {
        for planner in self.members.planners().into_iter().take(PLANNERS_NOTIFIED) {
            self.send(planner, Message::PermitDone(load.clone()), out);
        }
    }

    pub(super) fn permit_ask(
        &mut self,
        now: Time,
        from: NodeName,
        ask: PermitAsk,
        out: &mut Vec<Effect>,
    ) {
        let load = ask.load.clone();
        let granted = self.planner.ask(now, from.clone(), ask);
        if !granted.iter().any(|(to, given)| *to == from && *given == load) {
            self.send(from, Message::PermitSeen(load), out);
        }
        self.send_permits(granted, out);
    }

    pub(super) fn permit_done(&mut self, now: Time, load: &PermitRef, out: &mut Vec<Effect>) {
        let granted = self.planner.done(now, load);
        self.send_permits(granted, out);
    }

    pub(super) fn tick_planner(&mut self, now: Time, out: &mut Vec<Effect>) {
        let granted = self.planner.plan(now);
        self.send_permits(granted, out);
    }

    fn send_permits(&mut self, granted: Vec<(NodeName, PermitRef)>, out: &mut Vec<Effect>) {
        for (to, load) in granted {
            self.send(to, Message::PermitGrant(load), out);
        }
    }

    /// Passes a permit to the owner, or returns it if the owner no longer needs it.
    pub(super) fn permit_grant(
        &mut self,
        now: Time,
        from: NodeName,
        load: PermitRef,
        out: &mut Vec<Effect>,
    ) {
        self.planners.on_reply(&from);
        let wanted = self.owners.get(&load.engine).is_some_and(|owner| owner.wants(&load.adapter));
        if !wanted {
            return self.return_permit(&load, out);
        }
        self.engine_event(now, &load.engine, Event::Permit(load.adapter), out);
    }
}
