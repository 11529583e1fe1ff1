//! Servers that report in responses that they are leaving. They stay so for the rest of their
//! incarnation, whatever their entries say.

use super::announcements::AnnouncementQueue;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::recipients::must_forward;
use crate::gateway::fleet::view::{FleetView, ViewChange};
use crate::types::Clock;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Servers per datagram: at most five bytes each.
const SERVERS_PER_DATAGRAM: usize = 200;

/// Who reported that a server is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The server, in a response to this daemon.
    Answer,
    /// Another daemon, which learned it from the server or from its entry.
    Peer,
}

impl LeavingSource {
    /// The name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer_word",
        }
    }
}

/// Dependencies of [`LeavingServers`].
pub struct LeavingDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// The view of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// Sends datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// The daemons that are up and not leaving, kept up to date by others.
    pub daemons: Rc<RefCell<Daemons>>,
}

/// Records leaving servers in the view, and informs other daemons.
pub struct LeavingServers {
    deps: LeavingDeps,
    announcements: RefCell<AnnouncementQueue>,
    /// Changes of the view that were not handled yet.
    changes: RefCell<Vec<(ViewChange, LeavingSource)>>,
    changed: Notify,
}

impl LeavingServers {
    /// Starts without any reports.
    pub fn new(deps: LeavingDeps) -> Self {
        let (announcements, changes) = (RefCell::default(), RefCell::default());
        Self { deps, announcements, changes, changed: Notify::new() }
    }

    /// Records that an incarnation of a server is leaving. The view reflects it at once, so nothing
    /// more is sent there.
    pub fn mark_leaving(&self, id: &str, server: u32, source: LeavingSource) {
        let changes = self.deps.view.borrow_mut().mark_draining(id, server);
        if changes.is_empty() {
            return;
        }
        let all = changes.into_iter().map(|change| (change, source));
        self.changes.borrow_mut().extend(all);
        self.changed.notify_one();
        let forwards = || must_forward(&self.deps.daemons.borrow(), &self.deps.me, server.into());
        if source == LeavingSource::Answer || forwards() {
            self.announcements.borrow_mut().add(self.deps.clock.now(), server);
            self.tick();
        }
    }

    /// Applies a message of another daemon; unknown servers are ignored.
    pub fn on_message(&self, hashes: &[u32]) {
        let known: Vec<(Rc<str>, u32)> = {
            let view = self.deps.view.borrow();
            let reported =
                view.backends().filter(|backend| hashes.contains(&backend.incarnation_hash()));
            reported.map(|backend| (backend.id.clone(), backend.incarnation_hash())).collect()
        };
        known.iter().for_each(|(id, server)| self.mark_leaving(id, *server, LeavingSource::Peer));
    }

    /// Waits until the view has changed, and returns the changes.
    pub async fn changes(&self) -> Vec<(ViewChange, LeavingSource)> {
        self.changed.notified().await;
        self.changes.take()
    }

    /// Sends the announcements that are due.
    pub fn tick(&self) {
        let (now, daemons) = (self.deps.clock.now(), self.deps.daemons.borrow());
        let due = self.announcements.borrow_mut().due_by_address(now, &daemons, &self.deps.me);
        due.into_iter().for_each(|(to, hashes)| self.send_hashes(&hashes, to));
    }

    /// Sends all leaving servers to a daemon that has just come up or come back: their entries may
    /// not say so.
    pub fn send_snapshot(&self, to: SocketAddr) {
        let view = self.deps.view.borrow();
        let leaving = view.backends().filter(|backend| backend.draining);
        self.send_hashes(
            &leaving.map(|backend| backend.incarnation_hash()).collect::<Vec<u32>>(),
            to,
        );
    }

    fn send_hashes(&self, hashes: &[u32], to: SocketAddr) {
        for chunk in hashes.chunks(SERVERS_PER_DATAGRAM) {
            self.deps.messenger.send(&PeerMessage::Leaving(chunk.to_vec()), to);
        }
    }

    /// Applies a server's response to any call.
    pub fn on_response(&self, backend: &Backend, leaving: bool) {
        if leaving {
            self.mark_leaving(&backend.id, backend.incarnation_hash(), LeavingSource::Answer);
        }
    }
}
