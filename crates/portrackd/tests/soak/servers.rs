//! Servers that start again under their id, turn cold, whose entries another writer replaces and whose
//! hall is evacuated, while daemons are killed; orders are carried out late. Judged by what servers saw.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` name other seeds than the few that run always.

use crate::callers::Callers;
use crate::fleet::{COLD_RATIO, COLD_SLACK, EVACUATED_WITHIN_MS, Fleet, FleetPlan};
use crate::judge::{Verdict, served_after};
use crate::series::number;
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
/// Two halls in a region, one in another.
const HALLS: [(&str, &str); 3] = [("a", "x"), ("b", "x"), ("c", "y")];
const TROUBLE: Duration = Duration::from_secs(20);
const SETTLE: Duration = Duration::from_millis(4_000);
const CALM: Duration = Duration::from_millis(1_500);
const SERVED_WHEN_CALM: f64 = 0.8;
/// A server whose entry names none gets nothing new after this: the users' least bound on leaving servers.
const UNNAMED_WITHIN: Duration = Duration::from_millis(3_000);
/// Each so manieth order gets no answer and is carried out late.
const LATE_ORDERS: u64 = 3;
/// Places for adapters, fewer than a server is asked for: a late order comes to a full server.
const PLACES: usize = 3;
const COLD: ColdPlan = ColdPlan { duration: Duration::from_secs(3), per_second: 8.0 };
/// Requests that one region alone may serve.
const HOME_SHARE: f64 = 0.2;

/// What is judged besides what always is. A check is on as soon as the daemon has the part it judges.
const JUDGED: Judged = Judged { evacuated: true, cold: true, regions: true };

/// Checks that can be on or off.
#[derive(Debug, Clone, Copy)]
struct Judged {
    evacuated: bool,
    cold: bool,
    regions: bool,
}

/// A time in which a server was to get nothing new.
#[derive(Debug, Clone)]
struct Closed {
    server: String,
    from: Instant,
    until: Instant,
}

impl Closed {
    /// What came to the server although it was closed.
    fn broken_by<'a>(&'a self, arrivals: &'a [Arrival]) -> impl Iterator<Item = &'a Arrival> {
        let inside = |at: Instant| self.from < at && at < self.until;
        arrivals.iter().filter(move |arrival| arrival.server == self.server && inside(arrival.at))
    }
}

/// The most requests that one cold server got in any second.
fn most_while_cold(arrivals: &[Arrival]) -> usize {
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

/// Requests at servers of a region that their route does not allow.
fn outside_region(arrivals: &[Arrival], allowed: &[String]) -> usize {
    let home = arrivals.iter().filter(|arrival| arrival.path.starts_with(HOME_PATH));
    home.filter(|arrival| !allowed.contains(&arrival.server)).count()
}

/// An entry that names no server, of one kind or another.
fn foreign(random: &mut SmallRng) -> Value {
    match random.random_range(0..4) {
        0 => json!("not an entry"),
        1 => json!({ "service": "llm", "state": "ready" }),
        2 => json!({ "service": "llm", "address": 7, "zone": "a", "slots": 32 }),
        _ => json!([]),
    }
}

struct Play {
    fleet: Fleet,
    random: SmallRng,
    unnamed: Vec<Closed>,
    evacuated: Vec<Closed>,
}

impl Play {
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
                self.fleet.name_next("a1");
            }
            _ => self.pause(1_000, 2_500).await,
        }
        self.pause(50, 900).await;
    }

    async fn replace_entry(&mut self, server: usize) {
        let entry = foreign(&mut self.random);
        let accepted = self.fleet.servers[server].set_foreign_entry(Some(&entry));
        self.pause(3_500, 5_000).await;
        let server = &self.fleet.servers[server];
        let until = Instant::now();
        server.set_foreign_entry(None);
        let from = accepted + UNNAMED_WITHIN;
        self.unnamed.push(Closed { server: server.id().into(), from, until });
    }

    /// Its servers come back cold.
    async fn evacuate(&mut self) {
        let (hall, _) = HALLS[self.random.random_range(0..HALLS.len())];
        let accepted = self.fleet.set_evacuated(hall, true);
        self.pause(6_000, 8_000).await;
        let until = Instant::now();
        let from = accepted + Duration::from_millis(EVACUATED_WITHIN_MS);
        for server in self.fleet.servers.iter().filter(|server| server.hall() == hall) {
            server.turn_cold();
            self.evacuated.push(Closed { server: server.id().into(), from, until });
        }
        self.fleet.set_evacuated(hall, false);
    }

    /// What was broken, in words.
    fn broken(&self, verdict: &Verdict) -> Vec<String> {
        let arrivals = self.fleet.arrivals();
        let count = |closed: &[Closed]| -> usize {
            closed.iter().map(|closed| closed.broken_by(&arrivals).count()).sum()
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
        let most_cold = most_while_cold(&arrivals);
        let (evacuated, outside) = (count(&self.evacuated), outside_region(&arrivals, &allowed));
        println!(
            "  seen: {evacuated} at evacuated halls, {most_cold} a second at a cold server, {outside} outside their region"
        );
        let checks = [
            (!verdict.is_clean(), format!("{verdict:?}")),
            (
                count(&self.unnamed) > 0,
                format!("{} at servers without a name", count(&self.unnamed)),
            ),
            (overfilled > 0, format!("{overfilled} loads beyond a server's places")),
            (JUDGED.evacuated && evacuated > 0, format!("{evacuated} at evacuated halls")),
            (JUDGED.cold && most_cold as f64 > cold_bound, format!("{most_cold} at a cold server")),
            (JUDGED.regions && outside > 0, format!("{outside} outside their region")),
        ];
        checks.into_iter().filter(|(broken, _)| *broken).map(|(_, why)| why).collect()
    }
}

async fn play(seed: u64) -> Result<String, String> {
    let plan = FleetPlan {
        halls: HALLS.to_vec(),
        places: PLACES,
        late_orders: LATE_ORDERS,
        cold: Some(COLD),
        ..FleetPlan::new(DAEMONS, SERVERS)
    };
    let fleet = Fleet::start_as(&format!("servers-{seed}"), plan).await;
    let random = SmallRng::seed_from_u64(seed);
    let mut play = Play { fleet, random, unnamed: Vec::new(), evacuated: Vec::new() };
    let callers = Callers::default();
    callers.set_home(HOME_SHARE);
    callers.start(seed, CALLERS, &play.fleet.callers());
    let until = Instant::now() + TROUBLE;
    while Instant::now() < until {
        play.step().await;
    }
    actix_rt::time::sleep(SETTLE).await;
    let calm = Instant::now();
    actix_rt::time::sleep(CALM).await;
    let asked = callers.stop().await;
    let verdict = Verdict::of(&asked, &play.fleet.runs(), &play.fleet.names);
    let served = served_after(&asked, calm);
    let told = format!("seed {seed}: {:?}, served when calm {served:.3}", verdict.ends);
    let broken = play.broken(&verdict);
    if broken.is_empty() && served >= SERVED_WHEN_CALM {
        return Ok(told);
    }
    Err(format!("{told}; logs in {}; {broken:?}", play.fleet.folder().display()))
}

#[actix_rt::test]
async fn servers_that_come_and_go_under_their_id_break_nothing() {
    let first = number("PORTRACK_SOAK_FIRST", FIRST_SEED);
    let mut broken = Vec::new();
    for seed in first..first + number("PORTRACK_SOAK_SEEDS", SEEDS) {
        match play(seed).await {
            Ok(told) => println!("{told}"),
            Err(why) => broken.push(why),
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

fn arrival(server: &str, path: &str, at: Instant, cold: bool) -> Arrival {
    Arrival { server: server.into(), path: path.into(), at, cold }
}

/// The judges find what they are for.
#[test]
fn what_comes_to_a_closed_cold_or_foreign_server_is_seen() {
    let start = Instant::now();
    let after = |millis: u64| start + Duration::from_millis(millis);
    let closed = Closed { server: "i-1".into(), from: after(5_000), until: after(8_000) };
    let at = [4_000, 6_000, 9_000].map(|millis| arrival("i-1", "/chat/x", after(millis), false));
    assert_eq!(closed.broken_by(&at).count(), 1);
    let burst: Vec<Arrival> =
        (0..30).map(|n| arrival("i-1", "/chat/x", after(n * 50), n < 25)).collect();
    assert_eq!(most_while_cold(&burst), 20, "of those that came while it was cold");
    let home = arrival("i-1", "/home/x", start, false);
    assert_eq!(outside_region(std::slice::from_ref(&home), &["i-1".into()]), 0);
    assert_eq!(outside_region(&[home], &["i-2".into()]), 1);
}
