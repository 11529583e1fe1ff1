//! Counts the bytes that go to other regions, and the answers that come from there.

use super::locality::Locality;
use crate::gateway::fleet::daemons::Daemons;
use prometheus::IntCounterVec;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Bytes between this daemon and other regions, by what they are.
#[derive(Debug)]
pub struct RegionTraffic {
    locality: Rc<Locality>,
    /// Where daemons of other regions hear datagrams.
    far: RefCell<BTreeSet<SocketAddr>>,
    bytes: IntCounterVec,
}

impl RegionTraffic {
    /// Counts in `bytes`, by kind, for a daemon at `place`.
    pub fn new(locality: Rc<Locality>, bytes: IntCounterVec) -> Self {
        Self { locality, far: RefCell::default(), bytes }
    }

    /// Updates which daemons there are.
    pub fn set_daemons(&self, daemons: &Daemons) {
        let far = daemons.all().filter(|daemon| self.locality.is_remote(&daemon.hall));
        self.far.replace(far.map(|daemon| daemon.address).collect());
    }

    /// True for a daemon that is known to be in another region.
    pub fn is_remote(&self, daemon: SocketAddr) -> bool {
        self.far.borrow().contains(&daemon)
    }

    /// Counts bytes to or from a daemon.
    pub fn count_daemon_bytes(&self, kind: &str, daemon: SocketAddr, bytes: usize) {
        if self.is_remote(daemon) {
            self.count(kind, bytes);
        }
    }

    /// Counts bytes to or from a server in a hall.
    pub fn count_server_bytes(&self, kind: &str, hall: &str, bytes: usize) {
        if self.locality.is_remote(hall) {
            self.count(kind, bytes);
        }
    }

    fn count(&self, kind: &str, bytes: usize) {
        self.bytes.with_label_values(&[kind]).inc_by(bytes as u64);
    }
}
