//! Queue of announcements to other nodes. Each is sent several times, since datagrams are lost.

use super::fingerprint::{RequestFingerprint, SuspectKind};
use super::message::{
    EndReport, HoldReport, MAX_ITEMS, MAX_PART_ENDS, PartEndReport, QuarantineMessage,
};
use super::suspect_requests::{HeldRequest, ServerEnd};
use crate::gateway::fleet::recipients::Recipients;
use crate::types::Time;
use std::time::Duration;

/// Delays at which an announcement is sent. A link that loses one datagram in forty loses all three
/// once in 64,000, and the last is sent 1.4 s before all reachable nodes must know.
const SEND_DELAYS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(400), Duration::from_millis(1_600)];

/// The same for ends and answers of parts, of which there are several at each end of a server: less in one second.
const PART_SEND_DELAYS: [Duration; 2] = [Duration::ZERO, Duration::from_millis(1_100)];

/// An announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announcement {
    /// A server ended under a request.
    Ended(RequestFingerprint, ServerEnd),
    /// A request is held back; with the time at which this was known.
    Held(HeldRequest, Time),
    /// A request was served.
    Served(RequestFingerprint),
}

impl Announcement {
    /// Returns the request.
    pub fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Ended(fingerprint, _) | Self::Served(fingerprint) => *fingerprint,
            Self::Held(held, _) => held.fingerprint,
        }
    }

    fn send_delays(&self) -> &'static [Duration] {
        match self {
            Self::Ended(fingerprint, _) | Self::Served(fingerprint)
                if fingerprint.kind() == SuspectKind::Part =>
            {
                &PART_SEND_DELAYS
            }
            _ => &SEND_DELAYS,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Pending {
    since: Time,
    times: usize,
    audience: Recipients,
    announcement: Announcement,
}

/// Announcements that are still to be sent.
#[derive(Debug, Default)]
pub struct AnnouncementQueue(Vec<Pending>);

impl AnnouncementQueue {
    /// Queues an announcement.
    pub fn add(&mut self, now: Time, audience: Recipients, announcement: Announcement) {
        // Earlier announcements about a request that was served must not be repeated.
        if matches!(announcement, Announcement::Served(_)) {
            self.forget(announcement.fingerprint());
        }
        self.0.push(Pending { since: now, times: 0, audience, announcement });
    }

    /// Whether it is still to be said that a request was served.
    pub fn tells_served(&self, fingerprint: RequestFingerprint) -> bool {
        self.0.iter().any(|one| one.announcement == Announcement::Served(fingerprint))
    }

    /// Drops all announcements about a request.
    pub fn forget(&mut self, fingerprint: RequestFingerprint) {
        self.0.retain(|pending| pending.announcement.fingerprint() != fingerprint);
    }

    /// Returns the announcements that are due, with their recipients.
    pub fn due(&mut self, now: Time) -> Vec<(Recipients, Announcement)> {
        let mut due = Vec::new();
        for pending in &mut self.0 {
            let after = pending.announcement.send_delays()[pending.times];
            if now >= pending.since + after {
                pending.times += 1;
                due.push((pending.audience, pending.announcement));
            }
        }
        self.0.retain(|pending| pending.times < pending.announcement.send_delays().len());
        due
    }
}

/// Packs announcements into messages, each of which fits into a datagram.
pub fn pack_messages(now: Time, all: &[Announcement]) -> Vec<QuarantineMessage> {
    let of = |kind: SuspectKind| {
        let matching = all.iter().filter(move |one| one.fingerprint().kind() == kind);
        ReportLists::of(now, matching)
    };
    let requests = of(SuspectKind::Request);
    let parts = of(SuspectKind::Part);
    let mut messages = Vec::new();
    let request_ends: Vec<EndReport> = requests.ended.iter().map(|report| report.end).collect();
    messages.extend(chunks(&request_ends, MAX_ITEMS, QuarantineMessage::Ended));
    messages.extend(chunks(&requests.held, MAX_ITEMS, QuarantineMessage::Held));
    messages.extend(chunks(&requests.served, MAX_ITEMS, QuarantineMessage::Served));
    messages.extend(chunks(&parts.ended, MAX_PART_ENDS, QuarantineMessage::PartsEnded));
    messages.extend(chunks(&parts.held, MAX_ITEMS, QuarantineMessage::PartsHeld));
    messages.extend(chunks(&parts.served, MAX_ITEMS, QuarantineMessage::PartsServed));
    messages
}

fn chunks<T: Clone>(
    items: &[T],
    most: usize,
    message: impl Fn(Vec<T>) -> QuarantineMessage,
) -> impl Iterator<Item = QuarantineMessage> {
    items.chunks(most).map(move |items| message(items.to_vec()))
}

/// Announcements by what they tell.
#[derive(Default)]
struct ReportLists {
    ended: Vec<PartEndReport>,
    held: Vec<HoldReport>,
    served: Vec<RequestFingerprint>,
}

impl ReportLists {
    fn of<'a>(now: Time, all: impl Iterator<Item = &'a Announcement>) -> Self {
        let mut lists = Self::default();
        for announcement in all {
            match announcement {
                Announcement::Ended(fingerprint, end) => {
                    lists.ended.push(end_report(now, *fingerprint, *end));
                }
                Announcement::Held(request, since) => {
                    let remaining = request.remaining.saturating_sub(now.since(*since));
                    lists.held.push(HoldReport::from(HeldRequest { remaining, ..*request }));
                }
                Announcement::Served(fingerprint) => lists.served.push(*fingerprint),
            }
        }
        lists
    }
}

fn end_report(now: Time, fingerprint: RequestFingerprint, end: ServerEnd) -> PartEndReport {
    let millis = |span: Duration| u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
    let age_ms = millis(now.since(end.at));
    let run_ms = millis(end.at.since(end.sent.unwrap_or(Time(0))));
    let end = EndReport { fingerprint, incarnation: end.incarnation, age_ms };
    PartEndReport { end, run_ms }
}
