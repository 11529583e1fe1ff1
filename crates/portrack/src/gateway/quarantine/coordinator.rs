//! Holds requests back on behalf of one node: evidence in, verdicts out.

use super::ends::{EndCheck, LostRequest, ServerEnds};
use super::fingerprint::RequestFingerprint;
use super::message::QuarantineMessage;
use super::state::{QuarantineChange, QuarantineState};
use super::suspect_requests::{SendVerdict, ServerEnd};
use crate::gateway::connections::connection::ExchangeError;
use crate::gateway::connections::pool::{AcquireError, ConnectionPool};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::view::FleetView;
use crate::store::KvStore;
use crate::types::Clock;
use prometheus::{IntCounter, IntGauge};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{Notify, futures::Notified};

/// After a connection broke, whether the server lives is asked this late: by then the system has closed its
/// idle connections too, which is found without a word to it.
const ASKED_AFTER: Duration = Duration::from_millis(50);

/// What holding requests back hangs on.
pub struct QuarantineDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// What is known of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// The daemons that are up and stay, kept up to date by others.
    pub daemons: Rc<RefCell<Daemons>>,
    /// This daemon.
    pub me: DaemonInfo,
    /// For datagrams.
    pub messenger: Rc<Messenger>,
    /// Connections to servers.
    pub pool: Rc<ConnectionPool>,
    /// The platform's store.
    pub store: Rc<dyn KvStore>,
    /// Everything counted.
    pub metrics: QuarantineMetrics,
}

/// What is counted.
pub struct QuarantineMetrics {
    /// Servers that were found ended when a request was lost there.
    pub server_ends: IntCounter,
    /// Requests held back now.
    pub held: IntGauge,
    /// Requests tried once after their hold.
    pub trials: IntCounter,
}

/// The requests that one node knows servers to have ended under.
pub struct Quarantine {
    pub(super) parts: QuarantineDeps,
    pub(super) state: RefCell<QuarantineState>,
    /// Records to be removed from the store, with their revisions.
    pub(super) released: RefCell<Vec<(RequestFingerprint, u64)>>,
    ends: RefCell<ServerEnds>,
    /// Woken when a further request is held back.
    hold_added: Notify,
}

impl Quarantine {
    /// Knows of no request yet.
    pub fn new(parts: QuarantineDeps) -> Self {
        Self {
            state: RefCell::new(QuarantineState::new(parts.me.clone())),
            parts,
            released: RefCell::default(),
            ends: RefCell::default(),
            hold_added: Notify::new(),
        }
    }

    /// True if no server is known to have ended under a request: no mark has to be made of any.
    pub fn is_empty(&self) -> bool {
        self.state.borrow().suspects().is_empty()
    }

    /// True if no request is held back.
    pub fn has_no_holds(&self) -> bool {
        self.state.borrow().suspects().has_no_holds()
    }

    /// Resolves when a further request is held back.
    pub fn hold_added(&self) -> Notified<'_> {
        self.hold_added.notified()
    }

    /// Whether a request may be sent.
    pub fn verdict(&self, mark: RequestFingerprint) -> SendVerdict {
        self.state.borrow().verdict(self.parts.clock.now(), mark)
    }

    /// A request's connection to a server broke.
    pub fn lost(self: &Rc<Self>, mark: RequestFingerprint, id: &str, backend: &Rc<Backend>) {
        if self.is_leaving(backend) {
            return;
        }
        let now = self.parts.clock.now();
        let life = backend.incarnation_hash();
        let request = LostRequest { mark, id: id.into(), at: now };
        let evidence = self.ends.borrow_mut().lost(now, life, request.clone());
        match evidence {
            EndCheck::Ended => self.count(life, &request),
            EndCheck::Pending => {}
            EndCheck::Start => {
                let (quarantine, backend) = (self.clone(), backend.clone());
                actix_rt::spawn(async move { quarantine.ask(&backend).await });
            }
        }
    }

    /// True if a server was to end anyway: it said so, or its entry went before.
    fn is_leaving(&self, backend: &Backend) -> bool {
        let view = self.parts.view.borrow();
        view.backend(&backend.id).is_none_or(|known| known.draining)
    }

    /// Finds out whether a server has ended.
    async fn ask(&self, backend: &Backend) {
        actix_rt::time::sleep(ASKED_AFTER).await;
        let life = backend.incarnation_hash();
        let has_ended = self.has_started_again(backend) || self.refuses_connections(backend).await;
        if !has_ended {
            let lost = self.ends.borrow_mut().not_ended(life);
            log::info!(server = &*backend.id, lost = lost; "server_broke_off");
            return;
        }
        let now = self.parts.clock.now();
        let lost = self.ends.borrow_mut().ended(now, life);
        self.parts.metrics.server_ends.inc();
        log::warn!(server = &*backend.id, lost = lost.len(); "server_ended");
        lost.iter().for_each(|request| self.count(life, request));
    }

    fn has_started_again(&self, backend: &Backend) -> bool {
        let view = self.parts.view.borrow();
        view.backend(&backend.id)
            .is_some_and(|known| known.incarnation_hash() != backend.incarnation_hash())
    }

    /// True if nothing listens where the server was. One that cannot be reached may only be cut off.
    async fn refuses_connections(&self, backend: &Backend) -> bool {
        match self.parts.pool.acquire(&backend.id, backend.address, usize::MAX).await {
            Ok(pooled) => {
                pooled.release();
                false
            }
            Err(AcquireError::Unreachable(ExchangeError::NotConnected { refused, .. })) => refused,
            Err(_) => false,
        }
    }

    /// Counts the end of a server under a request of this node, and tells the others.
    fn count(&self, life: u32, request: &LostRequest) {
        let now = self.parts.clock.now();
        let (mark, end) = (request.mark, ServerEnd { life, at: request.at });
        let Some(ends) = self.state.borrow_mut().ended(now, mark, end) else { return };
        log::info!(request = &*request.id, mark:% = mark, ends = ends; "server_ended_under_request");
        self.tick();
    }

    /// A server ran a request to its end and lives.
    pub fn served(&self, mark: RequestFingerprint) {
        let now = self.parts.clock.now();
        let revision = self.state.borrow_mut().served(now, mark);
        if let Some(revision) = revision {
            self.released.borrow_mut().push((mark, revision));
        }
        self.tick();
    }

    /// Takes in what another daemon tells.
    pub fn on_message(&self, message: QuarantineMessage) {
        let now = self.parts.clock.now();
        self.state.borrow_mut().hear(now, message, &self.parts.daemons.borrow());
        self.note_changes();
    }

    /// Tells what is due.
    pub fn tick(&self) {
        let now = self.parts.clock.now();
        let due = self.state.borrow_mut().due(now, &self.parts.daemons.borrow());
        for (to, message) in due {
            self.parts.messenger.send(&PeerMessage::Quarantine(message), to);
        }
        self.note_changes();
    }

    /// Tells a daemon that has just come up, or is heard again, what this one knows.
    pub fn send_snapshot(&self, to: SocketAddr) {
        for message in self.state.borrow().introduction(self.parts.clock.now()) {
            self.parts.messenger.send(&PeerMessage::Quarantine(message), to);
        }
    }

    /// Logs and counts what has changed.
    pub(super) fn note_changes(&self) {
        let changes = self.state.borrow_mut().take_changes();
        if changes.is_empty() {
            return;
        }
        let held = self.state.borrow().suspects().held_count();
        self.parts.metrics.held.set(held as i64);
        for change in changes {
            match change {
                QuarantineChange::Held(held, from) => {
                    self.hold_added.notify_waiters();
                    let left_ms = held.left.as_millis() as u64;
                    log::warn!(mark:% = held.mark, number = held.number, left_ms = left_ms, source = from.name(); "request_held");
                }
                QuarantineChange::Cleared(mark, cleared, from) => {
                    log::info!(mark:% = mark, ends = cleared.ends, was_held = cleared.was_held, source = from.name(); "request_cleared");
                }
            }
        }
    }
}
