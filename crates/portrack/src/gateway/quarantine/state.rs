//! What one node knows of requests that servers ended under, and tells the others. Without sockets.

use super::fingerprint::RequestFingerprint;
use super::message::{EndReport, HoldReport, ITEMS, QuarantineMessage};
use super::suspect_requests::{
    Cleared, CountOutcome, HeldRequest, SendVerdict, ServerEnd, SuspectRequests, Unrecorded,
};
use super::telling::{Telling, Told, messages};
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::recipients::{Recipients, must_forward, writes_record};
use crate::types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Whom a change was learned from.
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
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Requests => "requests",
            Self::Peer => "peer",
            Self::Store => "store",
        }
    }
}

/// A change that operators want to know of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A request is held back from now on.
    Held(HeldRequest, ChangeSource),
    /// It is not, and nothing is counted under it any more.
    Cleared(RequestFingerprint, Cleared, ChangeSource),
}

/// What one node knows.
#[derive(Debug)]
pub struct QuarantineState {
    me: DaemonInfo,
    suspects: SuspectRequests,
    telling: Telling,
    changes: Vec<QuarantineChange>,
}

impl QuarantineState {
    /// Knows of no request yet.
    pub fn new(me: DaemonInfo) -> Self {
        Self {
            me,
            suspects: SuspectRequests::default(),
            telling: Telling::default(),
            changes: Vec::new(),
        }
    }

    /// The requests that servers ended under.
    pub fn suspects(&self) -> &SuspectRequests {
        &self.suspects
    }

    /// Whether a request may be sent.
    pub fn verdict(&self, now: Time, mark: RequestFingerprint) -> SendVerdict {
        self.suspects.verdict(now, mark)
    }

    /// What has changed since the last look.
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        std::mem::take(&mut self.changes)
    }

    /// A server ended under a request of this node. Returns the ends counted under it; `None` if this one
    /// was known.
    pub fn ended(&mut self, now: Time, mark: RequestFingerprint, end: ServerEnd) -> Option<usize> {
        let counted = self.suspects.count(now, mark, end);
        if counted == CountOutcome::Known {
            return None;
        }
        self.telling.add(now, Recipients::Assigned, Told::Ended(mark, end));
        self.conclude(now, mark, counted);
        Some(self.suspects.ends(mark))
    }

    fn conclude(&mut self, now: Time, mark: RequestFingerprint, counted: CountOutcome) {
        match counted {
            CountOutcome::Known | CountOutcome::Ends(0 | 1) => {}
            // Whoever serves it must know that this clears it.
            CountOutcome::Ends(_) => {
                for end in self.suspects.ends_of(mark) {
                    self.telling.add(now, Recipients::All, Told::Ended(mark, *end));
                }
            }
            CountOutcome::Held => self.tell_held(now, mark),
        }
    }

    fn tell_held(&mut self, now: Time, mark: RequestFingerprint) {
        let Some(held) = self.suspects.held_request(now, mark) else { return };
        self.telling.add(now, Recipients::All, Told::Held(held, now));
        self.changes.push(QuarantineChange::Held(held, ChangeSource::Requests));
    }

    /// A server ran a request of this node to its end and lives. Returns the store's revision of its hold.
    pub fn served(&mut self, now: Time, mark: RequestFingerprint) -> Option<u64> {
        let cleared = self.suspects.clear(mark)?;
        self.telling.add(now, Recipients::All, Told::Served(mark));
        self.changes.push(QuarantineChange::Cleared(mark, cleared, ChangeSource::Requests));
        cleared.revision
    }

    /// Takes in what another node tells.
    pub fn hear(&mut self, now: Time, message: QuarantineMessage, daemons: &Daemons) {
        match message {
            QuarantineMessage::Ended(all) => {
                all.iter().for_each(|report| self.hear_ended(now, report, daemons));
            }
            QuarantineMessage::Held(all) => {
                all.iter().for_each(|report| self.hear_held(now, *report, daemons));
            }
            QuarantineMessage::Served(all) => {
                all.iter().for_each(|mark| self.hear_served(now, *mark, daemons));
            }
        }
    }

    fn hear_ended(&mut self, now: Time, report: &EndReport, daemons: &Daemons) {
        let at = now - Duration::from_millis(report.age_ms.into());
        let end = ServerEnd { life: report.life, at };
        let counted = self.suspects.count(now, report.mark, end);
        if counted == CountOutcome::Held
            || must_forward(daemons, &self.me, report.mark.routing_key())
        {
            self.conclude(now, report.mark, counted);
        }
    }

    fn hear_held(&mut self, now: Time, report: HoldReport, daemons: &Daemons) {
        let held = HeldRequest::from(report);
        if !self.suspects.hear(now, held) {
            return;
        }
        if must_forward(daemons, &self.me, report.mark.routing_key()) {
            self.telling.add(now, Recipients::All, Told::Held(held, now));
        }
        self.changes.push(QuarantineChange::Held(held, ChangeSource::Peer));
    }

    fn hear_served(&mut self, now: Time, mark: RequestFingerprint, daemons: &Daemons) {
        self.telling.forget(mark);
        let Some(cleared) = self.suspects.clear(mark) else { return };
        if must_forward(daemons, &self.me, mark.routing_key()) {
            self.telling.add(now, Recipients::All, Told::Served(mark));
        }
        self.changes.push(QuarantineChange::Cleared(mark, cleared, ChangeSource::Peer));
    }

    /// What is to be told now, and where.
    pub fn due(&mut self, now: Time, daemons: &Daemons) -> Vec<(SocketAddr, QuarantineMessage)> {
        let mut by_address: BTreeMap<SocketAddr, Vec<Told>> = BTreeMap::new();
        for (audience, told) in self.telling.due(now) {
            for to in audience.addresses(daemons, &self.me, told.mark().routing_key()) {
                by_address.entry(to).or_default().push(told);
            }
        }
        let all = by_address.into_iter();
        all.flat_map(|(to, told)| messages(now, &told).into_iter().map(move |m| (to, m))).collect()
    }

    /// What a node is told that has just come up, or is heard again: it has missed what the others know.
    pub fn introduction(&self, now: Time) -> Vec<QuarantineMessage> {
        let held = self.suspects.held(now).into_iter().map(|held| Told::Held(held, now));
        let ends = self.suspects.all_ends().map(|(mark, end)| Told::Ended(mark, end));
        let told: Vec<Told> = held.take(ITEMS).chain(ends.take(ITEMS)).collect();
        messages(now, &told)
    }

    /// The store has a hold.
    pub fn recorded(&mut self, now: Time, mark: RequestFingerprint, number: u32, revision: u64) {
        if !self.suspects.recorded(now, mark, number, revision) {
            return;
        }
        if let Some(held) = self.suspects.held_request(now, mark) {
            self.changes.push(QuarantineChange::Held(held, ChangeSource::Store));
        }
    }

    /// The store has a hold no more: operators let the request go, or it was served.
    pub fn record_gone(&mut self, mark: RequestFingerprint) {
        if let Some(cleared) = self.suspects.record_gone(mark) {
            self.telling.forget(mark);
            self.changes.push(QuarantineChange::Cleared(mark, cleared, ChangeSource::Store));
        }
    }

    /// This node has claimed a hold of which it tries the request once.
    pub fn claimed(&mut self, now: Time, mark: RequestFingerprint, number: u32, revision: u64) {
        self.suspects.recorded(now, mark, number, revision);
        self.tell_held(now, mark);
    }

    /// The store came back from a copy, and what it has is to be learned anew.
    pub fn store_came_back(&mut self) {
        self.suspects.store_came_back();
    }

    /// Holds that this node has to write to the store.
    pub fn to_record(&self, daemons: &Daemons) -> Vec<Unrecorded> {
        let mut all = self.suspects.unrecorded();
        all.retain(|hold| self.keeps_record(hold.mark, daemons));
        all
    }

    /// True if this node writes and removes the store's record of a request.
    pub fn keeps_record(&self, mark: RequestFingerprint, daemons: &Daemons) -> bool {
        writes_record(daemons, &self.me, mark.routing_key())
    }

    /// Holds that this node has to remove from the store, with their revisions.
    pub fn to_remove(&self, now: Time, daemons: &Daemons) -> Vec<(RequestFingerprint, u64)> {
        let mut all = self.suspects.outlived(now);
        all.retain(|(mark, _)| self.keeps_record(*mark, daemons));
        all
    }

    /// Forgets what counts no more.
    pub fn sweep(&mut self, now: Time) {
        self.suspects.sweep(now);
    }
}
