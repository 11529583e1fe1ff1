//! Which server an adapter is to be loaded at.

use super::crowding::home_margin;
use super::dialect::AdapterKey;
use crate::membership::ranked;
use std::rc::Rc;

/// Servers in rendezvous order among which the cheapest is taken.
const CHOICES: usize = 2;
/// A server that takes orders.
#[derive(Debug, Clone, PartialEq)]
pub struct Home {
    /// Its id.
    pub server: Rc<str>,
    /// Requests at once there.
    pub slots: usize,
    /// What a request would cost there.
    pub cost: f64,
}

/// The home of an adapter: the first in its rendezvous order, unless that is much busier than the
/// next one.
pub fn home(key: &AdapterKey, open: &[Home]) -> Option<Rc<str>> {
    let order = ranked(&key.adapter, open.iter().map(|home| &*home.server));
    let named = |id: &str| open.iter().find(|home| &*home.server == id);
    let mut best: Option<&Home> = None;
    for home in order.into_iter().take(CHOICES).filter_map(named) {
        let margin = home_margin(home.slots);
        if best.is_none_or(|best| home.cost + margin < best.cost) {
            best = Some(home);
        }
    }
    best.map(|home| home.server.clone())
}
