//! Callers whose requests crash servers, beside honest ones, while daemons are killed, stopped, frozen and turned
//! away by the store. Judged by what servers saw: how often such a request came after the third crash, and
//! whether the others are served.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` name other seeds than the few that run always.

use crate::callers::Callers;
use crate::fleet::{Fleet, FleetPlan, HOST, MODEL};
use crate::judge::{Verdict, served_after};
use crate::series::play_seeds;
use portrack_platform_standins::{Arrival, CHAT_PATH, CallerConnection, CallerRequest, Crash};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 2;
/// Plays at the same time: with four daemons each, within what a small machine bears.
const PLAYS_AT_ONCE: usize = 3;
const DAEMONS: usize = 4;
const SERVERS: usize = 6;
const CALLERS: usize = 12;
/// Requests that crash servers.
const CRASHING: usize = 2;
const TROUBLE: Duration = Duration::from_secs(18);
const SETTLE: Duration = Duration::from_millis(4_000);
const CALM: Duration = Duration::from_millis(2_000);
const SERVED_WHEN_CALM: f64 = 0.9;
/// The users' bounds: the third crash is known after this, and no more than so many sends follow.
const CONTACT: Duration = Duration::from_millis(3_000);
const MOST_AFTER: usize = 3;
const ENDS: usize = 3;

fn crash_path() -> String {
    format!("{CHAT_PATH}crash-")
}

/// Sends one request that crashes servers, again and again, at any daemon, until told to stop.
async fn repeat(n: usize, daemons: Vec<SocketAddr>, mut random: SmallRng, stopped: Rc<Cell<bool>>) {
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
        let asking = async { CallerConnection::open(daemon).await?.send(&request).await };
        let _ = actix_rt::time::timeout(Duration::from_secs(2), asking).await;
        let pause = Duration::from_millis(random.random_range(50..600));
        actix_rt::time::sleep(pause).await;
    }
}

struct Play {
    fleet: Fleet,
    random: SmallRng,
}

impl Play {
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
        // One that was asked to stop may still be at it.
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
                self.fleet.set_turned_away(daemon, true);
                self.pause(500, 3_000).await;
                self.fleet.set_turned_away(daemon, false);
            }
            _ => self.pause(500, 2_500).await,
        }
        self.pause(50, 900).await;
    }
}

/// How often a request came to servers later than it may after its third crash, with all its crashes.
fn after_third_crash(path: &str, crashes: &[Crash], arrivals: &[Arrival]) -> (usize, usize) {
    let mut ends: Vec<Instant> =
        crashes.iter().filter(|crash| crash.path == path).map(|crash| crash.at).collect();
    ends.sort();
    let Some(third) = ends.get(ENDS - 1) else { return (0, ends.len()) };
    let late = arrivals.iter().filter(|arrival| arrival.path == path);
    (late.filter(|arrival| arrival.at > *third + CONTACT).count(), ends.len())
}

async fn play(seed: u64) -> Result<String, String> {
    let plan = FleetPlan { crashed_by: Some(crash_path()), ..FleetPlan::new(DAEMONS, SERVERS) };
    let fleet = Fleet::start_as(&format!("crashes-{seed}"), plan).await;
    let mut play = Play { fleet, random: SmallRng::seed_from_u64(seed) };
    let callers = Callers::default();
    callers.start(seed, CALLERS, &play.fleet.callers());
    let stopped = Rc::new(Cell::new(false));
    for n in 0..CRASHING {
        let random = SmallRng::seed_from_u64(seed.wrapping_mul(77).wrapping_add(n as u64));
        actix_rt::spawn(repeat(n, play.fleet.callers(), random, stopped.clone()));
    }
    let until = Instant::now() + TROUBLE;
    while Instant::now() < until {
        play.step().await;
    }
    let until = Instant::now() + SETTLE;
    while Instant::now() < until {
        play.start_all();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let calm = Instant::now();
    actix_rt::time::sleep(CALM).await;
    stopped.set(true);
    let asked = callers.stop().await;
    let verdict = Verdict::of(&asked, &play.fleet.runs(), &play.fleet.names);
    let served = served_after(&asked, calm);
    let (crashes, arrivals) = (play.fleet.crashes(), play.fleet.arrivals());
    let late: Vec<(usize, usize)> = (0..CRASHING)
        .map(|n| after_third_crash(&format!("{}{n}", crash_path()), &crashes, &arrivals))
        .collect();
    let told = format!(
        "seed {seed}: {:?}, served when calm {served:.3}, (late sends, crashes) {late:?}",
        verdict.ends
    );
    let few = late.iter().all(|(late, _)| *late <= MOST_AFTER);
    if verdict.is_clean() && few && served >= SERVED_WHEN_CALM {
        return Ok(told);
    }
    Err(format!("{told}; logs in {}; {verdict:?}", play.fleet.folder().display()))
}

#[actix_rt::test]
async fn requests_that_crash_servers_stop_being_sent_whatever_happens_to_daemons() {
    play_seeds(FIRST_SEED, SEEDS, PLAYS_AT_ONCE, play).await;
}

/// The judge finds what it is for.
#[test]
fn a_request_that_goes_on_after_the_third_crash_is_seen() {
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
