//! Counts the bytes exchanged with other regions.

use super::locality::Locality;
use crate::gateway::fleet::daemons::Daemons;
use prometheus::IntCounterVec;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Bytes exchanged with other regions, by kind.
#[derive(Debug)]
pub struct RegionTraffic {
    locality: Rc<Locality>,
    /// Datagram addresses of the daemons in other regions.
    remote_daemons: RefCell<BTreeSet<SocketAddr>>,
    bytes: IntCounterVec,
}

impl RegionTraffic {
    /// Creates counters in `bytes` for a daemon at `locality`.
    pub fn new(locality: Rc<Locality>, bytes: IntCounterVec) -> Self {
        Self { locality, remote_daemons: RefCell::default(), bytes }
    }

    /// Updates the known daemons.
    pub fn set_daemons(&self, daemons: &Daemons) {
        let remote = daemons.all().filter(|daemon| self.locality.is_remote(&daemon.hall));
        self.remote_daemons.replace(remote.map(|daemon| daemon.address).collect());
    }

    /// Returns true for a daemon known to be in another region.
    pub fn is_remote(&self, daemon: SocketAddr) -> bool {
        self.remote_daemons.borrow().contains(&daemon)
    }

    /// Counts bytes exchanged with a daemon.
    pub fn count_daemon_bytes(&self, kind: &str, daemon: SocketAddr, bytes: usize) {
        if self.is_remote(daemon) {
            self.count(kind, bytes);
        }
    }

    /// Counts bytes exchanged with a server in a hall.
    pub fn count_server_bytes(&self, kind: &str, hall: &str, bytes: usize) {
        if self.locality.is_remote(hall) {
            self.count(kind, bytes);
        }
    }

    fn count(&self, kind: &str, bytes: usize) {
        self.bytes.with_label_values(&[kind]).inc_by(bytes as u64);
    }
}
