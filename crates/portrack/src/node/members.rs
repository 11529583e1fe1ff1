//! Sends and handles heartbeats, loads and holdings.

use super::{Effect, Node};
use crate::membership::Scope;
use crate::owner::Load;
use crate::types::{EngineName, Instance, NodeName, Time};
use crate::wire::{Heartbeat, MemberState, Message};

/// Largest number of loads in one datagram.
const LOADS_PER_DATAGRAM: usize = 24;

impl Node {
    pub(super) fn heartbeat(&mut self, now: Time, out: &mut Vec<Effect>) {
        let due = self.members.tick(now);
        if !due.is_empty() {
            self.send_heartbeats(now, due, out);
        }
        self.keeper.members(now, self.members.by_hall());
    }

    fn send_heartbeats(&mut self, now: Time, due: Vec<NodeName>, out: &mut Vec<Effect>) {
        let all = self.own_loads(now);
        let remote = |node: &NodeName| {
            self.members.get(node).is_some_and(|member| member.scope != Scope::Hall)
        };
        let (remote, near): (Vec<_>, Vec<_>) = due.into_iter().partition(remote);
        if !near.is_empty() {
            let changed = self.reported_loads.changed_loads(&all);
            self.send_loads(near, changed, out);
        }
        self.send_loads(remote, all, out);
    }

    fn send_loads(&mut self, due: Vec<NodeName>, loads: Vec<Load>, out: &mut Vec<Effect>) {
        let mut parts = loads.chunks(LOADS_PER_DATAGRAM).map(<[Load]>::to_vec);
        let bare = Heartbeat {
            state: self.members.state(),
            settings: self.mark,
            platform: self.platform,
            suspects: self.members.suspects(),
            loads: Vec::new(),
        };
        let full = Heartbeat { loads: parts.next().unwrap_or_default(), ..bare.clone() };
        let rest: Vec<Vec<Load>> = parts.collect();
        for node in due {
            let far = self.members.get(&node).is_some_and(|m| m.scope == Scope::Far);
            let heartbeat = if far { bare.clone() } else { full.clone() };
            out.push(Effect::Send { to: node.clone(), body: Message::Heartbeat(heartbeat) });
            if far {
                continue;
            }
            for part in &rest {
                out.push(Effect::Send { to: node.clone(), body: Message::Loads(part.clone()) });
            }
        }
    }

    /// Returns the loads of the owned engines and updates this node's view with them.
    fn own_loads(&mut self, now: Time) -> Vec<Load> {
        let loads: Vec<Load> = self.owners.values().map(|owner| owner.load(now)).collect();
        for load in &loads {
            self.view.load(now, &self.me.node, load.clone());
        }
        loads
    }

    pub(super) fn on_heartbeat(
        &mut self,
        now: Time,
        from: &Instance,
        heartbeat: Heartbeat,
        out: &mut Vec<Effect>,
    ) {
        if !self.members.heard(now, from, &heartbeat) {
            return;
        }
        if heartbeat.state == MemberState::Leaving {
            self.update_owners(now, out);
        }
        self.take_loads(now, &from.node, heartbeat.loads, out);
    }

    pub(super) fn take_loads(
        &mut self,
        now: Time,
        from: &NodeName,
        loads: Vec<Load>,
        out: &mut Vec<Effect>,
    ) {
        for load in loads {
            let engine = load.engine.clone();
            if self.owners.contains_key(&engine) {
                continue;
            }
            if self.view.load(now, from, load) {
                let body = Message::HoldingsAsk(engine);
                out.push(Effect::Send { to: from.clone(), body });
            }
        }
    }

    pub(super) fn send_holdings(&self, to: &NodeName, engine: &EngineName, out: &mut Vec<Effect>) {
        let Some(owner) = self.owners.get(engine) else {
            return;
        };
        out.push(Effect::Send { to: to.clone(), body: Message::Holdings(owner.holdings()) });
    }

    /// Sends the holdings of owned engines that changed to all reachable members of the region.
    pub(super) fn push_holdings(&mut self, now: Time, out: &mut Vec<Effect>) {
        let mut changed = Vec::new();
        for (engine, owner) in &self.owners {
            let version = owner.holdings_version();
            if self.sent_holdings.get(engine) != Some(&version) {
                self.sent_holdings.insert(engine.clone(), version);
                changed.push((owner.load(now), owner.holdings()));
            }
        }
        for (load, holdings) in changed {
            self.view.load(now, &self.me.node, load);
            self.view.holdings(holdings.clone());
            for member in self.members.iter() {
                if member.scope <= Scope::Region && member.is_reachable() {
                    let to = member.peer.node.clone();
                    out.push(Effect::Send { to, body: Message::Holdings(holdings.clone()) });
                }
            }
        }
    }

    pub(super) fn leave(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.members.leave();
        self.update_owners(now, out);
        let members: Vec<NodeName> =
            self.members.iter().map(|member| member.peer.node.clone()).collect();
        self.send_heartbeats(now, members, out);
    }
}
