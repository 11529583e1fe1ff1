//! Runs the quarantine of one node: collects evidence and decides whether requests may be sent.

use super::ends::{EndCheck, LostRequest, ServerEnds};
use super::fingerprint::RequestFingerprint;
use super::message::QuarantineMessage;
use super::parts::{PromptPart, SUSPECT_ENDS};
use super::state::{QuarantineChange, QuarantineState};
use super::suspect_requests::{SendVerdict, ServerEnd};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::tunnels::connecting::{LOOK_DELAY, ServerConnections};
use crate::store::KvStore;
use crate::types::{Clock, Time};
use prometheus::{IntCounter, IntGauge};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, futures::Notified};

/// Interval between looks at the evidence against parts of prompts.
const PARTS_INTERVAL: Duration = Duration::from_millis(100);

/// What a [`Quarantine`] is built from.
pub struct QuarantineDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// This node's view of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// The daemons that are up and not leaving, kept up to date by other tasks.
    pub daemons: Rc<RefCell<Daemons>>,
    /// This daemon.
    pub me: DaemonInfo,
    /// Sends datagrams.
    pub messenger: Rc<Messenger>,
    /// Connections to servers.
    pub connections: Rc<ServerConnections>,
    /// The platform's store.
    pub store: Rc<dyn KvStore>,
    /// The metrics.
    pub metrics: QuarantineMetrics,
}

/// The metrics of the quarantine.
pub struct QuarantineMetrics {
    /// Servers that had ended when a request was lost there.
    pub server_ends: IntCounter,
    /// Requests currently held back.
    pub held: IntGauge,
    /// Requests tried once after their hold.
    pub trials: IntCounter,
}

/// The requests under which this node knows servers to have ended.
pub struct Quarantine {
    pub(super) deps: QuarantineDeps,
    pub(super) state: RefCell<QuarantineState>,
    /// Records to remove from the store, with their revisions.
    pub(super) records_to_remove: RefCell<Vec<(RequestFingerprint, u64)>>,
    ends: RefCell<ServerEnds>,
    /// Notified when another request is held back.
    hold_added: Notify,
    /// Notified when it is known whether a server has ended.
    end_checked: Notify,
    parts_checked_at: Cell<Option<Time>>,
}

impl Quarantine {
    /// Creates a quarantine without requests.
    pub fn new(deps: QuarantineDeps) -> Self {
        Self {
            state: RefCell::new(QuarantineState::new(deps.me.clone())),
            deps,
            records_to_remove: RefCell::default(),
            ends: RefCell::default(),
            hold_added: Notify::new(),
            end_checked: Notify::new(),
            parts_checked_at: Cell::new(None),
        }
    }

    /// Returns true if no server is known to have ended under a request, so that no fingerprint has
    /// to be computed.
    pub fn is_empty(&self) -> bool {
        self.state.borrow().suspects().is_empty()
    }

    /// Returns true if no request is held back.
    pub fn has_no_holds(&self) -> bool {
        self.state.borrow().suspects().has_no_holds()
    }

    /// Resolves when another request is held back.
    pub fn hold_added(&self) -> Notified<'_> {
        self.hold_added.notified()
    }

    /// Returns true if several servers have ended under one of the parts.
    pub fn suspects_any(&self, parts: &[PromptPart]) -> bool {
        let state = self.state.borrow();
        parts.iter().any(|part| state.suspects().ends(part.fingerprint) >= SUSPECT_ENDS)
    }

    /// Resolves when no server that broke off is left to be looked at.
    pub async fn until_ends_are_checked(&self) {
        loop {
            let end_checked = self.end_checked.notified();
            if !self.ends.borrow().is_checking() {
                return;
            }
            end_checked.await;
        }
    }

    /// Decides whether a request may be sent.
    pub fn verdict(&self, fingerprint: RequestFingerprint) -> SendVerdict {
        self.state.borrow().verdict(self.deps.clock.now(), fingerprint)
    }

    /// Handles a broken connection between a request and a server.
    pub fn lost(self: &Rc<Self>, request: LostRequest, backend: &Rc<Backend>) {
        if self.deps.view.borrow().is_draining_or_removed(&backend.id) {
            return;
        }
        let incarnation = self.ends.borrow().running(backend.incarnation_hash(), request.sent);
        let check = self.ends.borrow_mut().add_lost(request.at, incarnation, request.clone());
        match check {
            EndCheck::Ended => self.record_end(incarnation, &request),
            EndCheck::Pending => {}
            EndCheck::Start => {
                let (quarantine, backend) = (self.clone(), backend.clone());
                actix_rt::spawn(async move { quarantine.check_alive(&backend, incarnation).await });
            }
        }
    }

    /// Checks whether an incarnation of a server has ended.
    async fn check_alive(&self, backend: &Backend, incarnation: u32) {
        actix_rt::time::sleep(LOOK_DELAY).await;
        let has_restarted = incarnation == backend.incarnation_hash()
            && self.deps.view.borrow().has_restarted(backend);
        let has_ended = has_restarted || self.deps.connections.refuses(backend).await;
        if !has_ended {
            let lost = self.ends.borrow_mut().dismiss(incarnation);
            self.end_checked.notify_waiters();
            log::info!(server = &*backend.id, lost = lost; "server_broke_off");
            return;
        }
        let now = self.deps.clock.now();
        let lost = self.ends.borrow_mut().confirm_end(now, incarnation);
        self.deps.metrics.server_ends.inc();
        log::warn!(server = &*backend.id, lost = lost.len(); "server_ended");
        lost.iter().for_each(|request| self.record_end(incarnation, request));
        self.parts_checked_at.set(None);
        self.tick();
        self.end_checked.notify_waiters();
    }

    /// Counts the end of a server under a request of this node, and under the parts of its prompt, and notifies
    /// the other nodes.
    fn record_end(&self, incarnation: u32, request: &LostRequest) {
        let now = self.deps.clock.now();
        let fingerprint = request.fingerprint;
        let end = ServerEnd { incarnation, at: request.at, sent: None };
        let counted = self.state.borrow_mut().on_server_end(now, fingerprint, end);
        match counted {
            Some(ends) => {
                log::info!(request = &*request.id, mark:% = fingerprint, incarnation = incarnation, ends = ends; "server_ended_under_request");
            }
            None => {
                log::info!(request = &*request.id, mark:% = fingerprint, incarnation = incarnation; "server_end_known");
            }
        }
        let end = ServerEnd { sent: Some(request.sent), ..end };
        for part in request.parts.iter() {
            let counted = self.state.borrow_mut().on_server_end(now, part.fingerprint, end);
            if let Some(ends) = counted.filter(|ends| *ends > 1) {
                log::info!(request = &*request.id, mark:% = part.fingerprint, part:% = format_args!("{:x}", part.id), ends = ends; "server_ended_under_part");
            }
        }
        self.tick();
    }

    /// Handles a request that a server ran to its end.
    pub fn served(&self, fingerprint: RequestFingerprint) {
        self.clear(self.deps.clock.now(), fingerprint);
        self.tick();
    }

    /// Handles a request of which a server has answered so much that the parts of its prompt crash no servers.
    /// `is_first` tells whether this was not known of the request before.
    pub fn answered(&self, parts: &[PromptPart], is_first: bool) {
        let now = self.deps.clock.now();
        if is_first {
            self.state.borrow_mut().count_answer(now);
        }
        parts.iter().for_each(|part| self.clear(now, part.fingerprint));
        self.tick();
    }

    fn clear(&self, now: Time, fingerprint: RequestFingerprint) {
        let revision = self.state.borrow_mut().on_served(now, fingerprint);
        if let Some(revision) = revision {
            self.records_to_remove.borrow_mut().push((fingerprint, revision));
        }
    }

    /// Handles a message from another daemon.
    pub fn on_message(&self, message: QuarantineMessage) {
        let now = self.deps.clock.now();
        self.learn_ends(now, &message);
        self.state.borrow_mut().receive(now, message, &self.deps.daemons.borrow());
        self.report_changes();
    }

    fn learn_ends(&self, now: Time, message: &QuarantineMessage) {
        let mut ends = self.ends.borrow_mut();
        for report in message.ends() {
            let age = Duration::from_millis(report.age_ms.into());
            ends.learn_end(report.incarnation, now - age);
        }
    }

    /// Sends the messages that are due.
    pub fn tick(&self) {
        let now = self.deps.clock.now();
        self.hold_parts(now);
        let due = self.state.borrow_mut().due(now, &self.deps.daemons.borrow());
        for (to, message) in due {
            self.deps.messenger.send(&PeerMessage::Quarantine(message), to);
        }
        self.report_changes();
    }

    fn hold_parts(&self, now: Time) {
        let last = self.parts_checked_at.get();
        if last.is_none_or(|last| now.since(last) >= PARTS_INTERVAL) {
            self.parts_checked_at.set(Some(now));
            self.state.borrow_mut().hold_parts(now, &self.deps.daemons.borrow());
        }
    }

    /// Sends the full state to a daemon that has just come up or is reachable again.
    pub fn send_snapshot(&self, to: SocketAddr) {
        for message in self.state.borrow().snapshot(self.deps.clock.now()) {
            self.deps.messenger.send(&PeerMessage::Quarantine(message), to);
        }
    }

    /// Logs and counts changes.
    pub(super) fn report_changes(&self) {
        let changes = self.state.borrow_mut().take_changes();
        if changes.is_empty() {
            return;
        }
        let held = self.state.borrow().suspects().held_count();
        self.deps.metrics.held.set(held as i64);
        for change in changes {
            match change {
                QuarantineChange::Held(held, from) => {
                    self.hold_added.notify_waiters();
                    let left_ms = held.remaining.as_millis() as u64;
                    log::warn!(mark:% = held.fingerprint, number = held.number, left_ms = left_ms, source = from.name(); "request_held");
                }
                QuarantineChange::Cleared(fingerprint, cleared, from) => {
                    log::info!(mark:% = fingerprint, ends = cleared.ends, was_held = cleared.was_held, source = from.name(); "request_cleared");
                }
            }
        }
    }
}
