//! Servers of several software versions come, go and come back and break streams off, while daemons are
//! killed, stopped and suspended and lose the store. No stream holds events of two versions, and streams
//! go on.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds.

use crate::fleet::{Fleet, FleetPlan, HOST};
use crate::seeds::run_seeds;
use crate::streams::{StreamCallers, StreamSeen, StreamServer, Try, configure};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 3;
const AT_ONCE: usize = 3;
const DAEMONS: usize = 4;
const CALLERS: usize = 24;
const VERSIONS: [&str; 3] = ["v1", "v1.1", "v2"];
/// Servers of each version that serve in the calm phase, and at least in the other.
const SERVERS_PER_VERSION: usize = 2;
const FAULT_PHASE: Duration = Duration::from_secs(16);
/// Time after the last fault in which daemons come into touch and versions into use.
const RECOVERY_TIME: Duration = Duration::from_millis(6_500);
const CALM_PHASE: Duration = Duration::from_secs(4);
/// Share of the new streams' share that take-ups must reach; the users' bound.
const MIN_TAKE_UP_SHARE: f64 = 0.5;
/// Share of the new streams that begin in the calm phase: nine in ten, as in the other soaks.
const MIN_BEGUN_SHARE: f64 = 0.9;
/// Take-ups below which the users judge nothing.
const MIN_TAKE_UPS: usize = 12;

struct Scenario {
    fleet: Fleet,
    random: SmallRng,
    servers: Vec<StreamServer>,
    started: u64,
}

impl Scenario {
    async fn run_for(&mut self, span: Duration) {
        let until = Instant::now() + span;
        while Instant::now() < until {
            self.fleet.start_due_daemons();
            actix_rt::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn add_server(&mut self, software: &str) {
        self.started += 1;
        let (id, seed) = (format!("s-{}", self.started), self.random.random());
        let server = StreamServer::start(&self.fleet.store, &id, software, seed).await;
        self.servers.push(server);
    }

    fn end_server(&mut self) {
        if self.servers.len() > SERVERS_PER_VERSION {
            let at = self.random.random_range(0..self.servers.len());
            self.servers.swap_remove(at).end(&self.fleet.store);
        }
    }

    /// Replaces all servers by ones of one version.
    async fn release(&mut self, software: &str) {
        for _ in 0..SERVERS_PER_VERSION {
            self.add_server(software).await;
        }
        self.run_for(Duration::from_millis(1_000)).await;
        let (stay, leave): (Vec<_>, Vec<_>) =
            self.servers.drain(..).partition(|server| server.software() == software);
        leave.iter().for_each(|server| server.list(&self.fleet.store, "draining"));
        self.servers = stay;
        self.run_for(Duration::from_millis(700)).await;
        leave.iter().for_each(|server| server.end(&self.fleet.store));
    }

    fn take_down(&mut self, daemon: usize, take_down: impl Fn(&mut Fleet, usize)) {
        take_down(&mut self.fleet, daemon);
        let downtime = Duration::from_millis(self.random.random_range(100..1_500));
        self.fleet.schedule_restart(daemon, downtime);
    }

    async fn step(&mut self) {
        let daemon = self.random.random_range(0..DAEMONS);
        let software = VERSIONS[self.random.random_range(0..VERSIONS.len())];
        match self.random.random_range(0..12) {
            0 | 1 => self.add_server(software).await,
            2 | 3 => self.end_server(),
            4 | 5 => self.release(software).await,
            6 => self.take_down(daemon, Fleet::kill),
            7 => (0..DAEMONS).for_each(|daemon| self.take_down(daemon, Fleet::kill)),
            8 => self.take_down(daemon, Fleet::terminate),
            9 => {
                self.fleet.set_frozen(daemon, true);
                self.run_for(Duration::from_millis(1_200)).await;
                self.fleet.set_frozen(daemon, false);
            }
            10 => {
                self.fleet.set_store_blocked(daemon, true);
                self.run_for(Duration::from_millis(2_500)).await;
                self.fleet.set_store_blocked(daemon, false);
            }
            _ => {
                self.fleet.store.set_down(true);
                self.run_for(Duration::from_millis(1_500)).await;
                self.fleet.store.set_down(false);
            }
        }
        let pause = Duration::from_millis(self.random.random_range(50..900));
        self.run_for(pause).await;
    }

    /// Two servers of each of two versions, and no faults.
    async fn calm_down(&mut self) {
        for server in self.servers.drain(..) {
            server.end(&self.fleet.store);
        }
        for software in &VERSIONS[..2] {
            for _ in 0..SERVERS_PER_VERSION {
                self.add_server(software).await;
            }
        }
        while self.fleet.has_pending_restarts() {
            self.run_for(Duration::from_millis(100)).await;
        }
        self.run_for(RECOVERY_TIME).await;
    }
}

/// The share of tries that brought an event, and their number.
fn share<'a>(tries: impl Iterator<Item = &'a Try>) -> (f64, usize) {
    let all: Vec<&Try> = tries.collect();
    let went_on = all.iter().filter(|attempt| attempt.went_on).count();
    (went_on as f64 / all.len().max(1) as f64, all.len())
}

async fn run_scenario(seed: u64) -> Result<String, String> {
    let plan = FleetPlan { first_start: true, ..FleetPlan::new(DAEMONS, 0) };
    let fleet = Fleet::start_with_plan(&format!("software-{seed}"), plan).await;
    configure(&fleet.store, 2, HOST);
    let random = SmallRng::seed_from_u64(seed);
    let mut scenario = Scenario { fleet, random, servers: Vec::new(), started: 0 };
    for _ in 0..SERVERS_PER_VERSION {
        scenario.add_server(VERSIONS[0]).await;
    }
    scenario.run_for(Duration::from_millis(1_500)).await;
    let callers = StreamCallers::default();
    callers.start(seed, CALLERS, &scenario.fleet.callers(), HOST);
    let until = Instant::now() + FAULT_PHASE;
    while Instant::now() < until {
        scenario.step().await;
    }
    scenario.calm_down().await;
    let calm_from = Instant::now();
    scenario.run_for(CALM_PHASE).await;
    let calm_until = Instant::now();
    let streams = callers.stop().await;
    judge(seed, &streams, calm_from, calm_until)
        .map_err(|why| format!("{why}; logs in {}", scenario.fleet.folder().display()))
}

fn judge(
    seed: u64,
    streams: &[StreamSeen],
    calm_from: Instant,
    calm_until: Instant,
) -> Result<String, String> {
    let mixed = streams.iter().filter(|stream| stream.versions.len() > 1).count();
    let broken = streams.iter().filter(|stream| stream.is_broken()).count();
    let calm = || {
        let tries = streams.iter().flat_map(|stream| &stream.tries);
        tries.filter(|attempt| (calm_from..calm_until).contains(&attempt.sent))
    };
    let (new, begun) = share(calm().filter(|attempt| !attempt.takes_up));
    let (again, taken_up) = share(calm().filter(|attempt| attempt.takes_up));
    let mut statuses = BTreeMap::<u16, usize>::new();
    let taken = streams.iter().flat_map(|stream| &stream.tries).filter(|all| all.takes_up);
    taken.for_each(|attempt| *statuses.entry(attempt.status).or_default() += 1);
    let complete = streams.iter().filter(|stream| stream.complete).count();
    let summary = format!(
        "seed {seed}: {} streams, {complete} complete, {mixed} of two versions, {broken} with gaps; \
         calm: {new:.3} of {begun} begun, {again:.3} of {taken_up} taken up; all take-ups by status \
         {statuses:?}",
        streams.len()
    );
    let goes_on = taken_up >= MIN_TAKE_UPS && again >= MIN_TAKE_UP_SHARE * new;
    match mixed == 0 && broken == 0 && goes_on && new >= MIN_BEGUN_SHARE {
        true => Ok(summary),
        false => Err(summary),
    }
}

#[actix_rt::test]
async fn no_stream_holds_events_of_two_software_versions_and_streams_go_on() {
    run_seeds(FIRST_SEED, SEEDS, AT_ONCE, run_scenario).await;
}
