//! Counts the bytes that go to other regions, and the answers that come from there.

use super::place::Place;
use crate::gateway::fleet::daemons::Daemons;
use prometheus::IntCounterVec;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

/// Bytes between this daemon and other regions, by what they are.
#[derive(Debug)]
pub struct RegionTraffic {
    place: Rc<Place>,
    /// Where daemons of other regions hear datagrams.
    far: RefCell<BTreeSet<SocketAddr>>,
    bytes: IntCounterVec,
}

impl RegionTraffic {
    /// Counts in `bytes`, by kind, for a daemon at `place`.
    pub fn new(place: Rc<Place>, bytes: IntCounterVec) -> Self {
        Self { place, far: RefCell::default(), bytes }
    }

    /// Updates which daemons there are.
    pub fn set_daemons(&self, daemons: &Daemons) {
        let far = daemons.all().filter(|daemon| self.place.is_far(&daemon.hall));
        self.far.replace(far.map(|daemon| daemon.address).collect());
    }

    /// True for a daemon that is known to be in another region.
    pub fn is_far(&self, daemon: SocketAddr) -> bool {
        self.far.borrow().contains(&daemon)
    }

    /// Counts bytes to or from a daemon.
    pub fn with_daemon(&self, kind: &str, daemon: SocketAddr, bytes: usize) {
        if self.is_far(daemon) {
            self.count(kind, bytes);
        }
    }

    /// Counts bytes to or from a server in a hall.
    pub fn with_server(&self, kind: &str, hall: &str, bytes: usize) {
        if self.place.is_far(hall) {
            self.count(kind, bytes);
        }
    }

    fn count(&self, kind: &str, bytes: usize) {
        self.bytes.with_label_values(&[kind]).inc_by(bytes as u64);
    }
}
