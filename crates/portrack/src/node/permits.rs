//! Load permits: asked of the region's planner, or given if this node is it.

use super::{Effect, Node};
use crate::owner::Event;
use crate::types::{NodeName, Time};
use crate::wire::{Message, PermitAsk, PermitRef};

impl Node {
    pub(super) fn send_to_planner(&mut self, body: Message, out: &mut Vec<Effect>) {
        if let Some(planner) = self.members.planner().cloned() {
            self.send(planner, body, out);
        }
    }

    pub(super) fn permit_ask(
        &mut self,
        now: Time,
        from: NodeName,
        ask: PermitAsk,
        out: &mut Vec<Effect>,
    ) {
        let granted = self.planner.ask(now, from, ask);
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

    /// A permit that the owner has no use for any more goes straight back.
    pub(super) fn permit_grant(&mut self, now: Time, load: PermitRef, out: &mut Vec<Effect>) {
        let wanted = self.owners.get(&load.engine).is_some_and(|owner| owner.wants(&load.adapter));
        if !wanted {
            return self.send_to_planner(Message::PermitDone(load), out);
        }
        self.engine_event(now, &load.engine, Event::Permit(load.adapter), out);
    }
}
