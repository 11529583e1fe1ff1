//! Runs a policy on a trace.

use super::baseline::{Baseline, Rule};
use super::engine::Engine;
use super::ours::PortrackPolicy;
use super::result::Outcome;
use super::store::Store;
use super::trace::{Arrival, Shape};
use super::trial::Trial;
use portrack::types::Time;
use std::time::Duration;

/// Step of the simulated clock, in milliseconds.
const TICK_MS: u64 = 10;
/// A request that has not started after this time is refused, in milliseconds.
pub const DEADLINE_MS: u64 = 30_000;
/// Seconds simulated after the last arrival, so that requests can finish.
const DRAIN_SECONDS: u64 = 60;

/// The policies that are compared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// portrack's policy.
    Portrack,
    /// Least connections among all engines, LRU slots.
    LeastConnections,
    /// Least connections among engines with the adapter, otherwise among all; LRU slots.
    HolderFirst,
    /// A random engine, LRU slots.
    Random,
    /// Each adapter has one engine by rendezvous hash; LRU slots.
    Static,
}

impl Policy {
    /// All policies, portrack's first.
    pub const ALL: [Self; 5] =
        [Self::Portrack, Self::LeastConnections, Self::HolderFirst, Self::Random, Self::Static];

    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Portrack => "portrack",
            Self::LeastConnections => "LRU, least connections",
            Self::HolderFirst => "LRU, holders first",
            Self::Random => "LRU, random",
            Self::Static => "LRU, static rendezvous",
        }
    }
}

/// The simulated engines and weight store, and the results so far.
pub struct Site {
    /// The engines; engine `n` is in hall `n / Shape::engines`.
    pub engines: Vec<Engine>,
    /// The weight store.
    pub store: Store,
    /// The results so far.
    pub outcome: Outcome,
}

/// A policy's reactions to the events of a run.
pub trait PlacementPolicy {
    /// Handles the arrival of a request.
    fn arrive(&mut self, now: Time, arrival: &Arrival, site: &mut Site);
    /// Runs periodic work. The requests in `ended` are already removed from their engines.
    fn tick(
        &mut self,
        now: Time,
        site: &mut Site,
        ended: &[(usize, portrack::types::ReservationId)],
    );
    /// Handles a completed load.
    fn loaded(&mut self, now: Time, engine: usize, adapter: usize, site: &mut Site);
    /// Handles the restart of an engine, which is empty now.
    fn restarted(&mut self, now: Time, engine: usize, site: &mut Site);
}

/// Runs a policy on the traces of all seeds.
pub fn run(shape: &Shape, policy: Policy, trial: &Trial) -> Outcome {
    let mut outcome = Outcome::new(policy.name());
    for seed in 1..=trial.seeds {
        outcome = run_seed(shape, policy, trial, seed, outcome);
    }
    outcome
}

fn run_seed(shape: &Shape, policy: Policy, trial: &Trial, seed: u64, outcome: Outcome) -> Outcome {
    let count = shape.halls * shape.engines;
    let speed = |at: usize| if at % 3 == 2 { 60 } else { 100 };
    let mut site = Site {
        engines: (0..count).map(|at| Engine::new(speed(at))).collect(),
        store: Store::new(Duration::from_millis(shape.load_ms)),
        outcome,
    };
    let mut decide: Box<dyn PlacementPolicy> = match policy {
        Policy::Portrack => Box::new(PortrackPolicy::new(shape, trial, seed, &site)),
        Policy::LeastConnections => Box::new(Baseline::new(shape, Rule::LeastConnections, seed)),
        Policy::HolderFirst => Box::new(Baseline::new(shape, Rule::HolderFirst, seed)),
        Policy::Random => Box::new(Baseline::new(shape, Rule::Random, seed)),
        Policy::Static => Box::new(Baseline::new(shape, Rule::Static, seed)),
    };
    let trace = shape.trace(seed);
    let mut next = 0;
    let restart_at = shape.seconds * 750;
    for now in (0..(shape.seconds + DRAIN_SECONDS) * 1_000).step_by(TICK_MS as usize) {
        let now = Time(now);
        if now.0 == restart_at {
            site.engines[0].restart();
            decide.restarted(now, 0, &mut site);
        }
        finish_loads(now, &mut site, decide.as_mut());
        let mut ended = Vec::new();
        for (at, engine) in site.engines.iter_mut().enumerate() {
            ended.extend(engine.advance(now).into_iter().map(|id| (at, id)));
        }
        decide.tick(now, &mut site, &ended);
        while trace.get(next).is_some_and(|arrival| arrival.at <= now) {
            decide.arrive(now, &trace[next], &mut site);
            next += 1;
        }
    }
    let mut outcome = site.outcome;
    outcome.loads += site.store.loads;
    outcome.steps += site.engines.iter().map(|engine| engine.steps).sum::<u64>();
    outcome.batch_size_sum += site.engines.iter().map(|engine| engine.batch_size_sum).sum::<u64>();
    outcome
}

fn finish_loads(now: Time, site: &mut Site, decide: &mut dyn PlacementPolicy) {
    for load in site.store.ended(now) {
        let engine = &mut site.engines[load.engine];
        if engine.epoch != load.epoch || !engine.loading.remove(&load.adapter) {
            continue;
        }
        engine.loaded.insert(load.adapter);
        decide.loaded(now, load.engine, load.adapter, site);
    }
}
