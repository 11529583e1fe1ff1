//! Compares what the callers observed with what the stand-ins recorded.

use super::observations::{End, Observations};
use portrack_standins::engine::RunSeen;
use portrack_standins::world::World;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A leaving server may get new requests for this long.
const LEAVE_BOUND: Duration = Duration::from_secs(4);
/// An accepted change must be in force at all daemons within this time.
const IN_FORCE_BOUND: Duration = Duration::from_secs(20);

/// A guarantee and how often it was violated.
#[derive(Debug, Clone)]
pub struct Guarantee {
    /// The guarantee.
    pub name: &'static str,
    /// Number of cases checked.
    pub checked: usize,
    /// Number of cases in which it was violated.
    pub broken: usize,
}

/// Observes the daemons under load, then checks all guarantees.
#[derive(Debug, Default)]
pub struct GuaranteeChecker {
    highest: BTreeMap<String, u64>,
    reverted: usize,
    observations: usize,
    change: Option<(u64, Instant)>,
    in_force_after: Option<Duration>,
    leaving: Option<(usize, Instant)>,
    runs_at_leave_bound: Option<usize>,
}

impl GuaranteeChecker {
    /// Records that a change was accepted at this revision.
    pub fn record_change(&mut self, revision: u64) {
        self.change = Some((revision, Instant::now()));
    }

    /// Records that this engine is leaving.
    pub fn record_leaving(&mut self, engine: usize) {
        self.leaving = Some((engine, Instant::now()));
    }

    /// Reads the status of the daemons.
    pub fn observe(&mut self, world: &World) {
        let running = world.daemons.iter().filter_map(|(name, d)| Some((name, d.as_ref()?)));
        let mut least = u64::MAX;
        for (name, daemon) in running {
            let revision = daemon.status().revision;
            self.observations += 1;
            let highest = self.highest.entry(name.clone()).or_default();
            self.reverted += usize::from(revision < *highest);
            *highest = revision.max(*highest);
            least = least.min(revision);
        }
        if let Some((revision, at)) = self.change
            && self.in_force_after.is_none()
            && least >= revision
        {
            self.in_force_after = Some(at.elapsed());
        }
        if let Some((engine, at)) = self.leaving
            && self.runs_at_leave_bound.is_none()
            && at.elapsed() >= LEAVE_BOUND
        {
            self.runs_at_leave_bound = Some(world.engines[engine].1.record().runs.len());
        }
    }

    /// Checks every guarantee.
    pub fn check(&self, world: &World, observed: &Observations) -> Vec<Guarantee> {
        let runs: Vec<RunSeen> =
            world.engines.iter().flat_map(|(_, engine)| engine.record().runs).collect();
        vec![
            exact_versions(&runs, observed),
            unloads(world),
            correct_responses(observed),
            not_run(&runs, world, observed),
            once(world, observed),
            self.leaving_server(world),
            no_cut_off(observed),
            self.settings(),
        ]
    }

    fn leaving_server(&self, world: &World) -> Guarantee {
        let after = match (self.leaving, self.runs_at_leave_bound) {
            (Some((engine, _)), Some(before)) => {
                world.engines[engine].1.record().runs.len() - before
            }
            _ => 0,
        };
        let checked = usize::from(self.runs_at_leave_bound.is_some());
        Guarantee { name: "a leaving server gets no new work", checked, broken: after }
    }

    fn settings(&self) -> Guarantee {
        let late = match (self.change, self.in_force_after) {
            (Some(_), Some(after)) => usize::from(after > IN_FORCE_BOUND),
            (Some(_), None) => 1,
            (None, _) => 0,
        };
        let broken = self.reverted + late;
        Guarantee {
            name: "accepted settings are in force and stay",
            checked: self.observations,
            broken,
        }
    }

    /// How long the change took to be in force everywhere.
    pub fn in_force_after(&self) -> Option<Duration> {
        self.in_force_after
    }
}

fn exact_versions(runs: &[RunSeen], observed: &Observations) -> Guarantee {
    let wanted: BTreeMap<String, &str> = observed
        .completions
        .iter()
        .map(|c| (Value::String(c.prompt.clone()).to_string(), c.exact.as_str()))
        .collect();
    let wrong = |run: &&RunSeen| wanted.get(&run.prompt) != Some(&run.model.as_str());
    let broken = runs.iter().filter(wrong).count();
    Guarantee { name: "runs on the adapter and version sent for", checked: runs.len(), broken }
}

fn unloads(world: &World) -> Guarantee {
    let records: Vec<_> = world.engines.iter().map(|(_, engine)| engine.record()).collect();
    let unloads = |kind: &str| {
        records.iter().flat_map(|r| &r.orders).filter(|o| o.kind == kind && o.done).count()
    };
    let broken = records.iter().map(|record| record.unloads_in_use()).sum();
    Guarantee { name: "an adapter in use is never unloaded", checked: unloads("unload"), broken }
}

fn correct_responses(observed: &Observations) -> Guarantee {
    let ends = observed.completions.iter().map(|c| &c.end);
    let ends = ends.chain(observed.unlocks.iter().map(|u| &u.end));
    let wrong = |end: &&End| matches!(end, End::Wrong(_));
    let (checked, broken) = (ends.clone().count(), ends.filter(wrong).count());
    Guarantee { name: "each caller gets its own whole answer", checked, broken }
}

fn not_run(runs: &[RunSeen], world: &World, observed: &Observations) -> Guarantee {
    let ran: BTreeSet<&str> = runs.iter().map(|run| run.prompt.as_str()).collect();
    let (mut checked, mut broken) = (0, 0);
    for completion in &observed.completions {
        if let End::NotRun(_) = completion.end {
            checked += 1;
            let prompt = Value::String(completion.prompt.clone()).to_string();
            broken += usize::from(ran.contains(prompt.as_str()));
        }
    }
    let unlocked = key_runs(world);
    let answered: BTreeSet<&str> = observed
        .unlocks
        .iter()
        .filter(|u| !matches!(u.end, End::NotRun(_)))
        .map(|u| u.key.as_str())
        .collect();
    for unlock in observed.unlocks.iter().filter(|u| !answered.contains(u.key.as_str())) {
        checked += 1;
        broken += usize::from(unlocked.contains_key(&unlock.key));
    }
    Guarantee { name: "a refusal that says 'not run' is true", checked, broken }
}

fn key_runs(world: &World) -> BTreeMap<String, usize> {
    let mut runs: BTreeMap<String, usize> = BTreeMap::new();
    for (_, service) in &world.services {
        for (key, count) in service.keys() {
            *runs.entry(key).or_default() += count;
        }
    }
    runs
}

fn once(world: &World, observed: &Observations) -> Guarantee {
    let runs = key_runs(world);
    let broken = runs.values().filter(|count| **count > 1).count();
    let checked = observed.unlocks.len();
    Guarantee { name: "a non-repeatable request runs at most once", checked, broken }
}

fn no_cut_off(observed: &Observations) -> Guarantee {
    let ends = observed.completions.iter().map(|c| &c.end);
    let ends = ends.chain(observed.unlocks.iter().map(|u| &u.end)).chain(&observed.lookups);
    let cut = |end: &&End| matches!(end, End::CutOff(_));
    let (checked, broken) = (ends.clone().count(), ends.filter(cut).count());
    Guarantee { name: "a planned stop cuts off nothing", checked, broken }
}
