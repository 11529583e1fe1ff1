//! Servers restart under the same id, become cold, have their entries overwritten by another writer and
//! their hall evacuated, while daemons are killed and orders are executed late. Checked against what the
//! servers observed.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds.

use crate::callers::Callers;
use crate::fleet::{COLD_RATIO, COLD_SLACK, EVACUATED_WITHIN_MS, Fleet, FleetPlan};
use crate::invariants::{InvariantReport, served_after};
use crate::seeds::number;
use portrack_platform_standins::{Arrival, ColdPlan, HOME_PATH};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 2;
const DAEMONS: usize = 4;
const SERVERS: usize = 4;
const CALLERS: usize = 12;
/// Two halls in one region, one in another.
const HALLS: [(&str, &str); 3] = [("a", "x"), ("b", "x"), ("c", "y")];
const FAULT_PHASE: Duration = Duration::from_secs(20);
const RECOVERY_TIME: Duration = Duration::from_millis(4_000);
const MEASUREMENT_TIME: Duration = Duration::from_millis(1_500);
const MIN_SERVED_SHARE: f64 = 0.8;
/// A server whose entry is invalid gets no new requests after this: the users' lowest bound for leaving servers.
const INVALID_ENTRY_BOUND: Duration = Duration::from_millis(3_000);
/// Every n-th order gets no response and is executed late.
const LATE_ORDERS: u64 = 3;
/// Adapter slots; fewer than the adapters requested of a server, so that late orders reach a full server.
const ADAPTER_SLOTS: usize = 3;
const COLD: ColdPlan = ColdPlan { duration: Duration::from_secs(3), per_second: 8.0 };
/// Share of the requests that only one region may serve.
const HOME_SHARE: f64 = 0.2;

/// Optional checks, each enabled once the daemon implements the feature that it covers.
const OPTIONAL_CHECKS: OptionalChecks =
    OptionalChecks { evacuated: true, cold: true, regions: true };

/// Checks that can be switched on or off.
#[derive(Debug, Clone, Copy)]
struct OptionalChecks {
    evacuated: bool,
    cold: bool,
    regions: bool,
}

/// A period in which a server must get no new requests.
#[derive(Debug, Clone)]
struct ClosedPeriod {
    server: String,
    from: Instant,
    until: Instant,
}

impl ClosedPeriod {
    /// Requests that reached the server in that period.
    fn violating<'a>(&'a self, arrivals: &'a [Arrival]) -> impl Iterator<Item = &'a Arrival> {
        let inside = |at: Instant| self.from < at && at < self.until;
        arrivals.iter().filter(move |arrival| arrival.server == self.server && inside(arrival.at))
    }
}

/// The highest number of requests that one cold server got in any second.
fn max_rate_while_cold(arrivals: &[Arrival]) -> usize {
    let mut by_server: BTreeMap<&str, Vec<Instant>> = BTreeMap::new();
    for arrival in arrivals.iter().filter(|arrival| arrival.cold) {
        by_server.entry(&arrival.server).or_default().push(arrival.at);
    }
    let second = Duration::from_secs(1);
    let most = by_server.values().map(|times| {
        let from = |at: &Instant| {
            times.iter().filter(|other| *other >= at && **other < *at + second).count()
        };
        times.iter().map(from).max().unwrap_or(0)
    });
    most.max().unwrap_or(0)
}

/// Number of requests at servers in a region that their route does not allow.
fn count_outside_region(arrivals: &[Arrival], allowed: &[String]) -> usize {
    let home = arrivals.iter().filter(|arrival| arrival.path.starts_with(HOME_PATH));
    home.filter(|arrival| !allowed.contains(&arrival.server)).count()
}

/// A random invalid server entry.
fn invalid_entry(random: &mut SmallRng) -> Value {
    match random.random_range(0..4) {
        0 => json!("not an entry"),
        1 => json!({ "service": "llm", "state": "ready" }),
        2 => json!({ "service": "llm", "address": 7, "zone": "a", "slots": 32 }),
        _ => json!([]),
    }
}

struct Scenario {
    fleet: Fleet,
    random: SmallRng,
    invalid_entries: Vec<ClosedPeriod>,
    evacuated: Vec<ClosedPeriod>,
}

impl Scenario {
    async fn pause(&mut self, least: u64, most: u64) {
        let millis = self.random.random_range(least..most);
        actix_rt::time::sleep(Duration::from_millis(millis)).await;
    }

    async fn step(&mut self) {
        let server = self.random.random_range(0..SERVERS);
        let daemon = self.random.random_range(0..DAEMONS);
        match self.random.random_range(0..12) {
            0..4 => self.fleet.servers[server].restart(),
            4 => self.fleet.servers.iter().for_each(|server| server.restart()),
            5 | 6 => self.replace_entry(server).await,
            7 => self.evacuate().await,
            8 => self.fleet.servers[server].turn_cold(),
            9 => {
                self.fleet.kill(daemon);
                self.pause(100, 1_500).await;
                self.fleet.start_daemon(daemon);
            }
            10 => {
                self.fleet.announce_next_version("a1");
            }
            _ => self.pause(1_000, 2_500).await,
        }
        self.pause(50, 900).await;
    }

    async fn replace_entry(&mut self, server: usize) {
        let entry = invalid_entry(&mut self.random);
        let accepted = self.fleet.servers[server].set_foreign_entry(Some(&entry));
        self.pause(3_500, 5_000).await;
        let server = &self.fleet.servers[server];
        let until = Instant::now();
        server.set_foreign_entry(None);
        let from = accepted + INVALID_ENTRY_BOUND;
        self.invalid_entries.push(ClosedPeriod { server: server.id().into(), from, until });
    }

    /// Evacuates a random hall and reinstates it; its servers come back cold.
    async fn evacuate(&mut self) {
        let (hall, _) = HALLS[self.random.random_range(0..HALLS.len())];
        let accepted = self.fleet.set_evacuated(hall, true);
        self.pause(6_000, 8_000).await;
        let until = Instant::now();
        let from = accepted + Duration::from_millis(EVACUATED_WITHIN_MS);
        for server in self.fleet.servers.iter().filter(|server| server.hall() == hall) {
            server.turn_cold();
            self.evacuated.push(ClosedPeriod { server: server.id().into(), from, until });
        }
        self.fleet.set_evacuated(hall, false);
    }

    /// Describes the violations.
    fn violations(&self, report: &InvariantReport) -> Vec<String> {
        let arrivals = self.fleet.arrivals();
        let count = |closed: &[ClosedPeriod]| -> usize {
            closed.iter().map(|closed| closed.violating(&arrivals).count()).sum()
        };
        let allowed: Vec<String> = {
            let home = HALLS[0].1;
            let halls: Vec<&str> =
                HALLS.iter().filter(|(_, region)| *region == home).map(|(hall, _)| *hall).collect();
            let inside = self.fleet.servers.iter().filter(|server| halls.contains(&server.hall()));
            inside.map(|server| server.id().to_owned()).collect()
        };
        let overfilled: usize =
            self.fleet.servers.iter().map(|server| server.loads_over_capacity()).sum();
        let cold_bound = COLD.per_second * COLD_RATIO + COLD_SLACK;
        let most_cold = max_rate_while_cold(&arrivals);
        let (evacuated, outside) =
            (count(&self.evacuated), count_outside_region(&arrivals, &allowed));
        println!(
            "  observed: {evacuated} at evacuated halls, {most_cold} per second at a cold server, {outside} outside their region"
        );
        let checks = [
            (!report.is_clean(), format!("{report:?}")),
            (
                count(&self.invalid_entries) > 0,
                format!("{} at servers with an invalid entry", count(&self.invalid_entries)),
            ),
            (overfilled > 0, format!("{overfilled} loads beyond a server's adapter slots")),
            (OPTIONAL_CHECKS.evacuated && evacuated > 0, format!("{evacuated} at evacuated halls")),
            (
                OPTIONAL_CHECKS.cold && most_cold as f64 > cold_bound,
                format!("{most_cold} at a cold server"),
            ),
            (OPTIONAL_CHECKS.regions && outside > 0, format!("{outside} outside their region")),
        ];
        checks.into_iter().filter(|(is_violated, _)| *is_violated).map(|(_, why)| why).collect()
    }
}

async fn run_scenario(seed: u64) -> Result<String, String> {
    let plan = FleetPlan {
        halls: HALLS.to_vec(),
        adapter_slots: ADAPTER_SLOTS,
        late_orders: LATE_ORDERS,
        cold: Some(COLD),
        ..FleetPlan::new(DAEMONS, SERVERS)
    };
    let fleet = Fleet::start_with_plan(&format!("servers-{seed}"), plan).await;
    let random = SmallRng::seed_from_u64(seed);
    let mut scenario =
        Scenario { fleet, random, invalid_entries: Vec::new(), evacuated: Vec::new() };
    let callers = Callers::default();
    callers.set_home_share(HOME_SHARE);
    callers.start(seed, CALLERS, &scenario.fleet.callers());
    let until = Instant::now() + FAULT_PHASE;
    while Instant::now() < until {
        scenario.step().await;
    }
    actix_rt::time::sleep(RECOVERY_TIME).await;
    let recovered_at = Instant::now();
    actix_rt::time::sleep(MEASUREMENT_TIME).await;
    let requests = callers.stop().await;
    let report =
        InvariantReport::of(&requests, &scenario.fleet.runs(), &scenario.fleet.announced_versions);
    let served = served_after(&requests, recovered_at);
    let summary = format!("seed {seed}: {:?}, served after recovery {served:.3}", report.outcomes);
    let violations = scenario.violations(&report);
    if violations.is_empty() && served >= MIN_SERVED_SHARE {
        return Ok(summary);
    }
    Err(format!("{summary}; logs in {}; {violations:?}", scenario.fleet.folder().display()))
}

#[actix_rt::test]
async fn invariants_hold_while_servers_restart_under_the_same_id() {
    let first = number("PORTRACK_SOAK_FIRST", FIRST_SEED);
    let mut violations = Vec::new();
    for seed in first..first + number("PORTRACK_SOAK_SEEDS", SEEDS) {
        match run_scenario(seed).await {
            Ok(summary) => println!("{summary}"),
            Err(why) => violations.push(why),
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}

fn arrival(server: &str, path: &str, at: Instant, cold: bool) -> Arrival {
    Arrival { server: server.into(), path: path.into(), at, cold }
}

/// Verifies that the checks detect violations.
#[test]
fn checks_detect_requests_to_closed_cold_and_out_of_region_servers() {
    let start = Instant::now();
    let after = |millis: u64| start + Duration::from_millis(millis);
    let closed = ClosedPeriod { server: "i-1".into(), from: after(5_000), until: after(8_000) };
    let at = [4_000, 6_000, 9_000].map(|millis| arrival("i-1", "/chat/x", after(millis), false));
    assert_eq!(closed.violating(&at).count(), 1);
    let burst: Vec<Arrival> =
        (0..30).map(|n| arrival("i-1", "/chat/x", after(n * 50), n < 25)).collect();
    assert_eq!(
        max_rate_while_cold(&burst),
        20,
        "only requests that arrived while the server was cold count"
    );
    let home = arrival("i-1", "/home/x", start, false);
    assert_eq!(count_outside_region(std::slice::from_ref(&home), &["i-1".into()]), 0);
    assert_eq!(count_outside_region(&[home], &["i-2".into()]), 1);
}
