//! Chooses the server on which an adapter is loaded.

use super::crowding::target_margin;
use crate::gateway::dialect::AdapterKey;
use crate::membership::ranked;
use std::collections::HashMap;
use std::rc::Rc;

/// Number of servers, in rendezvous order, among which the cheapest is chosen.
const CANDIDATES: usize = 2;
/// Cost of a fetch from the weight store, in waiting requests: about 280 ms at about 20 ms per
/// request, and the store serves only a few fetches at once.
const FETCH_COST: f64 = 13.0;

/// A server that can be ordered to load adapters.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadTarget {
    /// Server id.
    pub server: Rc<str>,
    /// Number of requests that the server runs concurrently.
    pub slots: usize,
    /// Cost of sending a request to the server.
    pub cost: f64,
    /// Whether the server held the adapter before and has it cached, so that no fetch is needed.
    pub is_cached: bool,
    /// Whether the server is in the requesting daemon's region.
    pub is_near: bool,
}

impl LoadTarget {
    /// Cost of loading an adapter on this server, given the server's rank in the adapter's
    /// rendezvous order. `None` if the adapter must not be loaded here.
    fn load_cost(&self, rank: Option<usize>) -> Option<f64> {
        if self.is_cached {
            return Some(self.cost - FETCH_COST);
        }
        match rank? {
            0 => Some(self.cost),
            rank if rank < CANDIDATES => Some(self.cost + target_margin(self.slots)),
            _ => None,
        }
    }
}

/// Chooses the server on which an adapter is loaded: the first in the adapter's rendezvous order,
/// unless it is much busier than the second, or a server that has the adapter cached is not much
/// busier. Only servers in the requesting region are ranked, if there are any: a fetch costs the
/// same there, and requests avoid the cross-region round trip.
pub fn choose_load_target(key: &AdapterKey, open: &[LoadTarget]) -> Option<Rc<str>> {
    let any_near = open.iter().any(|target| target.is_near);
    let ranking = open.iter().filter(|target| target.is_near || !any_near);
    let order = ranked(&key.adapter, ranking.map(|target| &*target.server));
    let ranks: HashMap<&str, usize> =
        order.into_iter().enumerate().map(|(rank, server)| (server, rank)).collect();
    let costed = open.iter().filter_map(|target| {
        let rank = ranks.get(&*target.server).copied();
        Some((target.load_cost(rank)?, rank.unwrap_or(open.len()), target))
    });
    let best = costed.min_by(|(a, x, _), (b, y, _)| a.total_cmp(b).then(x.cmp(y)));
    best.map(|(_, _, target)| target.server.clone())
}
