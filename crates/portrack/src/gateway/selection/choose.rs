//! Scores servers for a request and picks one.

use super::crowding::is_crowded;
use super::load::LoadTable;
use crate::gateway::fleet::backend::Backend;
use crate::gateway::regions::locality::Locality;
use crate::types::Time;
use std::rc::Rc;

/// Cost of a server that fails every request, in waiting requests.
const ALL_FAILING_COST: f64 = 40.0;
/// Prompt tokens that cost as much as one running request.
const TOKENS_PER_REQUEST: f64 = 600.0;
/// Milliseconds of prefill that cost as much as one running request.
const PREFILL_MS_PER_REQUEST: f64 = 30.0;
/// Cost of a server that does not answer its outstanding requests.
const SILENT_COST: f64 = 80.0;
/// Cost of a server that was unreachable a moment ago.
const UNREACHABLE_COST: f64 = 10_000.0;

/// The cost of sending a request to a server, in requests waiting there.
pub fn cost(now: Time, loads: &LoadTable, locality: &Locality, backend: &Backend) -> f64 {
    let work = loads.work(now, &backend.id);
    let mut cost = f64::from(work.requests);
    cost += f64::from(work.waiting_tokens) / TOKENS_PER_REQUEST;
    cost += loads.backlog(now, &backend.id).as_secs_f64() * 1_000.0 / PREFILL_MS_PER_REQUEST;
    cost += loads.cold_cost(now, &backend.id, work.requests);
    cost += loads.failure_rate(now, &backend.id) * ALL_FAILING_COST;
    cost += locality.network_cost(&backend.hall);
    if loads.is_silent(now, &backend.id) || loads.is_hall_silent(&backend.hall) {
        cost += SILENT_COST;
    }
    if loads.is_unreachable(now, &backend.id) {
        cost += UNREACHABLE_COST;
    }
    cost
}

/// Picks two of `count` candidates by hashing a request id.
///
/// Loads are known only after some hundred milliseconds. If every request went to the least loaded
/// server, they would all arrive there together; taking the better of two random servers spreads
/// them.
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

/// A candidate server with the properties that are compared.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ScoredServer {
    /// Cost of sending the request to the server.
    pub cost: f64,
    /// Whether the server is in this daemon's region.
    pub is_near: bool,
    /// Whether requests begin to slow each other down on the server.
    pub is_crowded: bool,
}

impl ScoredServer {
    /// Scores a server at the given cost.
    pub fn new(cost: f64, locality: &Locality, backend: &Backend) -> Self {
        Self {
            cost,
            is_near: !locality.is_remote(&backend.hall),
            is_crowded: is_crowded(backend.slots, cost),
        }
    }

    fn is_healthy(&self) -> bool {
        self.cost < SILENT_COST
    }
}

/// Picks an index from candidates sorted by ascending cost: the better of two healthy candidates
/// chosen by the request id, or the first if none is healthy. If some healthy candidates are in
/// other regions, candidates in this region are preferred while any of them is not crowded.
pub fn better_of_two(id: &str, servers: &[ScoredServer]) -> usize {
    let indices = |fits: &dyn Fn(&ScoredServer) -> bool| -> Vec<usize> {
        let fitting = servers.iter().enumerate().filter(|(_, server)| fits(server));
        fitting.map(|(index, _)| index).collect()
    };
    let healthy = indices(&ScoredServer::is_healthy);
    let near = match healthy.iter().all(|index| servers[*index].is_near) {
        true => Vec::new(),
        false => indices(&|server| server.is_healthy() && server.is_near && !server.is_crowded),
    };
    let among = if near.is_empty() { healthy } else { near };
    two_random_choices(id, among.len()).map_or(0, |[first, second]| among[first.min(second)])
}

/// The untried server with the lowest cost.
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

/// The cheaper of two healthy, untried servers chosen by the request id.
///
/// Loads are known only after some hundred milliseconds. If every request went to the least loaded
/// server, they would all arrive there together.
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
    let servers: Vec<ScoredServer> =
        costed.iter().map(|(cost, backend)| ScoredServer::new(*cost, locality, backend)).collect();
    costed.get(better_of_two(id, &servers)).map(|(_, backend)| (*backend).clone())
}
