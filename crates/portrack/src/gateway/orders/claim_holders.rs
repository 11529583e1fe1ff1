//! Which other daemon orders a server.

use super::claim_records::ClaimRecords;
use crate::gateway::fleet::peers::Peers;
use crate::gateway::selection::load::server_hash;
use crate::types::Time;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// What heartbeats and the store say of who orders which server.
#[derive(Clone)]
pub struct ClaimHolders {
    /// The other daemons.
    pub peers: Rc<RefCell<Peers>>,
    /// The claims in the store.
    pub records: Rc<RefCell<ClaimRecords>>,
}

impl ClaimHolders {
    /// Where the daemon is that orders a server. Where all daemons hear each heartbeat, these are
    /// fresher than the store's records; in larger fleets they come once in several seconds.
    pub fn address(&self, now: Time, server: &str) -> Option<SocketAddr> {
        let peers = self.peers.borrow();
        if peers.is_full_mesh() {
            let (_, peer) = peers.orderer(now, server_hash(server))?;
            return Some(peer.heartbeat.address);
        }
        let records = self.records.borrow();
        peers.machine_address(now, records.holder(server)?)
    }
}
