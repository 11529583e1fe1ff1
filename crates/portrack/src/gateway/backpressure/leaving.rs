//! Servers that say in their answers that they leave: for the rest of their lives, whatever their entries say.

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

/// Servers in one datagram: five bytes each at most.
const MARKS: usize = 200;

/// Who said that a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeavingSource {
    /// The server, in an answer to this daemon.
    Answer,
    /// Another daemon, which knows it of the server or of its entry.
    Peer,
}

impl LeavingSource {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer_word",
        }
    }
}

/// What the word of leaving servers hangs on.
pub struct LeavingDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// What is known of the fleet.
    pub view: Rc<RefCell<FleetView>>,
    /// For datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// The daemons that are up and stay, kept up to date by others.
    pub daemons: Rc<RefCell<Daemons>>,
}

/// Takes the word of leaving servers into the view, and tells the others.
pub struct LeavingServers {
    parts: LeavingDeps,
    telling: RefCell<AnnouncementQueue>,
    /// What has changed in the view and was not followed up yet.
    changes: RefCell<Vec<(ViewChange, LeavingSource)>>,
    changed: Notify,
}

impl LeavingServers {
    /// Nothing heard yet.
    pub fn new(parts: LeavingDeps) -> Self {
        let (telling, changes) = (RefCell::default(), RefCell::default());
        Self { parts, telling, changes, changed: Notify::new() }
    }

    /// A life of a server leaves. The view knows from here on, so nothing more is sent there.
    pub fn hear(&self, id: &str, server: u32, source: LeavingSource) {
        let changes = self.parts.view.borrow_mut().mark_draining(id, server);
        if changes.is_empty() {
            return;
        }
        let all = changes.into_iter().map(|change| (change, source));
        self.changes.borrow_mut().extend(all);
        self.changed.notify_one();
        let passes = || must_forward(&self.parts.daemons.borrow(), &self.parts.me, server.into());
        if source == LeavingSource::Answer || passes() {
            self.telling.borrow_mut().add(self.parts.clock.now(), server);
            self.tick();
        }
    }

    /// Takes in what another daemon tells; servers that are not known here are passed over.
    pub fn on_message(&self, marks: &[u32]) {
        let known: Vec<(Rc<str>, u32)> = {
            let view = self.parts.view.borrow();
            let told =
                view.backends().filter(|backend| marks.contains(&backend.incarnation_hash()));
            told.map(|backend| (backend.id.clone(), backend.incarnation_hash())).collect()
        };
        known.iter().for_each(|(id, server)| self.hear(id, *server, LeavingSource::Peer));
    }

    /// Waits until something has changed in the view, and takes it.
    pub async fn changes(&self) -> Vec<(ViewChange, LeavingSource)> {
        self.changed.notified().await;
        self.changes.take()
    }

    /// Tells what is due.
    pub fn tick(&self) {
        let (now, daemons) = (self.parts.clock.now(), self.parts.daemons.borrow());
        let due = self.telling.borrow_mut().due_by_address(now, &daemons, &self.parts.me);
        due.into_iter().for_each(|(to, marks)| self.tell(&marks, to));
    }

    /// Tells a daemon that has just come up, or is heard again, which servers leave: their entries may not say so.
    pub fn send_snapshot(&self, to: SocketAddr) {
        let view = self.parts.view.borrow();
        let leaving = view.backends().filter(|backend| backend.draining);
        self.tell(&leaving.map(|backend| backend.incarnation_hash()).collect::<Vec<u32>>(), to);
    }

    fn tell(&self, marks: &[u32], to: SocketAddr) {
        for some in marks.chunks(MARKS) {
            self.parts.messenger.send(&PeerMessage::Leaving(some.to_vec()), to);
        }
    }

    /// Takes in an answer of a server, to whatever call.
    pub fn on_response(&self, backend: &Backend, leaving: bool) {
        if leaving {
            self.hear(&backend.id, backend.incarnation_hash(), LeavingSource::Answer);
        }
    }
}
