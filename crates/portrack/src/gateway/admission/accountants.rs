//! Which daemons count for an organisation.

use super::organisations::OrganisationMark;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Daemons of a hall that are told what others count: the one that is asked and the one that is
/// asked if it does not answer.
const OF_EACH_HALL: usize = 2;

/// A daemon that may count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accountant {
    /// Where it hears datagrams.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Rc<str>,
    /// How much work for others its node is suited to.
    pub capacity: u32,
}

/// All daemons that may count, as far as known; every daemon with the same list makes the same
/// choice.
#[derive(Debug, Clone, Default)]
pub struct Accountants(Vec<Accountant>);

impl Accountants {
    /// The daemons that are up, the asking one included.
    pub fn new(all: Vec<Accountant>) -> Self {
        Self(all)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The daemons of a hall in the order in which they are asked: those of the best suited nodes
    /// first, others in an order that differs from one organisation to the next.
    fn order(&self, hall: &str, mark: OrganisationMark) -> Vec<&Accountant> {
        let mut order: Vec<&Accountant> =
            self.0.iter().filter(|accountant| &*accountant.hall == hall).collect();
        let weight = |accountant: &Accountant| {
            xxh3_64_with_seed(accountant.address.to_string().as_bytes(), mark.0)
        };
        order.sort_by_cached_key(|accountant| (Reverse(accountant.capacity), weight(accountant)));
        order
    }

    /// The daemon of a hall to ask, of those that are not `skipped`.
    pub fn first(
        &self,
        hall: &str,
        mark: OrganisationMark,
        skipped: impl Fn(SocketAddr) -> bool,
    ) -> Option<SocketAddr> {
        let mut order = self.order(hall, mark).into_iter().map(|accountant| accountant.address);
        order.find(|address| !skipped(*address))
    }

    /// The daemons of all halls that are to know what is counted.
    pub fn everywhere(&self, mark: OrganisationMark) -> Vec<SocketAddr> {
        let halls: BTreeSet<&str> = self.0.iter().map(|accountant| &*accountant.hall).collect();
        let told = halls
            .into_iter()
            .flat_map(|hall| self.order(hall, mark).into_iter().take(OF_EACH_HALL));
        told.map(|accountant| accountant.address).collect()
    }
}
