//! Which server takes a request.

use super::crowding::is_crowded;
use super::load::LoadTable;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::regions::locality::Locality;
use crate::types::Time;
use std::rc::Rc;

/// What a server that fails every request costs, in requests waiting.
const ALL_FAIL: f64 = 40.0;
/// Prompt tokens that weigh as much as one running request.
const TOKENS_A_REQUEST: f64 = 600.0;
/// Milliseconds of reading that weigh as much as one running request.
const READING_MS_A_REQUEST: f64 = 30.0;
/// What a server that says nothing although it was asked costs.
const SILENT: f64 = 80.0;
/// What a server found unreachable a moment ago costs.
const UNREACHABLE: f64 = 10_000.0;

/// What a request would cost at a server, in requests waiting there.
pub fn cost(now: Time, loads: &LoadTable, locality: &Locality, backend: &Backend) -> f64 {
    let work = loads.work(now, &backend.id);
    let mut cost = f64::from(work.requests);
    cost += f64::from(work.waiting_tokens) / TOKENS_A_REQUEST;
    cost += loads.backlog(now, &backend.id).as_secs_f64() * 1_000.0 / READING_MS_A_REQUEST;
    cost += loads.cold_cost(now, &backend.id, work.requests);
    cost += loads.failure_rate(now, &backend.id) * ALL_FAIL;
    cost += locality.network_cost(&backend.hall);
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
pub fn two_random_choices(id: &str, count: usize) -> Option<[usize; 2]> {
    let count = u64::try_from(count).ok().filter(|count| *count > 0)?;
    let hash = xxhash_rust::xxh3::xxh3_64(id.as_bytes());
    let first = hash % count;
    let second = match count {
        1 => 0,
        _ => (first + 1 + (hash >> 32) % (count - 1)) % count,
    };
    Some([first as usize, second as usize])
}

/// What is weighed of one candidate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScoredServer {
    /// What the request would cost there.
    pub cost: f64,
    /// It is of this daemon's region.
    pub is_near: bool,
    /// Requests begin to slow each other down there.
    pub is_crowded: bool,
}

impl ScoredServer {
    /// A server at this cost.
    pub fn new(cost: f64, locality: &Locality, backend: &Backend) -> Self {
        Self {
            cost,
            is_near: !locality.is_remote(&backend.hall),
            is_crowded: is_crowded(backend.slots, cost),
        }
    }

    fn is_sound(&self) -> bool {
        self.cost < SILENT
    }
}

/// The place to take among candidates that come with the cheapest first: the better of two that a
/// request's id chooses among those that are not in trouble, or the first if all are. Where some are of
/// other regions, those of this one are taken while any of them is not crowded.
pub fn better_of_two(id: &str, offers: &[ScoredServer]) -> usize {
    let places = |fits: &dyn Fn(&ScoredServer) -> bool| -> Vec<usize> {
        let fitting = offers.iter().enumerate().filter(|(_, offer)| fits(offer));
        fitting.map(|(place, _)| place).collect()
    };
    let sound = places(&ScoredServer::is_sound);
    let near = match sound.iter().all(|place| offers[*place].is_near) {
        true => Vec::new(),
        false => places(&|offer| offer.is_sound() && offer.is_near && !offer.is_crowded),
    };
    let among = if near.is_empty() { sound } else { near };
    two_random_choices(id, among.len()).map_or(0, |[first, second]| among[first.min(second)])
}

/// The cheapest server of those not tried yet.
pub fn cheapest<'a>(
    now: Time,
    loads: &LoadTable,
    locality: &Locality,
    tried: &[Rc<str>],
    backends: impl Iterator<Item = &'a Rc<Backend>>,
) -> Option<Rc<Backend>> {
    let untried = backends.filter(|backend| !tried.contains(&backend.id));
    let costed = untried.map(|backend| (cost(now, loads, locality, backend), backend));
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
    locality: &Locality,
    id: &str,
    tried: &[Rc<str>],
    backends: impl Iterator<Item = &'a Rc<Backend>>,
) -> Option<Rc<Backend>> {
    let untried = backends.filter(|backend| !tried.contains(&backend.id));
    let mut costed: Vec<_> =
        untried.map(|backend| (cost(now, loads, locality, backend), backend)).collect();
    costed.sort_by(|(a, _), (b, _)| a.total_cmp(b));
    let offers: Vec<ScoredServer> =
        costed.iter().map(|(cost, backend)| ScoredServer::new(*cost, locality, backend)).collect();
    costed.get(better_of_two(id, &offers)).map(|(_, backend)| (*backend).clone())
}
