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
pub struct Home {
    /// Its id.
    pub server: Rc<str>,
    /// Requests at once there.
    pub slots: usize,
    /// What a request would cost there.
    pub cost: f64,
    /// It held the adapter before and has it at hand: no fetch is needed.
    pub at_hand: bool,
    /// It is of the region that asks.
    pub is_near: bool,
}

impl Home {
    /// What loading an adapter here costs if this is the server of a rank in its rendezvous order, or of
    /// none; `None` if it is not to be loaded here.
    fn load_cost(&self, rank: Option<usize>) -> Option<f64> {
        if self.at_hand {
            return Some(self.cost - FETCH_COST);
        }
        match rank? {
            0 => Some(self.cost),
            rank if rank < CHOICES => Some(self.cost + home_margin(self.slots)),
            _ => None,
        }
    }
}

/// The home of an adapter: the first in the rendezvous order of the region that asks, unless that is much
/// busier than the next one, or than the first of another region with the way there, or a server that has
/// the adapter at hand is not much busier.
pub fn home(key: &AdapterKey, open: &[Home]) -> Option<Rc<str>> {
    let any_near = open.iter().any(|home| home.is_near);
    let near = ranks(key, open, |home| home.is_near || !any_near);
    let far = ranks(key, open, |home| any_near && !home.is_near);
    let first_far = |home: &Home| far.get(&*home.server).copied().filter(|rank| *rank == 0);
    let costed = open.iter().filter_map(|home| {
        let rank = near.get(&*home.server).copied().or_else(|| first_far(home));
        Some((home.load_cost(rank)?, rank.unwrap_or(open.len()), home))
    });
    let best = costed.min_by(|(a, x, _), (b, y, _)| a.total_cmp(b).then(x.cmp(y)));
    best.map(|(_, _, home)| home.server.clone())
}

/// The places of some servers in an adapter's rendezvous order.
fn ranks<'a>(
    key: &AdapterKey,
    open: &'a [Home],
    fits: impl Fn(&Home) -> bool,
) -> HashMap<&'a str, usize> {
    let fitting = open.iter().filter(|home| fits(home));
    let order = ranked(&key.adapter, fitting.map(|home| &*home.server));
    order.into_iter().enumerate().map(|(rank, server)| (server, rank)).collect()
}
