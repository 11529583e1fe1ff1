//! Which server an adapter is to be loaded at.

use super::dialect::AdapterKey;
use crate::membership::ranked;
use std::rc::Rc;

/// Servers in rendezvous order among which the cheapest is taken.
const CHOICES: usize = 2;
/// A later home is taken only if it is cheaper by this much, in requests waiting.
const CHEAPER_BY: f64 = 12.0;

/// A server that takes orders.
#[derive(Debug, Clone, PartialEq)]
pub struct Home {
    /// Its id.
    pub server: Rc<str>,
    /// What a request would cost there.
    pub cost: f64,
}

/// The home of an adapter: the first in its rendezvous order, unless that is much busier than the
/// next one.
pub fn home(key: &AdapterKey, open: &[Home]) -> Option<Rc<str>> {
    let order = ranked(&key.adapter, open.iter().map(|home| &*home.server));
    let cost =
        |id: &str| open.iter().find(|home| &*home.server == id).map_or(f64::MAX, |home| home.cost);
    let mut best: Option<(&str, f64)> = None;
    for id in order.into_iter().take(CHOICES) {
        let cost = cost(id);
        if best.is_none_or(|(_, least)| cost + CHEAPER_BY < least) {
            best = Some((id, cost));
        }
    }
    best.map(|(id, _)| id.into())
}
