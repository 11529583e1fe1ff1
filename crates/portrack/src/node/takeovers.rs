//! Takeovers of engines that check no fence: before anything is unloaded there, the members of the
//! hall confirm that they know the new lease holder.

use super::{Effect, Node};
use crate::membership::Scope;
use crate::owner::Event;
use crate::types::{EngineName, Fence, NodeName, Time};
use crate::wire::Message;
use std::collections::BTreeSet;
use std::time::Duration;

/// Interval between messages to members that have not answered.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

#[derive(Debug, Clone)]
pub(super) struct PendingTakeover {
    fence: Fence,
    seen: BTreeSet<NodeName>,
    next: Time,
}

impl Node {
    pub(super) fn tick_takeovers(&mut self, now: Time, out: &mut Vec<Effect>) {
        let waiting = self.owners.values().filter(|o| o.is_serving() && !o.is_cleared());
        let waiting: Vec<(EngineName, Fence)> =
            waiting.map(|owner| (owner.engine().clone(), owner.fence())).collect();
        self.pending_takeovers.retain(|engine, _| waiting.iter().any(|(e, _)| e == engine));
        for (engine, fence) in waiting {
            self.send_takeovers(now, engine, fence, out);
        }
    }

    fn send_takeovers(
        &mut self,
        now: Time,
        engine: EngineName,
        fence: Fence,
        out: &mut Vec<Effect>,
    ) {
        let hall = self.members.iter().filter(|member| member.scope == Scope::Hall);
        let hall: Vec<NodeName> = hall.map(|member| member.peer.node.clone()).collect();
        let fresh = PendingTakeover { fence, seen: BTreeSet::new(), next: now };
        let pending = self.pending_takeovers.entry(engine.clone()).or_insert_with(|| fresh.clone());
        if pending.fence != fence {
            *pending = fresh;
        }
        let missing: Vec<NodeName> =
            hall.into_iter().filter(|node| !pending.seen.contains(node)).collect();
        if missing.is_empty() {
            return self.engine_event(now, &engine, Event::Cleared, out);
        }
        if now < pending.next {
            return;
        }
        pending.next = now + RETRY_INTERVAL;
        for to in missing {
            let body = Message::Takeover { engine: engine.clone(), fence };
            out.push(Effect::Send { to, body });
        }
    }

    /// Stops granting on the engine if its fence here is older, then confirms the takeover.
    pub(super) fn takeover(
        &mut self,
        now: Time,
        from: NodeName,
        engine: EngineName,
        fence: Fence,
        out: &mut Vec<Effect>,
    ) {
        let older = self.owners.get(&engine).is_some_and(|owner| owner.fence() < fence);
        if older {
            self.engine_event(now, &engine, Event::FenceRefused(fence), out);
        }
        let newer = self.owners.get(&engine).is_some_and(|owner| owner.fence() > fence);
        if !newer {
            out.push(Effect::Send { to: from, body: Message::TakeoverSeen { engine, fence } });
        }
    }

    pub(super) fn takeover_seen(&mut self, from: NodeName, engine: &EngineName, fence: Fence) {
        if let Some(pending) = self.pending_takeovers.get_mut(engine).filter(|c| c.fence == fence) {
            pending.seen.insert(from);
        }
    }
}
