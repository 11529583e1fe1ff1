//! Which server an adapter is to be loaded at.

use super::crowding::home_margin;
use crate::gateway::dialect::AdapterKey;
use crate::membership::ranked;
use std::collections::HashMap;
use std::rc::Rc;

/// Servers in rendezvous order among which the cheapest is taken.
const CHOICES: usize = 2;
/// What a fetch from the weight store costs, in requests waiting: some 280 ms, at about 20 ms each,
/// and the store serves few at once.
const FETCH_COST: f64 = 13.0;

/// A server that takes orders.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadTarget {
    /// Its id.
    pub server: Rc<str>,
    /// Requests at once there.
    pub slots: usize,
    /// What a request would cost there.
    pub cost: f64,
    /// It held the adapter before and has it at hand: no fetch is needed.
    pub is_cached: bool,
    /// It is of the region that asks.
    pub is_near: bool,
}

impl LoadTarget {
    /// What loading an adapter here costs if this is the server of a rank in its rendezvous order, or of
    /// none; `None` if it is not to be loaded here.
    fn load_cost(&self, rank: Option<usize>) -> Option<f64> {
        if self.is_cached {
            return Some(self.cost - FETCH_COST);
        }
        match rank? {
            0 => Some(self.cost),
            rank if rank < CHOICES => Some(self.cost + home_margin(self.slots)),
            _ => None,
        }
    }
}

/// The home of an adapter: the first in its rendezvous order, unless that is much busier than the
/// next one, or a server that has the adapter at hand is not much busier. The order is of the servers of
/// the region that asks, if it has any: a fetch costs the same there, and the way is spared.
pub fn choose_load_target(key: &AdapterKey, open: &[LoadTarget]) -> Option<Rc<str>> {
    let any_near = open.iter().any(|home| home.is_near);
    let ranking = open.iter().filter(|home| home.is_near || !any_near);
    let order = ranked(&key.adapter, ranking.map(|home| &*home.server));
    let ranks: HashMap<&str, usize> =
        order.into_iter().enumerate().map(|(rank, server)| (server, rank)).collect();
    let costed = open.iter().filter_map(|home| {
        let rank = ranks.get(&*home.server).copied();
        Some((home.load_cost(rank)?, rank.unwrap_or(open.len()), home))
    });
    let best = costed.min_by(|(a, x, _), (b, y, _)| a.total_cmp(b).then(x.cmp(y)));
    best.map(|(_, _, home)| home.server.clone())
}
