//! Selection of an engine for a request: power of two choices among engines with the adapter.

use super::{EngineState, PrefixMemory, View, Wanted, Weights};
use crate::membership::ranked;
use crate::types::{EngineName, HallName};
use rand::Rng;

/// Whether the selected engine has the adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Path {
    /// The adapter is loaded.
    Warm,
    /// The adapter is being loaded.
    Loading,
    /// The adapter has to be loaded.
    Cold,
}

/// The engine selected for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// The engine.
    pub engine: EngineName,
    /// Whether it has the adapter.
    pub path: Path,
}

/// Number of cold engines considered, in the order of the adapter's rendezvous hash.
const COLD_CANDIDATES: usize = 2;
/// Minimum cost advantage, in milliseconds, for which a later cold engine is preferred.
const COLD_MARGIN_MS: f64 = 1_000.0;

impl View {
    /// Selects an engine. `is_owned` returns whether an engine has a live owner.
    pub fn choose(
        &self,
        wanted: &Wanted,
        hall: &HallName,
        weights: &Weights,
        prefixes: &PrefixMemory,
        rng: &mut impl Rng,
        is_owned: impl Fn(&EngineState) -> bool,
    ) -> Option<Choice> {
        let usable = |state: &&EngineState| {
            !state.server.leaving
                && state.base() == Some(&wanted.base)
                && wanted.node_class.as_ref().is_none_or(|class| *class == state.server.class)
                && !wanted.tried.contains(&state.server.name)
                && is_owned(state)
        };
        let cost = |state: &EngineState| self.cost(state, wanted, hall, weights, prefixes);
        let holders: Vec<&EngineState> = self.holders(&wanted.adapter).filter(usable).collect();
        let warm = two_random_choices(&holders, rng, &cost);
        let cold = self.cold(wanted, &usable, &cost);
        let best = match (warm, cold) {
            (Some(warm), Some(cold)) if cost(cold) < cost(warm) => cold,
            (Some(warm), _) => warm,
            (None, cold) => cold?,
        };
        let path = path(best, wanted);
        Some(Choice { engine: best.server.name.clone(), path })
    }

    /// Selects among the first engines in the adapter's rendezvous order, so that all entry nodes
    /// consider the same ones and a single load serves them all. A later one is selected only if
    /// it is much cheaper: an adapter that returns to the same engine keeps its demand count there.
    fn cold<'a>(
        &'a self,
        wanted: &Wanted,
        usable: &impl Fn(&&EngineState) -> bool,
        cost: &impl Fn(&EngineState) -> f64,
    ) -> Option<&'a EngineState> {
        let usable = self.iter().filter(usable);
        let names = usable.map(|state| &state.server.name);
        let ranked = ranked(wanted.adapter.adapter.as_str(), names);
        let mut best: Option<(f64, &EngineState)> = None;
        for name in ranked.into_iter().take(COLD_CANDIDATES) {
            let Some(state) = self.engine(name) else { continue };
            if path(state, wanted) != Path::Cold {
                continue;
            }
            let this = cost(state);
            if best.is_none_or(|(least, _)| this + COLD_MARGIN_MS < least) {
                best = Some((this, state));
            }
        }
        best.map(|(_, state)| state)
    }

    /// Expected wait on an engine, in milliseconds, less the bonus for a cached prompt prefix.
    fn cost(
        &self,
        state: &EngineState,
        wanted: &Wanted,
        hall: &HallName,
        weights: &Weights,
        prefixes: &PrefixMemory,
    ) -> f64 {
        let speed = f64::from(state.server.speed.max(1)) / 100.0;
        let mut cost = match path(state, wanted) {
            Path::Warm => 0.0,
            Path::Loading => weights.load_ms / 2.0,
            Path::Cold => weights.load_ms,
        };
        if let Some(load) = &state.load {
            cost += queue_cost(load.free, load.queued, weights) / speed;
            if path(state, wanted) == Path::Cold && load.spare_slots == 0 {
                cost += weights.load_ms;
            }
        }
        if prefixes.engine(wanted.prefix) == Some(&state.server.name) {
            cost -= weights.prefix_ms;
        }
        if state.server.hall != *hall {
            cost += weights.hall_ms;
        }
        cost
    }
}

/// Cost of the queue if the batch is full. Otherwise the cost of the batch depth, which turns into a
/// bonus for deep batches if `Weights::batch` is above 0.5.
fn queue_cost(free: u16, queued: u16, weights: &Weights) -> f64 {
    if free == 0 {
        return weights.queued_ms * (1.0 + f64::from(queued));
    }
    let fullness = 1.0 / (1.0 + f64::from(free));
    weights.depth_ms * fullness * (1.0 - 2.0 * weights.batch)
}

fn path(state: &EngineState, wanted: &Wanted) -> Path {
    let Some(holdings) = &state.holdings else {
        return Path::Cold;
    };
    if holdings.ready.contains(&wanted.adapter) {
        return Path::Warm;
    }
    match holdings.loading.contains(&wanted.adapter) {
        true => Path::Loading,
        false => Path::Cold,
    }
}

/// The cheaper of two random engines. Always taking the cheapest would send all entry nodes to the
/// same engine, since their load data is slightly out of date.
fn two_random_choices<'a>(
    states: &[&'a EngineState],
    rng: &mut impl Rng,
    cost: &impl Fn(&EngineState) -> f64,
) -> Option<&'a EngineState> {
    if states.len() < 2 {
        return states.first().copied();
    }
    let first = rng.random_range(0..states.len());
    let shift = rng.random_range(1..states.len());
    let second = (first + shift) % states.len();
    match cost(states[second]) < cost(states[first]) {
        true => Some(states[second]),
        false => Some(states[first]),
    }
}
