//! Servers announce changing limits, draining and backoff only in their responses, while daemons are killed,
//! stopped, frozen and cut off from the store. Checked against what the servers observed.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds.

use crate::callers::Callers;
use crate::fleet::{Fleet, FleetPlan};
use crate::invariants::{InvariantReport, served_after};
use crate::seeds::run_seeds;
use portrack_platform_standins::{HintPeriod, ServerHints};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 3;
/// Concurrent scenarios of four daemons each; a small machine can run this many.
const MAX_CONCURRENT: usize = 3;
const DAEMONS: usize = 4;
const SERVERS: usize = 5;
const CALLERS: usize = 16;
const FAULT_PHASE: Duration = Duration::from_secs(25);
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);
const MEASUREMENT_TIME: Duration = Duration::from_millis(2_000);
const MIN_SERVED_SHARE: f64 = 0.9;
/// The users' bounds on a limit: from `CONTACT` after its first announcement, a server gets in any `SPAN` at most `RATIO`
/// times the limit plus `SLACK` requests.
const CONTACT: Duration = Duration::from_millis(3_000);
const SPAN: Duration = Duration::from_millis(4_000);
const RATIO: f64 = 1.5;
const SLACK: f64 = 5.0;
/// No request arrives this long after a server announced in a response that it leaves.
const DRAIN: Duration = Duration::from_millis(2_000);
/// From this long after the first response that asked for backoff, each daemon sends at most `MAX_IN_BACKOFF` requests
/// within the backoff.
const GRACE: Duration = Duration::from_millis(500);
const MAX_IN_BACKOFF: usize = 2;
/// Requests allowed to a disturbed daemon at each server: it may have missed an announcement, and sends requests until it
/// learns of it.
const DISTURBED_ALLOWANCE: usize = 4;
/// How long a daemon may be out of touch after a disturbance.
const DISTURBANCE_TAIL: Duration = Duration::from_millis(3_000);
const LIMITS: [f64; 5] = [0.0, 0.5, 2.0, 5.0, 20.0];

/// Servers, adapter slots of each and additional adapters in the test with two limited servers.
const LIMITED_SERVERS: usize = 6;
const LIMITED_ADAPTER_SLOTS: usize = 12;
const LIMITED_ADAPTERS: usize = 200;
/// Allowed decrease of the share of served requests in that test.
const MAX_DECREASE: f64 = 0.03;

struct Scenario {
    fleet: Fleet,
    random: SmallRng,
    /// Start and end of each disturbance of a daemon: killed, stopped, frozen or cut off from the store.
    disturbed: Vec<(Instant, Instant)>,
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

    /// Changes the announcement of a random server. The first server always accepts requests.
    fn change_announcement(&mut self) {
        let server = self.random.random_range(1..SERVERS);
        let limit = LIMITS[self.random.random_range(0..LIMITS.len())];
        let backoff = Duration::from_millis(self.random.random_range(500..4_000));
        let leaves =
            self.fleet.servers[server].hint_history().last().is_some_and(|said| said.hints.leaving);
        if leaves {
            self.fleet.servers[server].restart();
            return;
        }
        let words = match self.random.random_range(0..6) {
            0..3 => ServerHints { limit: Some(limit), ..ServerHints::default() },
            3 => ServerHints { leaving: true, ..ServerHints::default() },
            4 => ServerHints { backoff: Some(backoff), ..ServerHints::default() },
            _ => ServerHints::default(),
        };
        self.fleet.servers[server].set_hints(words);
    }

    async fn disturb(&mut self) {
        let daemon = self.random.random_range(0..DAEMONS);
        let from = Instant::now();
        match self.random.random_range(0..6) {
            0 | 1 => {
                self.fleet.kill(daemon);
                self.pause(100, 1_500).await;
            }
            2 => {
                self.fleet.terminate(daemon);
                self.pause(1_500, 4_000).await;
            }
            3 | 4 => {
                self.fleet.set_frozen(daemon, true);
                self.pause(300, 3_000).await;
                self.fleet.set_frozen(daemon, false);
            }
            _ => {
                self.fleet.set_store_blocked(daemon, true);
                self.pause(500, 3_000).await;
                self.fleet.set_store_blocked(daemon, false);
            }
        }
        self.start_all();
        self.disturbed.push((from, Instant::now() + DISTURBANCE_TAIL));
    }

    async fn step(&mut self) {
        self.start_all();
        match self.random.random_range(0..10) {
            0..6 => self.change_announcement(),
            6..8 => self.disturb().await,
            _ => self.pause(1_000, 4_000).await,
        }
        self.pause(200, 2_500).await;
    }

    /// Additional requests that disturbed daemons may have sent to one server within a period.
    fn allowance(&self, from: Instant, until: Instant) -> usize {
        let meets = |(began, over): &&(Instant, Instant)| *began < until && from < *over;
        self.disturbed.iter().filter(meets).count() * DISTURBED_ALLOWANCE
    }

    /// Describes the violations at one server.
    fn violations_at(&self, n: usize) -> Vec<String> {
        let server = &self.fleet.servers[n];
        let arrivals: Vec<Instant> = server.arrivals().iter().map(|arrival| arrival.at).collect();
        let announcements = server.hint_history();
        let mut violations = Vec::new();
        for announcement in &announcements {
            let allowance = |from, until| self.allowance(from, until);
            violations.extend(
                violation(announcement, &arrivals, &allowance).map(|why| format!("i-{n}: {why}")),
            );
        }
        violations
    }
}

fn between(arrivals: &[Instant], from: Instant, until: Instant) -> usize {
    arrivals.iter().filter(|at| **at >= from && **at < until).count()
}

/// Describes the requests that a server got in violation of its announcement, if any.
fn violation(
    announcement: &HintPeriod,
    arrivals: &[Instant],
    allowance: &dyn Fn(Instant, Instant) -> usize,
) -> Option<String> {
    let heard = announcement.first_sent?;
    let until = announcement.until.unwrap_or_else(Instant::now);
    if let Some(limit) = announcement.hints.limit {
        let spans = arrivals
            .iter()
            .filter(|at| **at >= announcement.from + CONTACT && **at + SPAN <= until);
        let over = spans.filter_map(|from| {
            let (got, to) = (between(arrivals, *from, *from + SPAN), *from + SPAN);
            let allowed = RATIO * limit * SPAN.as_secs_f64() + SLACK;
            let allowed = allowed + allowance(*from, to) as f64;
            (got as f64 > allowed).then_some((got, allowed))
        });
        let (got, allowed) = over.max_by_key(|(got, _)| *got)?;
        return Some(format!("limit {limit}: {got} requests in a span, allowed {allowed:.1}"));
    }
    if announcement.hints.leaving {
        let from = heard + DRAIN;
        let got = between(arrivals, from, until);
        let allowed = allowance(from, until);
        return (got > allowed)
            .then(|| format!("{got} requests to a leaving server, allowed {allowed}"));
    }
    let backoff = announcement.hints.backoff?;
    // The window excludes the grace period, since each daemon sends one request as a backoff ends.
    let window = backoff.saturating_sub(GRACE);
    let allowed = |from| MAX_IN_BACKOFF * DAEMONS + allowance(from, from + window);
    let starts = arrivals.iter().filter(|at| **at >= heard + GRACE && **at + window <= until);
    let over = starts.filter(|from| between(arrivals, **from, **from + window) > allowed(**from));
    let most = over.map(|from| between(arrivals, *from, *from + window)).max()?;
    Some(format!("{most} requests within a backoff of {backoff:?}"))
}

async fn run_scenario(seed: u64) -> Result<String, String> {
    let fleet =
        Fleet::start_with_plan(&format!("words-{seed}"), FleetPlan::new(DAEMONS, SERVERS)).await;
    let random = SmallRng::seed_from_u64(seed);
    let mut scenario = Scenario { fleet, random, disturbed: Vec::new() };
    let callers = Callers::default();
    callers.start(seed, CALLERS, &scenario.fleet.callers());
    let until = Instant::now() + FAULT_PHASE;
    while Instant::now() < until {
        scenario.step().await;
    }
    for server in &scenario.fleet.servers {
        match server.hint_history().last().is_some_and(|said| said.hints.leaving) {
            true => server.restart(),
            false => server.set_hints(ServerHints::default()),
        }
    }
    let until = Instant::now() + RECOVERY_TIME;
    while Instant::now() < until {
        scenario.start_all();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let recovered_at = Instant::now();
    actix_rt::time::sleep(MEASUREMENT_TIME).await;
    let requests = callers.stop().await;
    let report =
        InvariantReport::of(&requests, &scenario.fleet.runs(), &scenario.fleet.announced_versions);
    let served = served_after(&requests, recovered_at);
    let violations: Vec<String> = (0..SERVERS).flat_map(|n| scenario.violations_at(n)).collect();
    let announced: usize =
        scenario.fleet.servers.iter().map(|server| server.hint_history().len()).sum();
    let summary = format!(
        "seed {seed}: {:?}, {announced} announcements, served after recovery {served:.3}",
        report.outcomes
    );
    if report.is_clean() && violations.is_empty() && served >= MIN_SERVED_SHARE {
        return Ok(summary);
    }
    Err(format!(
        "{summary}; logs in {}; {report:?}; {violations:?}",
        scenario.fleet.folder().display()
    ))
}

#[actix_rt::test]
async fn announced_limits_draining_and_backoff_are_honoured_despite_daemon_faults() {
    run_seeds(FIRST_SEED, SEEDS, MAX_CONCURRENT, run_scenario).await;
}

/// Servers with a low limit must not cause refusals while others have capacity: adapters that only the limited servers hold
/// are loaded elsewhere.
#[actix_rt::test]
async fn two_of_six_servers_limited_to_one_request_a_second_cause_few_refusals() {
    let plan = FleetPlan {
        adapter_slots: LIMITED_ADAPTER_SLOTS,
        ..FleetPlan::new(DAEMONS, LIMITED_SERVERS)
    };
    let fleet = Fleet::start_with_plan("limited", plan).await;
    let callers = Callers::default();
    callers.set_more_adapters(LIMITED_ADAPTERS);
    callers.start(7, CALLERS, &fleet.callers());
    actix_rt::time::sleep(CONTACT).await;
    let before = Instant::now();
    actix_rt::time::sleep(SPAN).await;
    let announced_at = Instant::now();
    for server in &fleet.servers[..2] {
        server.set_hints(ServerHints { limit: Some(1.0), ..ServerHints::default() });
    }
    actix_rt::time::sleep(CONTACT).await;
    let from = Instant::now();
    actix_rt::time::sleep(SPAN * 2).await;
    let requests = callers.stop().await;
    let before_limits: Vec<_> =
        requests.iter().filter(|one| one.sent < announced_at).cloned().collect();
    let (unlimited, limited) =
        (served_after(&before_limits, before), served_after(&requests, from));
    println!("served {unlimited:.3} without limits, {limited:.3} with them");
    assert!(
        limited >= unlimited - MAX_DECREASE,
        "{unlimited:.3} without limits, {limited:.3} with them"
    );
}

/// Verifies that the check detects violations.
#[test]
fn check_detects_requests_that_violate_an_announcement() {
    let start = Instant::now();
    let after = |millis: u64| start + Duration::from_millis(millis);
    let announcement = |words| HintPeriod {
        hints: words,
        from: start,
        first_sent: Some(after(100)),
        until: Some(after(20_000)),
    };
    let none = |_, _| 0;
    let is_violation = |words, arrivals: &[u64]| {
        let arrivals: Vec<Instant> = arrivals.iter().map(|millis| after(*millis)).collect();
        violation(&announcement(words), &arrivals, &none).is_some()
    };
    let limited = ServerHints { limit: Some(1.0), ..ServerHints::default() };
    let burst: Vec<u64> = (0..12).map(|n| 4_000 + n * 100).collect();
    assert!(is_violation(limited, &burst) && !is_violation(limited, &burst[1..]));
    assert!(
        !is_violation(limited, &burst.iter().map(|at| at - 3_900).collect::<Vec<u64>>()),
        "a limit does not apply before CONTACT has passed"
    );
    let leaving = ServerHints { leaving: true, ..ServerHints::default() };
    assert!(is_violation(leaving, &[2_200]) && !is_violation(leaving, &[50, 1_900]));
    let backoff = ServerHints { backoff: Some(Duration::from_secs(3)), ..ServerHints::default() };
    let many: Vec<u64> = (0..9).map(|n| 700 + n * 10).collect();
    assert!(is_violation(backoff, &many) && !is_violation(backoff, &many[1..]));
}
