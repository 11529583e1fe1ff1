//! What one node knows of requests under which servers ended, and the messages it exchanges with
//! other nodes. Without sockets.

use super::announcements::{Announcement, AnnouncementQueue, pack_messages};
use super::fingerprint::{RequestFingerprint, SuspectKind};
use super::message::{EndReport, HoldReport, MAX_ITEMS, PartEndReport, QuarantineMessage};
use super::suspect_requests::{
    Cleared, CountOutcome, HeldRequest, SendVerdict, ServerEnd, SuspectRequests, Unrecorded,
};
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::recipients::{
    Recipients, is_assigned, is_first_of_hall, must_forward, record_turn, writes_record,
};
use crate::types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The source of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSource {
    /// Requests of this node.
    Requests,
    /// Another node.
    Peer,
    /// The store.
    Store,
}

impl ChangeSource {
    /// Returns the name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// A change that is reported to operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A request is held back from now on.
    Held(HeldRequest, ChangeSource),
    /// A request is no longer held back, and its counted ends are dropped.
    Cleared(RequestFingerprint, Cleared, ChangeSource),
}

/// Ends under a part of which all nodes are told, so that those that have answered it say so before it is held
/// back. Parts that most requests share rarely get that far.
const TOLD_ENDS_OF_PART: usize = 4;

/// How long each writer of a hold's record is given before the next one writes it too.
const RECORD_TURN: Duration = Duration::from_millis(400);

/// What one node knows.
#[derive(Debug)]
pub struct QuarantineState {
    me: DaemonInfo,
    suspects: SuspectRequests,
    announcements: AnnouncementQueue,
    changes: Vec<QuarantineChange>,
}

impl QuarantineState {
    /// Creates a state without requests.
    pub fn new(me: DaemonInfo) -> Self {
        Self {
            me,
            suspects: SuspectRequests::default(),
            announcements: AnnouncementQueue::default(),
            changes: Vec::new(),
        }
    }

    /// Returns the requests under which servers ended.
    pub fn suspects(&self) -> &SuspectRequests {
        &self.suspects
    }

    /// Decides whether a request may be sent.
    pub fn verdict(&self, now: Time, fingerprint: RequestFingerprint) -> SendVerdict {
        self.suspects.verdict(now, fingerprint)
    }

    /// Returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// Records the end of a server under a request of this node. Returns the ends counted under it;
    /// `None` if this end was already known.
    pub fn on_server_end(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        end: ServerEnd,
    ) -> Option<usize> {
        let counted = self.suspects.count_end(now, fingerprint, end);
        self.suspects.count_lost(fingerprint);
        if matches!(counted, CountOutcome::Known | CountOutcome::Refuted) {
            return None;
        }
        if counted == CountOutcome::Held {
            self.suspects.set_own(fingerprint);
        }
        self.announcements.add(now, Recipients::Assigned, Announcement::Ended(fingerprint, end));
        if fingerprint.kind() == SuspectKind::Request {
            self.after_count(now, fingerprint, counted);
        }
        Some(self.suspects.ends(fingerprint))
    }

    fn after_count(&mut self, now: Time, fingerprint: RequestFingerprint, counted: CountOutcome) {
        match counted {
            CountOutcome::Known | CountOutcome::Refuted | CountOutcome::Ends(0 | 1) => {}
            // Every node that serves the request must know that this clears it.
            CountOutcome::Ends(_) if fingerprint.kind() == SuspectKind::Request => {
                for end in self.suspects.ends_of(fingerprint) {
                    let ended = Announcement::Ended(fingerprint, *end);
                    self.announcements.add(now, Recipients::All, ended);
                }
            }
            CountOutcome::Ends(TOLD_ENDS_OF_PART) => {
                // An answer after the first end clears a part.
                let first = self.suspects.ends_of(fingerprint).first();
                let ended = first.map(|end| Announcement::Ended(fingerprint, *end));
                ended.into_iter().for_each(|one| self.announcements.add(now, Recipients::All, one));
            }
            CountOutcome::Ends(_) => {}
            CountOutcome::Held => self.announce_hold(now, fingerprint),
        }
    }

    fn announce_hold(&mut self, now: Time, fingerprint: RequestFingerprint) {
        let Some(held) = self.suspects.running_hold(now, fingerprint) else { return };
        self.announcements.add(now, Recipients::All, Announcement::Held(held, now));
        self.changes.push(QuarantineChange::Held(held, ChangeSource::Requests));
    }

    /// Holds back the parts of prompts for which the evidence suffices. Others than the assigned nodes miss
    /// much of it.
    pub fn hold_parts(&mut self, now: Time, daemons: &Daemons) {
        let me = &self.me;
        let judges = |part: RequestFingerprint| is_assigned(daemons, me, part.routing_key());
        for part in self.suspects.hold_parts(now, judges) {
            self.announce_hold(now, part);
        }
    }

    /// Counts a request of this node that a server answered.
    pub fn count_answer(&mut self, now: Time) {
        self.suspects.count_answer(now);
    }

    /// Records that a server ran a request of this node to its end. Returns the store's revision of
    /// its hold.
    pub fn on_served(&mut self, now: Time, fingerprint: RequestFingerprint) -> Option<u64> {
        let cleared = self.suspects.clear(now, fingerprint)?;
        let audience = match fingerprint.kind() {
            SuspectKind::Part if !cleared.was_held => Recipients::Assigned,
            _ => Recipients::All,
        };
        self.announcements.add(now, audience, Announcement::Served(fingerprint));
        self.changes.push(QuarantineChange::Cleared(fingerprint, cleared, ChangeSource::Requests));
        cleared.revision
    }

    /// Handles a message from another node.
    pub fn receive(&mut self, now: Time, message: QuarantineMessage, daemons: &Daemons) {
        match message {
            QuarantineMessage::Ended(all) => {
                all.iter().for_each(|report| self.receive_request_end(now, report, daemons));
            }
            QuarantineMessage::Held(all) => {
                all.iter().for_each(|report| self.receive_hold(now, *report, daemons));
            }
            QuarantineMessage::Served(all) => {
                all.iter().for_each(|fingerprint| self.receive_served(now, *fingerprint, daemons));
            }
            QuarantineMessage::PartsEnded(all) => {
                all.iter().for_each(|report| self.receive_part_end(now, report, daemons));
            }
            QuarantineMessage::PartsHeld(all) => {
                all.iter().for_each(|report| self.receive_hold(now, report.as_part(), daemons));
            }
            QuarantineMessage::PartsServed(all) => {
                let parts = all.iter().map(|fingerprint| fingerprint.as_part());
                parts.for_each(|part| self.receive_served(now, part, daemons));
            }
        }
    }

    fn receive_request_end(&mut self, now: Time, report: &EndReport, daemons: &Daemons) {
        let at = now - Duration::from_millis(report.age_ms.into());
        let end = ServerEnd { incarnation: report.incarnation, at, sent: None };
        self.receive_end(now, report.fingerprint, end, daemons);
    }

    fn receive_part_end(&mut self, now: Time, report: &PartEndReport, daemons: &Daemons) {
        let EndReport { fingerprint, incarnation, age_ms } = report.end;
        let at = now - Duration::from_millis(age_ms.into());
        let sent = Some(at - Duration::from_millis(report.run_ms.into()));
        let end = ServerEnd { incarnation, at, sent };
        self.receive_end(now, fingerprint.as_part(), end, daemons);
    }

    fn receive_end(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        end: ServerEnd,
        daemons: &Daemons,
    ) {
        let counted = self.suspects.count_end(now, fingerprint, end);
        if counted == CountOutcome::Refuted && !self.announcements.tells_served(fingerprint) {
            let served = Announcement::Served(fingerprint);
            self.announcements.add(now, Recipients::Assigned, served);
        }
        let routing_key = fingerprint.routing_key();
        let forwards = match fingerprint.kind() {
            SuspectKind::Request => must_forward(daemons, &self.me, routing_key),
            SuspectKind::Part => is_first_of_hall(daemons, &self.me, routing_key),
        };
        if counted == CountOutcome::Held || forwards {
            self.after_count(now, fingerprint, counted);
        }
    }

    fn receive_hold(&mut self, now: Time, report: HoldReport, daemons: &Daemons) {
        let held = HeldRequest::from(report);
        if !self.suspects.merge_hold(now, held) {
            return;
        }
        if must_forward(daemons, &self.me, report.fingerprint.routing_key()) {
            self.announcements.add(now, Recipients::All, Announcement::Held(held, now));
        }
        self.changes.push(QuarantineChange::Held(held, ChangeSource::Peer));
    }

    fn receive_served(&mut self, now: Time, fingerprint: RequestFingerprint, daemons: &Daemons) {
        self.announcements.forget(fingerprint);
        let Some(cleared) = self.suspects.clear(now, fingerprint) else { return };
        let is_forwarded = fingerprint.kind() == SuspectKind::Request || cleared.was_held;
        if is_forwarded && must_forward(daemons, &self.me, fingerprint.routing_key()) {
            self.announcements.add(now, Recipients::All, Announcement::Served(fingerprint));
        }
        self.changes.push(QuarantineChange::Cleared(fingerprint, cleared, ChangeSource::Peer));
    }

    /// Returns the messages that are due, with their addresses.
    pub fn due(&mut self, now: Time, daemons: &Daemons) -> Vec<(SocketAddr, QuarantineMessage)> {
        let mut by_address: BTreeMap<SocketAddr, Vec<Announcement>> = BTreeMap::new();
        for (audience, announcement) in self.announcements.due(now) {
            for to in
                audience.addresses(daemons, &self.me, announcement.fingerprint().routing_key())
            {
                by_address.entry(to).or_default().push(announcement);
            }
        }
        let all = by_address.into_iter();
        all.flat_map(|(to, announcements)| {
            pack_messages(now, &announcements).into_iter().map(move |m| (to, m))
        })
        .collect()
    }

    /// Returns the messages for a node that has just come up or is reachable again, and so has
    /// missed what other nodes know.
    pub fn snapshot(&self, now: Time) -> Vec<QuarantineMessage> {
        let held =
            self.suspects.running_holds(now).into_iter().map(|held| Announcement::Held(held, now));
        let ends = self
            .suspects
            .all_ends()
            .map(|(fingerprint, end)| Announcement::Ended(fingerprint, end));
        let announcements: Vec<Announcement> =
            held.take(MAX_ITEMS).chain(ends.take(MAX_ITEMS)).collect();
        pack_messages(now, &announcements)
    }

    /// Records a hold that the store has.
    pub fn on_recorded(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        number: u32,
        revision: u64,
    ) {
        if !self.suspects.on_recorded(now, fingerprint, number, revision) {
            return;
        }
        if let Some(held) = self.suspects.running_hold(now, fingerprint) {
            self.changes.push(QuarantineChange::Held(held, ChangeSource::Store));
        }
    }

    /// Records that the store no longer has a hold: operators released the request, or it was
    /// served.
    pub fn on_record_removed(&mut self, now: Time, fingerprint: RequestFingerprint) {
        if let Some(cleared) = self.suspects.on_record_removed(now, fingerprint) {
            self.announcements.forget(fingerprint);
            self.changes.push(QuarantineChange::Cleared(fingerprint, cleared, ChangeSource::Store));
        }
    }

    /// Records that this node has claimed a hold in order to try the request once.
    pub fn on_trial_claimed(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        number: u32,
        revision: u64,
    ) {
        self.suspects.on_recorded(now, fingerprint, number, revision);
        self.announce_hold(now, fingerprint);
    }

    /// Handles a restored store: its holds have to be read again.
    pub fn store_came_back(&mut self) {
        self.suspects.store_came_back();
    }

    /// Returns the holds that this node has to write to the store.
    pub fn to_record(&self, now: Time, daemons: &Daemons) -> Vec<Unrecorded> {
        let mut all = self.suspects.unrecorded();
        all.retain(|hold| self.must_record(now, hold, daemons));
        all
    }

    /// Whoever finds the last end is up; others may be needed if it cannot reach the store.
    fn must_record(&self, now: Time, hold: &Unrecorded, daemons: &Daemons) -> bool {
        let turn = record_turn(daemons, &self.me, hold.fingerprint.routing_key());
        hold.is_own || turn.is_some_and(|turn| now.since(hold.known_at) >= RECORD_TURN * turn)
    }

    /// Returns true if this node writes and removes the store's record of a request.
    pub fn keeps_record(&self, fingerprint: RequestFingerprint, daemons: &Daemons) -> bool {
        writes_record(daemons, &self.me, fingerprint.routing_key())
    }

    /// Returns the holds that this node has to remove from the store, with their revisions.
    pub fn to_remove(&self, now: Time, daemons: &Daemons) -> Vec<(RequestFingerprint, u64)> {
        let mut all = self.suspects.expired_holds(now);
        all.retain(|(fingerprint, _)| self.keeps_record(*fingerprint, daemons));
        all
    }

    /// Drops ends that have expired.
    pub fn sweep(&mut self, now: Time) {
        self.suspects.sweep(now);
    }
}
