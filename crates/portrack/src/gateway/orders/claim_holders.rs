//! Looks up which other daemon holds the claim on a server.

use super::claim_records::ClaimRecords;
use crate::gateway::fleet::peers::Peers;
use crate::gateway::selection::load::server_hash;
use crate::types::Time;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

/// The claims known from heartbeats and from the store.
#[derive(Clone)]
pub struct ClaimHolders {
    /// The other daemons.
    pub peers: Rc<RefCell<Peers>>,
    /// The claim records in the store.
    pub records: Rc<RefCell<ClaimRecords>>,
}

impl ClaimHolders {
    /// Returns the address of the daemon that orders a server. In a full mesh, heartbeats are
    /// fresher than the store's records; in larger fleets a heartbeat of each daemon arrives only
    /// every few seconds.
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
