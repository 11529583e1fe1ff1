//! The store is restored from older copies repeatedly, while versions are announced and daemons are killed,
//! stopped, frozen and cut off from the store. Checked against what callers and servers observed.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds, `PORTRACK_SOAK_DAEMONS`
//! the size of the fleet.

use crate::callers::Callers;
use crate::fleet::{ADAPTERS, Fleet, FleetPlan};
use crate::invariants::{InvariantReport, served_after};
use crate::seeds::{number, run_seeds};
use portrack_platform_standins::{LostWrites, OrderSeen, StoreSnapshot};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 3;
const MAX_CONCURRENT: usize = 3;
const DAEMONS: u64 = 4;
const SERVERS: usize = 3;
const CALLERS: usize = 12;
const FAULT_PHASE: Duration = Duration::from_secs(22);
/// Recovery time after the last lost write is repeated. If the records of claims were lost and no holder is left, a
/// successor delays its first order by the longest time in which a former holder may still have sent orders: a lease plus
/// the time between two holders.
const RECOVERY_TIME: Duration = Duration::from_millis(11_000);
const MEASUREMENT_TIME: Duration = Duration::from_millis(1_500);
const MIN_SERVED_SHARE: f64 = 0.9;
/// Minimum time between the last order of one daemon and the first of the next. Measured at the servers, so the network
/// delay of orders affects it.
const MIN_ORDER_GAP: Duration = Duration::from_millis(3_000);

/// Phases of a restore from a copy.
enum Restore {
    /// The copy was taken; later writes will be lost.
    Copied { copy: StoreSnapshot, revision: u64, down_at: Instant },
    /// The store is down.
    Down { copy: StoreSnapshot, revision: u64, up_at: Instant },
    /// The store is up again; operators and servers have not repeated the lost writes yet.
    WritesLost { lost: LostWrites, revision: u64, repeat_at: Instant },
}

struct Scenario {
    fleet: Fleet,
    random: SmallRng,
    era: u64,
    restore: Option<Restore>,
    /// Until when each daemon is frozen, or cut off from the store.
    frozen_until: Vec<Option<Instant>>,
    blocked_until: Vec<Option<Instant>>,
}

impl Scenario {
    fn millis(&mut self, least: u64, most: u64) -> Duration {
        Duration::from_millis(self.random.random_range(least..most))
    }

    fn begin_restore(&mut self) {
        if self.restore.is_some() {
            return;
        }
        let down_at = Instant::now() + self.millis(200, 8_000);
        let (copy, revision) = (self.fleet.store.snapshot(), self.fleet.store.revision());
        self.restore = Some(Restore::Copied { copy, revision, down_at });
    }

    /// Advances the restore to its next phase if that is due.
    fn advance_restore(&mut self) {
        let now = Instant::now();
        self.restore = match self.restore.take() {
            Some(Restore::Copied { copy, revision, down_at }) if now >= down_at => {
                self.fleet.store.set_down(true);
                let up_at = now + self.millis(0, 3_000);
                Some(Restore::Down { copy, revision, up_at })
            }
            Some(Restore::Down { copy, revision, up_at }) if now >= up_at => {
                self.era += 1;
                let lost = self.fleet.store.restore(copy, self.era);
                self.fleet.store.set_down(false);
                let repeat_at = now + self.millis(0, 5_000);
                Some(Restore::WritesLost { lost, revision, repeat_at })
            }
            Some(Restore::WritesLost { lost, revision, repeat_at }) if now >= repeat_at => {
                self.fleet.store.replay_lost_writes(lost, revision);
                // A daemon that started in the meantime, while no other was running, could not know these versions.
                self.fleet
                    .announced_versions
                    .iter_mut()
                    .for_each(|announced| announced.accepted = Instant::now());
                None
            }
            other => other,
        };
    }

    fn advance_daemons(&mut self) {
        self.fleet.start_due_daemons();
        let now = Instant::now();
        for n in 0..self.fleet.size() {
            if self.frozen_until[n].take_if(|until| *until <= now).is_some() {
                self.fleet.set_frozen(n, false);
            }
            if self.blocked_until[n].take_if(|until| *until <= now).is_some() {
                self.fleet.set_store_blocked(n, false);
            }
        }
    }

    async fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.advance_restore();
            self.advance_daemons();
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn step(&mut self) {
        let daemons = self.fleet.size();
        let n = self.random.random_range(0..daemons);
        match self.random.random_range(0..16) {
            0..5 => self.begin_restore(),
            5..8 => drop(self.fleet.announce_next_version("a1")),
            8 | 9 => {
                let adapter = self.random.random_range(2..=ADAPTERS);
                self.fleet.announce_next_version(&format!("a{adapter}"));
            }
            10 | 11 => self.take_down(n, Fleet::kill),
            12 => (0..daemons).for_each(|n| self.take_down(n, Fleet::kill)),
            13 => self.take_down(n, Fleet::terminate),
            14 => {
                self.fleet.set_frozen(n, true);
                self.frozen_until[n] = Some(Instant::now() + self.millis(300, 6_000));
            }
            _ => {
                self.fleet.set_store_blocked(n, true);
                self.blocked_until[n] = Some(Instant::now() + self.millis(300, 6_000));
            }
        }
    }

    fn take_down(&mut self, n: usize, take_down: impl Fn(&mut Fleet, usize)) {
        take_down(&mut self.fleet, n);
        let downtime = self.millis(100, 2_500);
        self.fleet.schedule_restart(n, downtime);
    }

    fn is_idle(&self) -> bool {
        let deadlines = [&self.frozen_until, &self.blocked_until];
        let is_over = deadlines.iter().all(|all| all.iter().all(Option::is_none));
        self.restore.is_none() && !self.fleet.has_pending_restarts() && is_over
    }
}

/// Describes orders of two daemons at one server that are too close in time, and fences that decreased.
fn order_violations(mut orders: Vec<OrderSeen>) -> Vec<String> {
    orders.sort_by_key(|order| (order.server.clone(), order.at));
    let pairs = orders.windows(2).filter(|pair| pair[0].server == pair[1].server);
    let violations = pairs.filter_map(|pair| {
        let (one, next) = (&pair[0], &pair[1]);
        let gap = next.at - one.at;
        let too_close = one.holder != next.holder && gap < MIN_ORDER_GAP;
        let fence_decreased = next.fence < one.fence;
        (too_close || fence_decreased).then(|| format!("{one:?}, then after {gap:?} {next:?}"))
    });
    violations.collect()
}

/// Runs the scenario of a seed; the error lists the violations.
async fn run_scenario(seed: u64, daemons: usize) -> Result<String, String> {
    let plan = FleetPlan { era: Some(1), ..FleetPlan::new(daemons, SERVERS) };
    let fleet = Fleet::start_with_plan(&format!("returns-{seed}"), plan).await;
    let mut scenario = Scenario {
        fleet,
        random: SmallRng::seed_from_u64(seed),
        era: 1,
        restore: None,
        frozen_until: vec![None; daemons],
        blocked_until: vec![None; daemons],
    };
    let callers = Callers::default();
    callers.start(seed, CALLERS, &scenario.fleet.callers());
    scenario.run_for(Duration::from_millis(2_500)).await;
    let until = Instant::now() + FAULT_PHASE;
    while Instant::now() < until {
        scenario.step();
        let pause = scenario.millis(50, 900);
        scenario.run_for(pause).await;
    }
    while !scenario.is_idle() {
        scenario.run_for(Duration::from_millis(100)).await;
    }
    scenario.run_for(RECOVERY_TIME).await;
    let recovered_at = Instant::now();
    scenario.run_for(MEASUREMENT_TIME).await;
    let requests = callers.stop().await;
    let report =
        InvariantReport::of(&requests, &scenario.fleet.runs(), &scenario.fleet.announced_versions);
    let (served, order_violations) =
        (served_after(&requests, recovered_at), order_violations(scenario.fleet.orders()));
    let summary = format!(
        "seed {seed}: {:?}, {} restores, served after recovery {served:.3}",
        report.outcomes,
        scenario.era - 1
    );
    if report.is_clean() && order_violations.is_empty() && served >= MIN_SERVED_SHARE {
        return Ok(summary);
    }
    Err(format!(
        "{summary}; logs in {}; {order_violations:#?}; {report:?}",
        scenario.fleet.folder().display()
    ))
}

#[actix_rt::test]
async fn invariants_hold_when_the_store_is_restored_from_copies() {
    let daemons = number("PORTRACK_SOAK_DAEMONS", DAEMONS) as usize;
    run_seeds(FIRST_SEED, SEEDS, MAX_CONCURRENT, |seed| run_scenario(seed, daemons)).await;
}
