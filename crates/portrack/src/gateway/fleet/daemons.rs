//! Selects the daemons that do a task for others. Daemons with the same list make the same choice.

use super::message::Capabilities;
use crate::types::Time;
use std::cell::RefCell;
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A daemon that may do tasks for others.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DaemonInfo {
    /// The address it receives datagrams on.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Rc<str>,
    /// Capacity of its node for work on behalf of others.
    pub capacity: u32,
    /// Optional features that its build supports.
    pub capabilities: Capabilities,
}

/// Daemons that did not respond, each with the time until which it gets no requests.
#[derive(Debug, Default)]
pub struct UnresponsiveDaemons(RefCell<HashMap<SocketAddr, Time>>);

impl UnresponsiveDaemons {
    /// Sends no requests to a daemon until the given time.
    pub fn avoid(&self, daemon: SocketAddr, until: Time) {
        self.0.borrow_mut().insert(daemon, until);
    }

    /// Returns true if a daemon is currently avoided.
    pub fn contains(&self, now: Time, daemon: SocketAddr) -> bool {
        let mut all = self.0.borrow_mut();
        all.retain(|_, until| now < *until);
        all.contains_key(&daemon)
    }
}

/// All daemons known to be up and not leaving, including this one.
#[derive(Debug, Clone, Default)]
pub struct Daemons(Vec<DaemonInfo>);

impl Daemons {
    /// Creates the list.
    pub fn new(all: Vec<DaemonInfo>) -> Self {
        Self(all)
    }

    /// The daemons that may do tasks for others, as seen by `me`. It includes `me` unless that is
    /// stopping: others leave a stopping daemon out, so two daemons would do the same task without
    /// knowing what the other one grants.
    pub fn eligible(me: DaemonInfo, stopping: bool, others: Vec<DaemonInfo>) -> Self {
        let mut all = others;
        if all.is_empty() || !stopping {
            all.push(me);
        }
        Self(all)
    }

    /// The daemons that match `fits`.
    pub fn only(&self, fits: impl Fn(&DaemonInfo) -> bool) -> Self {
        Self(self.0.iter().filter(|daemon| fits(daemon)).cloned().collect())
    }

    /// Returns true if two lists have the same addresses in the same order.
    pub fn has_same_members(&self, other: &Self) -> bool {
        let addresses = |daemons: &[DaemonInfo]| -> Vec<SocketAddr> {
            daemons.iter().map(|daemon| daemon.address).collect()
        };
        self.0.len() == other.0.len() && addresses(&self.0) == addresses(&other.0)
    }

    /// Iterates over all daemons.
    pub fn all(&self) -> impl Iterator<Item = &DaemonInfo> {
        self.0.iter()
    }

    /// Returns true if a daemon is known to enforce the limits that servers advertise.
    pub fn enforces_limits(&self, address: SocketAddr) -> bool {
        let daemon = self.0.iter().find(|daemon| daemon.address == address);
        daemon.is_some_and(|daemon| daemon.capabilities.enforces_limits())
    }

    /// Number of daemons.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The preference order for a routing key: nodes with the highest capacity first, and among
    /// equals an order that depends on the key.
    fn order(&self, key: u64, fits: impl Fn(&DaemonInfo) -> bool) -> Vec<&DaemonInfo> {
        let mut order: Vec<&DaemonInfo> = self.0.iter().filter(|daemon| fits(daemon)).collect();
        let tie_break =
            |daemon: &DaemonInfo| xxh3_64_with_seed(daemon.address.to_string().as_bytes(), key);
        order.sort_by_cached_key(|daemon| (Reverse(daemon.capacity), tie_break(daemon)));
        order
    }

    /// The position of a daemon in the preference order for a routing key.
    pub fn rank(&self, key: u64, address: SocketAddr) -> Option<usize> {
        self.order(key, |_| true).iter().position(|daemon| daemon.address == address)
    }

    /// Number of daemons that come before one in the preference order for a routing key; 0 for a daemon that
    /// is not listed.
    pub fn turns_before(&self, key: u64, address: SocketAddr) -> u32 {
        u32::try_from(self.rank(key, address).unwrap_or(0)).unwrap_or(u32::MAX)
    }

    /// The preferred daemon for a routing key, of those that match `fits`.
    pub fn first(&self, key: u64, fits: impl Fn(&DaemonInfo) -> bool) -> Option<SocketAddr> {
        self.order(key, fits).first().map(|daemon| daemon.address)
    }

    /// The preferred daemon of a hall: the first one that matches `fits` among the top `limit` of
    /// that hall.
    pub fn first_of_hall(
        &self,
        key: u64,
        hall: &str,
        limit: usize,
        fits: impl Fn(&DaemonInfo) -> bool,
    ) -> Option<SocketAddr> {
        let order = self.order(key, |daemon| &*daemon.hall == hall);
        let first = order.into_iter().take(limit).find(|daemon| fits(daemon));
        first.map(|daemon| daemon.address)
    }

    /// The top `limit` daemons of each hall.
    pub fn of_each_hall(&self, key: u64, limit: usize) -> Vec<SocketAddr> {
        let halls: BTreeSet<&str> = self.0.iter().map(|daemon| &*daemon.hall).collect();
        let all = halls.into_iter().flat_map(|hall| {
            self.order(key, |daemon| &*daemon.hall == hall).into_iter().take(limit)
        });
        all.map(|daemon| daemon.address).collect()
    }
}
