//! Which server takes a request.

use super::load::LoadTable;
use crate::gateway::fleet::backend::Backend;
use crate::types::Time;
use std::rc::Rc;

/// What a server in another data hall costs, in requests waiting.
const OTHER_HALL: f64 = 1.0;
/// What a server that fails every request costs, in requests waiting.
const ALL_FAIL: f64 = 40.0;
/// Prompt tokens that weigh as much as one running request.
const TOKENS_A_REQUEST: f64 = 600.0;
/// What a server that says nothing although it was asked costs.
const SILENT: f64 = 80.0;
/// What a server found unreachable a moment ago costs.
const UNREACHABLE: f64 = 10_000.0;

/// What a request would cost at a server, in requests waiting there.
pub fn cost(now: Time, loads: &LoadTable, hall: &str, backend: &Backend) -> f64 {
    let work = loads.work(now, &backend.id);
    let mut cost = f64::from(work.requests);
    cost += f64::from(work.waiting_tokens) / TOKENS_A_REQUEST;
    cost += loads.cold_cost(now, &backend.id, work.requests);
    cost += loads.failure_rate(now, &backend.id) * ALL_FAIL;
    if &*backend.hall != hall {
        cost += OTHER_HALL;
    }
    if loads.is_silent(now, &backend.id) || loads.is_hall_silent(&backend.hall) {
        cost += SILENT;
    }
    if loads.is_unreachable(now, &backend.id) {
        cost += UNREACHABLE;
    }
    cost
}

/// Two of `count` candidates, chosen by a request's id.
///
/// With loads known some hundred milliseconds late, requests that all went to the idlest server
/// would go there together; the better of two random ones spreads them.
pub fn two_of(id: &str, count: usize) -> Option<[usize; 2]> {
    let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let first = hash % count;
    let second = match count {
        1 => 0,
        _ => (first + 1 + (hash >> 32) % (count - 1)) % count,
    };
    Some([first as usize, second as usize])
}

/// The place to take among candidates with these costs, the cheapest first: the better of two that a
/// request's id chooses among those that are not in trouble, or the first if all are.
pub(in crate::gateway) fn better_of_two(id: &str, costs: impl Iterator<Item = f64>) -> usize {
    let sound = costs.take_while(|cost| *cost < SILENT).count();
    two_of(id, sound).map_or(0, |[first, second]| first.min(second))
}

/// The cheapest server of those not tried yet.
pub fn cheapest<'a>(
    now: Time,
    loads: &LoadTable,
    hall: &str,
    tried: &[Rc<str>],
    backends: impl Iterator<Item = &'a Rc<Backend>>,
) -> Option<Rc<Backend>> {
    let untried = backends.filter(|backend| !tried.contains(&backend.id));
    let costed = untried.map(|backend| (cost(now, loads, hall, backend), backend));
    let best = costed.min_by(|(a, _), (b, _)| a.total_cmp(b));
    best.map(|(_, backend)| backend.clone())
}

/// The cheaper of two untried servers that a request's id chooses among those that are not in trouble.
///
/// Where loads are known some hundred milliseconds late, requests that all went to the idlest server
/// would go there together.
pub fn cheaper_of_two<'a>(
    now: Time,
    loads: &LoadTable,
    hall: &str,
    id: &str,
    tried: &[Rc<str>],
    backends: impl Iterator<Item = &'a Rc<Backend>>,
) -> Option<Rc<Backend>> {
    let untried = backends.filter(|backend| !tried.contains(&backend.id));
    let mut costed: Vec<_> =
        untried.map(|backend| (cost(now, loads, hall, backend), backend)).collect();
    costed.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let at = better_of_two(id, costed.iter().map(|(cost, _)| *cost));
    costed.get(at).map(|(_, backend)| (*backend).clone())
}
