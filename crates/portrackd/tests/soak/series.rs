//! Random, overlapping sequences of version announcements, kills, planned stops and restarts, each
//! generated from a seed.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds, `PORTRACK_SOAK_DAEMONS`
//! the size of the fleet; scenarios with larger fleets run one after the other.

use crate::callers::Callers;
use crate::fleet::{ADAPTERS, Fleet, FleetPlan};
use crate::invariants::{InvariantReport, served_after};
use crate::seeds::{number, run_seeds};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Default first seed and number of seeds.
const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 4;
/// Limit on concurrent daemon processes, chosen so that a small machine can run them.
const MAX_PROCESSES: usize = 12;
/// Default number of daemons in a fleet.
const DAEMONS: u64 = 3;
const SERVERS: usize = 3;
const CALLERS: usize = 16;
/// How long faults are injected.
const FAULT_PHASE: Duration = Duration::from_secs(16);
/// Recovery time after the last fault, before the fleet must serve nearly all requests again.
const RECOVERY_TIME: Duration = Duration::from_millis(3_500);
/// How long the share of served requests is measured after recovery.
const MEASUREMENT_TIME: Duration = Duration::from_millis(1_500);
/// Minimum share of requests served after recovery.
const MIN_SERVED_SHARE: f64 = 0.9;

/// One step of a scenario.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Announces the next version of the most popular adapter.
    AnnouncePopular,
    /// Announces the next version of another adapter.
    AnnounceOther,
    /// Kills one daemon, or all.
    Kill { all: bool },
    /// Asks a daemon to stop.
    Terminate,
    /// Waits long enough for an announced version to be in force everywhere.
    Wait,
}

/// Steps with their relative frequency.
const STEPS: [(Step, u32); 6] = [
    (Step::AnnouncePopular, 9),
    (Step::AnnounceOther, 3),
    (Step::Kill { all: false }, 3),
    (Step::Kill { all: true }, 1),
    (Step::Terminate, 2),
    (Step::Wait, 3),
];

struct Scenario {
    fleet: Fleet,
    random: SmallRng,
}

impl Scenario {
    fn take_down(&mut self, daemon: usize, take_down: impl Fn(&mut Fleet, usize)) {
        take_down(&mut self.fleet, daemon);
        let downtime = Duration::from_millis(self.random.random_range(100..2_500));
        self.fleet.schedule_restart(daemon, downtime);
    }

    async fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.fleet.start_due_daemons();
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn step(&mut self) {
        let (step, _) = *STEPS
            .choose_weighted(&mut self.random, |(_, weight)| *weight)
            .expect("STEPS is not empty");
        let daemons = self.fleet.size();
        let daemon = self.random.random_range(0..daemons);
        match step {
            Step::AnnouncePopular => {
                self.fleet.announce_next_version("a1");
            }
            Step::AnnounceOther => {
                let adapter = self.random.random_range(2..=ADAPTERS);
                self.fleet.announce_next_version(&format!("a{adapter}"));
            }
            Step::Kill { all: false } => self.take_down(daemon, Fleet::kill),
            Step::Kill { all: true } => {
                (0..daemons).for_each(|daemon| self.take_down(daemon, Fleet::kill));
            }
            Step::Terminate => self.take_down(daemon, Fleet::terminate),
            Step::Wait => self.run_for(Duration::from_millis(5_200)).await,
        }
        let pause = Duration::from_millis(self.random.random_range(50..900));
        self.run_for(pause).await;
    }
}

/// Runs the scenario of a seed; the error lists the violations.
async fn run_scenario(seed: u64, daemons: usize) -> Result<String, String> {
    // Covers stores that report an era and stores that do not.
    let era = seed.is_multiple_of(2).then_some(1);
    let plan = FleetPlan { era, ..FleetPlan::new(daemons, SERVERS) };
    let fleet = Fleet::start_with_plan(&format!("seed-{seed}"), plan).await;
    let random = SmallRng::seed_from_u64(seed);
    let mut scenario = Scenario { fleet, random };
    let callers = Callers::default();
    callers.start(seed, CALLERS, &scenario.fleet.callers());
    scenario.run_for(Duration::from_millis(500)).await;
    let until = Instant::now() + FAULT_PHASE;
    while Instant::now() < until {
        scenario.step().await;
    }
    while scenario.fleet.has_pending_restarts() {
        scenario.run_for(Duration::from_millis(100)).await;
    }
    scenario.run_for(RECOVERY_TIME).await;
    let recovered_at = Instant::now();
    scenario.run_for(MEASUREMENT_TIME).await;
    let requests = callers.stop().await;
    let report =
        InvariantReport::of(&requests, &scenario.fleet.runs(), &scenario.fleet.announced_versions);
    let served = served_after(&requests, recovered_at);
    let summary = format!("seed {seed}: {:?}, served after recovery {served:.3}", report.outcomes);
    if report.is_clean() && served >= MIN_SERVED_SHARE {
        return Ok(summary);
    }
    for stale in report.stale_runs.iter().take(3) {
        scenario
            .fleet
            .request_lines_for(&stale.run.request)
            .iter()
            .for_each(|line| println!("  {line}"));
    }
    Err(format!("{summary}; logs in {}; {report:?}", scenario.fleet.folder().display()))
}

#[actix_rt::test]
async fn invariants_hold_under_random_announcements_kills_and_stops() {
    let daemons = number("PORTRACK_SOAK_DAEMONS", DAEMONS) as usize;
    let at_once = (MAX_PROCESSES / daemons).max(1);
    run_seeds(FIRST_SEED, SEEDS, at_once, |seed| run_scenario(seed, daemons)).await;
}
