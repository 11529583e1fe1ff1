//! What is to be told to which nodes, more than once: datagrams are lost.

use super::fingerprint::RequestFingerprint;
use super::message::{EndReport, HoldReport, ITEMS, QuarantineMessage};
use super::suspect_requests::{HeldRequest, ServerEnd};
use crate::gateway::fleet::recipients::Recipients;
use crate::types::Time;
use std::time::Duration;

/// Each item is told this long after it became known: a link that loses one datagram in forty loses all three
/// once in 64,000, and the last is 1.4 s before nodes in touch must know.
const TOLD_AFTER: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(400), Duration::from_millis(1_600)];

/// One thing to tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Told {
    /// A server ended under a request.
    Ended(RequestFingerprint, ServerEnd),
    /// A request is held back.
    Held(HeldRequest, Time),
    /// A request was served.
    Served(RequestFingerprint),
}

impl Told {
    /// The request.
    pub fn mark(&self) -> RequestFingerprint {
        match self {
            Self::Ended(mark, _) | Self::Served(mark) => *mark,
            Self::Held(held, _) => held.mark,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    since: Time,
    times: usize,
    audience: Recipients,
    told: Told,
}

/// What is still to be told.
#[derive(Debug, Default)]
pub struct Telling(Vec<Pending>);

impl Telling {
    /// Has something told from now on.
    pub fn add(&mut self, now: Time, audience: Recipients, told: Told) {
        // What was said before of a request that is served must not be said again.
        if matches!(told, Told::Served(_)) {
            self.forget(told.mark());
        }
        self.0.push(Pending { since: now, times: 0, audience, told });
    }

    /// Has nothing more told of a request.
    pub fn forget(&mut self, mark: RequestFingerprint) {
        self.0.retain(|pending| pending.told.mark() != mark);
    }

    /// What is due, each with its audience.
    pub fn due(&mut self, now: Time) -> Vec<(Recipients, Told)> {
        let mut due = Vec::new();
        for pending in &mut self.0 {
            let after = TOLD_AFTER[pending.times];
            if now >= pending.since + after {
                pending.times += 1;
                due.push((pending.audience, pending.told));
            }
        }
        self.0.retain(|pending| pending.times < TOLD_AFTER.len());
        due
    }
}

/// Things to tell as messages, each short enough for a datagram.
pub fn messages(now: Time, all: &[Told]) -> Vec<QuarantineMessage> {
    let (mut ended, mut held, mut served) = (Vec::new(), Vec::new(), Vec::new());
    for told in all {
        match told {
            Told::Ended(mark, end) => ended.push(end_report(now, *mark, *end)),
            Told::Held(request, since) => {
                let left = request.left.saturating_sub(now.since(*since));
                held.push(HoldReport::from(HeldRequest { left, ..*request }));
            }
            Told::Served(mark) => served.push(*mark),
        }
    }
    let ended = ended.chunks(ITEMS).map(|items| QuarantineMessage::Ended(items.to_vec()));
    let held = held.chunks(ITEMS).map(|items| QuarantineMessage::Held(items.to_vec()));
    let served = served.chunks(ITEMS).map(|items| QuarantineMessage::Served(items.to_vec()));
    ended.chain(held).chain(served).collect()
}

fn end_report(now: Time, mark: RequestFingerprint, end: ServerEnd) -> EndReport {
    let age_ms = u32::try_from(now.since(end.at).as_millis()).unwrap_or(u32::MAX);
    EndReport { mark, life: end.life, age_ms }
}
