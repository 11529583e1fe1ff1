//! Holds what the callers saw against what the stand-ins recorded.

use super::seen::{End, Seen};
use portrack_standins::engine::RunSeen;
use portrack_standins::world::World;
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// A leaving server may get new work for this long.
const LEAVE_WITHIN: Duration = Duration::from_secs(4);
/// An accepted change must be in force everywhere within this.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(20);

/// One promise and how often it was broken.
#[derive(Debug, Clone)]
pub struct Promise {
    /// The promise.
    pub name: &'static str,
    /// Cases looked at.
    pub checked: usize,
    /// Cases in which it was broken.
    pub broken: usize,
}

/// Watches while the load runs, judges when it is over.
#[derive(Debug, Default)]
pub struct Judge {
    highest: BTreeMap<String, u64>,
    reverted: usize,
    looks: usize,
    change: Option<(u64, Instant)>,
    in_force_after: Option<Duration>,
    leaving: Option<(usize, Instant)>,
    runs_when_left: Option<usize>,
}

impl Judge {
    /// A change was accepted at this revision.
    pub fn changed(&mut self, revision: u64) {
        self.change = Some((revision, Instant::now()));
    }

    /// This engine is leaving.
    pub fn leaving(&mut self, engine: usize) {
        self.leaving = Some((engine, Instant::now()));
    }

    /// Looks at the daemons.
    pub fn watch(&mut self, world: &World) {
        let running = world.daemons.iter().filter_map(|(name, d)| Some((name, d.as_ref()?)));
        let mut least = u64::MAX;
        for (name, daemon) in running {
            let revision = daemon.status().revision;
            self.looks += 1;
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
            && self.runs_when_left.is_none()
            && at.elapsed() >= LEAVE_WITHIN
        {
            self.runs_when_left = Some(world.engines[engine].1.record().runs.len());
        }
    }

    /// Judges every promise.
    pub fn judge(&self, world: &World, seen: &Seen) -> Vec<Promise> {
        let runs: Vec<RunSeen> =
            world.engines.iter().flat_map(|(_, engine)| engine.record().runs).collect();
        vec![
            exact_versions(&runs, seen),
            unloads(world),
            own_answers(seen),
            not_run(&runs, world, seen),
            once(world, seen),
            self.left_alone(world),
            cut_off(seen),
            self.settings(),
        ]
    }

    fn left_alone(&self, world: &World) -> Promise {
        let after = match (self.leaving, self.runs_when_left) {
            (Some((engine, _)), Some(before)) => {
                world.engines[engine].1.record().runs.len() - before
            }
            _ => 0,
        };
        let checked = usize::from(self.runs_when_left.is_some());
        Promise { name: "a leaving server gets no new work", checked, broken: after }
    }

    fn settings(&self) -> Promise {
        let late = match (self.change, self.in_force_after) {
            (Some(_), Some(after)) => usize::from(after > IN_FORCE_WITHIN),
            (Some(_), None) => 1,
            (None, _) => 0,
        };
        let broken = self.reverted + late;
        Promise { name: "accepted settings are in force and stay", checked: self.looks, broken }
    }

    /// How long the change took to be in force everywhere.
    pub fn in_force_after(&self) -> Option<Duration> {
        self.in_force_after
    }
}

fn exact_versions(runs: &[RunSeen], seen: &Seen) -> Promise {
    let wanted: BTreeMap<String, &str> = seen
        .completions
        .iter()
        .map(|c| (Value::String(c.prompt.clone()).to_string(), c.exact.as_str()))
        .collect();
    let wrong = |run: &&RunSeen| wanted.get(&run.prompt) != Some(&run.model.as_str());
    let broken = runs.iter().filter(wrong).count();
    Promise { name: "runs on the adapter and version sent for", checked: runs.len(), broken }
}

fn unloads(world: &World) -> Promise {
    let records: Vec<_> = world.engines.iter().map(|(_, engine)| engine.record()).collect();
    let unloads = |kind: &str| {
        records.iter().flat_map(|r| &r.orders).filter(|o| o.kind == kind && o.done).count()
    };
    let broken = records.iter().map(|record| record.unloads_in_use()).sum();
    Promise { name: "an adapter in use is never unloaded", checked: unloads("unload"), broken }
}

fn own_answers(seen: &Seen) -> Promise {
    let ends = seen.completions.iter().map(|c| &c.end);
    let ends = ends.chain(seen.unlocks.iter().map(|u| &u.end));
    let wrong = |end: &&End| matches!(end, End::Wrong(_));
    let (checked, broken) = (ends.clone().count(), ends.filter(wrong).count());
    Promise { name: "each caller gets its own whole answer", checked, broken }
}

fn not_run(runs: &[RunSeen], world: &World, seen: &Seen) -> Promise {
    let ran: BTreeSet<&str> = runs.iter().map(|run| run.prompt.as_str()).collect();
    let (mut checked, mut broken) = (0, 0);
    for completion in &seen.completions {
        if let End::NotRun(_) = completion.end {
            checked += 1;
            let prompt = Value::String(completion.prompt.clone()).to_string();
            broken += usize::from(ran.contains(prompt.as_str()));
        }
    }
    let unlocked = key_runs(world);
    let answered: BTreeSet<&str> = seen
        .unlocks
        .iter()
        .filter(|u| !matches!(u.end, End::NotRun(_)))
        .map(|u| u.key.as_str())
        .collect();
    for unlock in seen.unlocks.iter().filter(|u| !answered.contains(u.key.as_str())) {
        checked += 1;
        broken += usize::from(unlocked.contains_key(&unlock.key));
    }
    Promise { name: "a refusal that says 'not run' is true", checked, broken }
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

fn once(world: &World, seen: &Seen) -> Promise {
    let runs = key_runs(world);
    let broken = runs.values().filter(|count| **count > 1).count();
    let checked = seen.unlocks.len();
    Promise { name: "a non-repeatable request runs at most once", checked, broken }
}

fn cut_off(seen: &Seen) -> Promise {
    let ends = seen.completions.iter().map(|c| &c.end);
    let ends = ends.chain(seen.unlocks.iter().map(|u| &u.end)).chain(&seen.lookups);
    let cut = |end: &&End| matches!(end, End::CutOff(_));
    let (checked, broken) = (ends.clone().count(), ends.filter(cut).count());
    Promise { name: "a planned stop cuts off nothing", checked, broken }
}
