//! Releases of reservations, repeated until the owner confirms them.

use super::{Effect, Node};
use crate::owner::End;
use crate::types::{EngineName, ReservationId, Time};
use crate::wire::Message;
use std::time::Duration;

/// Interval between repetitions.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Repetitions before the release is left to the engine's own reports.
const MAX_RETRIES: u32 = 5;

#[derive(Debug, Clone)]
pub(super) struct PendingRelease {
    engine: EngineName,
    end: End,
    next: Time,
    left: u32,
}

impl Node {
    pub(super) fn release(
        &mut self,
        now: Time,
        engine: EngineName,
        id: ReservationId,
        end: End,
        out: &mut Vec<Effect>,
    ) {
        self.started.remove(&id);
        let next = now + RETRY_INTERVAL;
        let pending = PendingRelease { engine: engine.clone(), end, next, left: MAX_RETRIES };
        self.releases.insert(id, pending);
        self.send_release(engine, id, end, out);
    }

    fn send_release(
        &mut self,
        engine: EngineName,
        id: ReservationId,
        end: End,
        out: &mut Vec<Effect>,
    ) {
        let Some(owner) = self.owner_of(&engine).cloned() else {
            return;
        };
        self.send(owner, Message::Release { engine, id, end }, out);
    }

    pub(super) fn tick_releases(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.releases.retain(|_, release| release.left > 0);
        let mut due = Vec::new();
        for (id, release) in &mut self.releases {
            if now >= release.next {
                release.next = now + RETRY_INTERVAL;
                release.left -= 1;
                due.push((release.engine.clone(), *id, release.end));
            }
        }
        for (engine, id, end) in due {
            self.send_release(engine, id, end, out);
        }
    }
}
