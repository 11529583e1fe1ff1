//! The status report that `portrack status` shows.

use super::core::Core;
use crate::membership::Health;
use crate::wire::MemberState;
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// The state of another daemon as seen by this one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Its node.
    pub node: String,
    /// Its data hall.
    pub hall: String,
    /// `unheard`, `alive`, `suspect` or `dead`.
    pub health: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Revision of its settings.
    pub revision: u64,
    /// Whether the platform's key-value service answers it.
    pub platform: bool,
    /// Engines that it is known to own.
    pub engines: Vec<String>,
    /// Milliseconds since its last heartbeat.
    pub silent_ms: u64,
}

/// An engine that this daemon owns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnedStatus {
    /// Its name.
    pub engine: String,
    /// The fence under which it is owned.
    pub fence: u64,
    /// Whether the engine has accepted it.
    pub serving: bool,
    /// Adapters that are loaded.
    pub ready: Vec<String>,
    /// Adapters being loaded.
    pub loading: Vec<String>,
    /// Pins held.
    pub pins: usize,
    /// Waiting requests.
    pub waiting: usize,
}

/// The status report of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// This node.
    pub node: String,
    /// Its data hall.
    pub hall: String,
    /// Incarnation; grows with every start.
    pub incarnation: u64,
    /// Whether requests of callers are accepted.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub leaving: bool,
    /// Revision of the settings in force.
    pub revision: u64,
    /// Digest of the settings in force.
    pub digest: String,
    /// Entries that this build could not use.
    pub refused_entries: Vec<String>,
    /// Whether the platform's key-value service answers.
    pub platform: bool,
    /// Whether this daemon watches it.
    pub watcher: bool,
    /// Requests in flight.
    pub in_flight: usize,
    /// Engines owned.
    pub owned: Vec<OwnedStatus>,
    /// The other daemons.
    pub members: Vec<MemberStatus>,
}

impl Core {
    /// Returns the current report.
    pub fn status(self: &Rc<Self>) -> StatusReport {
        let node = self.node.borrow();
        let book = self.book.borrow();
        let mark = book.mark();
        StatusReport {
            node: self.bootstrap.node.to_string(),
            hall: self.bootstrap.hall.to_string(),
            incarnation: node.me().incarnation,
            ready: self.ready.get(),
            leaving: self.leaving.get(),
            revision: mark.revision,
            digest: format!("{:016x}", mark.digest),
            refused_entries: book.refused().keys().cloned().collect(),
            platform: self.sees_platform(),
            watcher: node.members().is_watcher(),
            in_flight: self.in_flight.count(),
            owned: self.owned(),
            members: self.member_statuses(),
        }
    }

    fn owned(&self) -> Vec<OwnedStatus> {
        let node = self.node.borrow();
        let owned = node.owners().map(|owner| {
            let holdings = owner.holdings();
            OwnedStatus {
                engine: owner.engine().to_string(),
                fence: owner.fence().0,
                serving: owner.is_serving(),
                ready: holdings.ready.iter().map(ToString::to_string).collect(),
                loading: holdings.loading.iter().map(ToString::to_string).collect(),
                pins: owner.pin_count(),
                waiting: owner.waiting_count(),
            }
        });
        owned.collect()
    }

    fn member_statuses(&self) -> Vec<MemberStatus> {
        let node = self.node.borrow();
        let now = self.now();
        let members = node.members().iter().map(|member| {
            let said = node.view().iter().filter(|e| e.said_by.as_ref() == Some(&member.peer.node));
            MemberStatus {
                node: member.peer.node.to_string(),
                hall: member.peer.hall.to_string(),
                health: health(member.health).to_owned(),
                leaving: member.state == MemberState::Leaving,
                revision: member.settings.revision,
                platform: member.platform,
                engines: said.map(|engine| engine.server.name.to_string()).collect(),
                silent_ms: now.since(member.heard_at).as_millis() as u64,
            }
        });
        members.collect()
    }
}

fn health(health: Health) -> &'static str {
    match health {
        Health::Unheard => "unheard",
        Health::Alive => "alive",
        Health::Suspect => "suspect",
        Health::Dead => "dead",
    }
}
