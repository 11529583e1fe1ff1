//! Which daemons do a duty for others: every daemon with the same list makes the same choice.

use super::message::Capabilities;
use crate::types::Time;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A daemon that may do duties for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonInfo {
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Rc<str>,
    /// How much work for others its node is suited to.
    pub capacity: u32,
    /// What its build does for others.
    pub capabilities: Capabilities,
}

/// Daemons that did not answer, each until a time; they are not asked before it.
#[derive(Debug, Default)]
pub struct UnresponsiveDaemons(RefCell<HashMap<SocketAddr, Time>>);

impl UnresponsiveDaemons {
    /// Leaves a daemon alone until a time.
    pub fn avoid(&self, daemon: SocketAddr, until: Time) {
        self.0.borrow_mut().insert(daemon, until);
    }

    /// True if a daemon is left alone.
    pub fn contains(&self, now: Time, daemon: SocketAddr) -> bool {
        let mut all = self.0.borrow_mut();
        all.retain(|_, until| now < *until);
        all.contains_key(&daemon)
    }
}

/// All daemons that are up and stay, as far as known, this one included.
#[derive(Debug, Clone, Default)]
pub struct Daemons(Vec<DaemonInfo>);

impl Daemons {
    /// The daemons in a list.
    pub fn new(all: Vec<DaemonInfo>) -> Self {
        Self(all)
    }

    /// Those that may do duties for others, as `me` sees them: itself among them unless it is being stopped. Others leave it
    /// out then, so that two daemons would do the same duty, each without knowing what the other one gives.
    pub fn eligible(me: DaemonInfo, stopping: bool, others: Vec<DaemonInfo>) -> Self {
        let mut all = others;
        if all.is_empty() || !stopping {
            all.push(me);
        }
        Self(all)
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &DaemonInfo> {
        self.0.iter()
    }

    /// True if a daemon is known to keep the limits that servers name.
    pub fn enforces_limits(&self, address: SocketAddr) -> bool {
        let daemon = self.0.iter().find(|daemon| daemon.address == address);
        daemon.is_some_and(|daemon| daemon.capabilities.enforces_limits())
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// Daemons in the order in which they are to do a duty: those of the best suited nodes first,
    /// others in an order that differs from one duty to the next.
    fn order(&self, duty: u64, fits: impl Fn(&DaemonInfo) -> bool) -> Vec<&DaemonInfo> {
        let mut order: Vec<&DaemonInfo> = self.0.iter().filter(|daemon| fits(daemon)).collect();
        let weight =
            |daemon: &DaemonInfo| xxh3_64_with_seed(daemon.address.to_string().as_bytes(), duty);
        order.sort_by_cached_key(|daemon| (Reverse(daemon.capacity), weight(daemon)));
        order
    }

    /// The daemon to ask for a duty, of those that fit.
    pub fn first(&self, duty: u64, fits: impl Fn(&DaemonInfo) -> bool) -> Option<SocketAddr> {
        self.order(duty, fits).first().map(|daemon| daemon.address)
    }

    /// The daemon to ask for a duty of a hall: of the first `some` there, one that fits.
    pub fn first_of_hall(
        &self,
        duty: u64,
        hall: &str,
        some: usize,
        fits: impl Fn(&DaemonInfo) -> bool,
    ) -> Option<SocketAddr> {
        let order = self.order(duty, |daemon| &*daemon.hall == hall);
        let first = order.into_iter().take(some).find(|daemon| fits(daemon));
        first.map(|daemon| daemon.address)
    }

    /// The first `some` of each hall.
    pub fn of_each_hall(&self, duty: u64, some: usize) -> Vec<SocketAddr> {
        let halls: BTreeSet<&str> = self.0.iter().map(|daemon| &*daemon.hall).collect();
        let all = halls.into_iter().flat_map(|hall| {
            self.order(duty, |daemon| &*daemon.hall == hall).into_iter().take(some)
        });
        all.map(|daemon| daemon.address).collect()
    }
}
