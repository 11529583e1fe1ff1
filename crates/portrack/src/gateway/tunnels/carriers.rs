//! Chooses the daemons that connections to servers are opened through.

use crate::gateway::fleet::daemons::UnresponsiveDaemons;
use crate::gateway::fleet::peers::Peers;
use crate::gateway::fleet::regions::Regions;
use crate::types::Time;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long a daemon that declined or did not answer is not asked.
const AVOIDED_FOR: Duration = Duration::from_millis(1_000);
/// How long an opened tunnel counts as load of its carrier.
const RECENT: Duration = Duration::from_millis(1_000);
/// Cost of a daemon outside the server's hall, relative to one inside: bytes cross between halls once more.
const OTHER_HALL_COST: f64 = 1.5;

/// The daemons that can open connections to servers for this one.
pub struct Carriers {
    peers: Rc<RefCell<Peers>>,
    regions: Regions,
    avoided: UnresponsiveDaemons,
    /// Each tunnel that this daemon has opened lately, by carrier.
    recent: RefCell<Vec<(SocketAddr, Time)>>,
}

impl Carriers {
    /// Creates a list over the known peers.
    pub fn new(peers: Rc<RefCell<Peers>>, regions: Regions) -> Self {
        Self { peers, regions, avoided: UnresponsiveDaemons::default(), recent: RefCell::default() }
    }

    /// The best daemon in the region of a server's hall that was not tried yet. The request's bytes stay in
    /// a region in which it may be served.
    pub fn choose(&self, now: Time, hall: &str, tried: &[SocketAddr]) -> Option<SocketAddr> {
        self.recent.borrow_mut().retain(|(_, at)| now.since(*at) < RECENT);
        let recent = self.recent.borrow();
        let peers = self.peers.borrow();
        let reachable = peers.up(now).map(|(_, peer)| &peer.heartbeat).filter(|daemon| {
            daemon.capabilities.carries_tunnels()
                && !daemon.leaving
                && !daemon.cut_off_from_servers
                && self.is_same_region(&daemon.hall, hall)
                && !tried.contains(&daemon.address)
                && !self.avoided.contains(now, daemon.address)
        });
        let costed = reachable.map(|daemon| {
            let opened = recent.iter().filter(|(carrier, _)| *carrier == daemon.address).count();
            let distance = if daemon.hall == hall { 1.0 } else { OTHER_HALL_COST };
            let cost = (opened + 1) as f64 / f64::from(daemon.capacity.max(1)) * distance;
            (cost, daemon.address)
        });
        costed.min_by(|(a, _), (b, _)| a.total_cmp(b)).map(|(_, address)| address)
    }

    fn is_same_region(&self, one: &str, other: &str) -> bool {
        !self.regions.is_multi_region()
            || self.regions.responsible_region(one) == self.regions.responsible_region(other)
    }

    /// Records that a daemon has opened a connection.
    pub fn opened(&self, now: Time, carrier: SocketAddr) {
        self.recent.borrow_mut().push((carrier, now));
    }

    /// Records that a daemon declined or did not answer.
    pub fn avoid(&self, now: Time, carrier: SocketAddr) {
        self.avoided.avoid(carrier, now + AVOIDED_FOR);
    }
}
