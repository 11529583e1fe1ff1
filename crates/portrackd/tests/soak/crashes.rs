//! Some callers send requests that crash servers, others send normal requests, while daemons are killed, stopped,
//! frozen and cut off from the store. Checked against what the servers observed: how often a crashing request
//! arrived after its third crash, and whether the normal requests are served.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds.

use crate::callers::Callers;
use crate::fleet::{Fleet, FleetPlan, HOST, MODEL};
use crate::invariants::{InvariantReport, served_after};
use crate::seeds::run_seeds;
use portrack_platform_standins::{Arrival, CHAT_PATH, CallerConnection, CallerRequest, Crash};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 2;
/// Concurrent scenarios of four daemons each; a small machine can run this many.
const MAX_CONCURRENT: usize = 3;
const DAEMONS: usize = 4;
const SERVERS: usize = 6;
const CALLERS: usize = 12;
/// Number of different requests that crash servers.
const CRASHING: usize = 2;
const FAULT_PHASE: Duration = Duration::from_secs(18);
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);
const MEASUREMENT_TIME: Duration = Duration::from_millis(2_000);
const MIN_SERVED_SHARE: f64 = 0.9;
/// The users' bounds: within `CONTACT` the third crash is known to all daemons, and at most `MAX_LATE_SENDS` sends
/// follow.
const CONTACT: Duration = Duration::from_millis(3_000);
const MAX_LATE_SENDS: usize = 3;
const CRASHES_TO_QUARANTINE: usize = 3;

fn crash_path() -> String {
    format!("{CHAT_PATH}crash-")
}

/// Sends one crashing request repeatedly, to random daemons, until stopped.
async fn send_repeatedly(
    n: usize,
    daemons: Vec<SocketAddr>,
    mut random: SmallRng,
    stopped: Rc<Cell<bool>>,
) {
    let path = format!("{}{n}", crash_path());
    let mut number = 0;
    while !stopped.get() {
        let id = format!("crash{n}r{number}");
        number += 1;
        let request = CallerRequest {
            host: HOST,
            path: &path,
            id: &id,
            model: MODEL,
            adapter: "a1",
            timeout: Duration::from_secs(2),
            key: None,
        };
        let daemon = daemons[random.random_range(0..daemons.len())];
        let exchange = async { CallerConnection::open(daemon).await?.send(&request).await };
        let _ = actix_rt::time::timeout(Duration::from_secs(2), exchange).await;
        let pause = Duration::from_millis(random.random_range(50..600));
        actix_rt::time::sleep(pause).await;
    }
}

struct Scenario {
    fleet: Fleet,
    random: SmallRng,
}

impl Scenario {
    async fn pause(&mut self, least: u64, most: u64) {
        let millis = self.random.random_range(least..most);
        actix_rt::time::sleep(Duration::from_millis(millis)).await;
    }

    fn start_all(&mut self) {
        for daemon in 0..DAEMONS {
            self.fleet.start_daemon(daemon);
        }
    }

    async fn step(&mut self) {
        let daemon = self.random.random_range(0..DAEMONS);
        // A daemon that was asked to stop may still have been stopping at the last step.
        self.start_all();
        match self.random.random_range(0..10) {
            0..3 => {
                self.fleet.kill(daemon);
                self.pause(100, 1_500).await;
                self.fleet.start_daemon(daemon);
            }
            3 => {
                (0..DAEMONS).for_each(|daemon| self.fleet.kill(daemon));
                self.pause(100, 1_000).await;
                self.start_all();
            }
            4 => {
                self.fleet.terminate(daemon);
                self.pause(100, 1_500).await;
                self.start_all();
            }
            5 | 6 => {
                self.fleet.set_frozen(daemon, true);
                self.pause(300, 4_000).await;
                self.fleet.set_frozen(daemon, false);
            }
            7 => {
                self.fleet.set_store_blocked(daemon, true);
                self.pause(500, 3_000).await;
                self.fleet.set_store_blocked(daemon, false);
            }
            _ => self.pause(500, 2_500).await,
        }
        self.pause(50, 900).await;
    }
}

/// Counts how often a request arrived later than `CONTACT` after its third crash, and its crashes.
fn after_third_crash(path: &str, crashes: &[Crash], arrivals: &[Arrival]) -> (usize, usize) {
    let mut crash_times: Vec<Instant> =
        crashes.iter().filter(|crash| crash.path == path).map(|crash| crash.at).collect();
    crash_times.sort();
    let Some(third) = crash_times.get(CRASHES_TO_QUARANTINE - 1) else {
        return (0, crash_times.len());
    };
    let late = arrivals.iter().filter(|arrival| arrival.path == path);
    (late.filter(|arrival| arrival.at > *third + CONTACT).count(), crash_times.len())
}

async fn run_scenario(seed: u64) -> Result<String, String> {
    let plan = FleetPlan { crashed_by: Some(crash_path()), ..FleetPlan::new(DAEMONS, SERVERS) };
    let fleet = Fleet::start_with_plan(&format!("crashes-{seed}"), plan).await;
    let mut scenario = Scenario { fleet, random: SmallRng::seed_from_u64(seed) };
    let callers = Callers::default();
    callers.start(seed, CALLERS, &scenario.fleet.callers());
    let stopped = Rc::new(Cell::new(false));
    for n in 0..CRASHING {
        let random = SmallRng::seed_from_u64(seed.wrapping_mul(77).wrapping_add(n as u64));
        actix_rt::spawn(send_repeatedly(n, scenario.fleet.callers(), random, stopped.clone()));
    }
    let until = Instant::now() + FAULT_PHASE;
    while Instant::now() < until {
        scenario.step().await;
    }
    let until = Instant::now() + RECOVERY_TIME;
    while Instant::now() < until {
        scenario.start_all();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let recovered_at = Instant::now();
    actix_rt::time::sleep(MEASUREMENT_TIME).await;
    stopped.set(true);
    let requests = callers.stop().await;
    let report =
        InvariantReport::of(&requests, &scenario.fleet.runs(), &scenario.fleet.announced_versions);
    let served = served_after(&requests, recovered_at);
    let (crashes, arrivals) = (scenario.fleet.crashes(), scenario.fleet.arrivals());
    let late: Vec<(usize, usize)> = (0..CRASHING)
        .map(|n| after_third_crash(&format!("{}{n}", crash_path()), &crashes, &arrivals))
        .collect();
    let summary = format!(
        "seed {seed}: {:?}, served after recovery {served:.3}, (late sends, crashes) {late:?}",
        report.outcomes
    );
    let within_bound = late.iter().all(|(late, _)| *late <= MAX_LATE_SENDS);
    if report.is_clean() && within_bound && served >= MIN_SERVED_SHARE {
        return Ok(summary);
    }
    Err(format!("{summary}; logs in {}; {report:?}", scenario.fleet.folder().display()))
}

#[actix_rt::test]
async fn crashing_requests_are_no_longer_sent_despite_daemon_faults() {
    run_seeds(FIRST_SEED, SEEDS, MAX_CONCURRENT, run_scenario).await;
}

/// Verifies that the check detects violations.
#[test]
fn check_detects_sends_after_the_third_crash() {
    let start = Instant::now();
    let after = |millis: u64| start + Duration::from_millis(millis);
    let crash = |millis: u64| Crash { path: "/chat/crash-0".into(), at: after(millis) };
    let arrival = |millis: u64| Arrival {
        server: "i-1".into(),
        path: "/chat/crash-0".into(),
        at: after(millis),
        cold: false,
    };
    let crashes = [crash(2_000), crash(0), crash(1_000), crash(6_000)];
    let arrivals = [0, 1_000, 2_000, 4_900, 5_100, 6_000].map(arrival);
    assert_eq!(after_third_crash("/chat/crash-0", &crashes, &arrivals), (2, 4));
    assert_eq!(after_third_crash("/chat/crash-1", &crashes, &arrivals), (0, 0));
}
