//! Servers that name limits that change, leave by their answers alone and ask for rest, while daemons are killed, stopped,
//! frozen and turned away by the store. Judged by what servers saw.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` name other seeds than the few that run always.

use crate::callers::Callers;
use crate::fleet::{Fleet, FleetPlan};
use crate::judge::{Verdict, served_after};
use crate::series::play_seeds;
use portrack_platform_standins::{HintPeriod, ServerHints};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 3;
/// Plays at the same time: with four daemons each, within what a small machine bears.
const PLAYS_AT_ONCE: usize = 3;
const DAEMONS: usize = 4;
const SERVERS: usize = 5;
const CALLERS: usize = 16;
const TROUBLE: Duration = Duration::from_secs(25);
const SETTLE: Duration = Duration::from_millis(4_000);
const CALM: Duration = Duration::from_millis(2_000);
const SERVED_WHEN_CALM: f64 = 0.9;
/// The users' bounds on a limit: from so long after it was first named, in some span no more than so many times what it
/// names, and so many requests.
const CONTACT: Duration = Duration::from_millis(3_000);
const SPAN: Duration = Duration::from_millis(4_000);
const RATIO: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Nothing comes so long after a server said in an answer that it leaves.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Within a rest, from so long after it was first asked for, each daemon sends no more than so many requests.
const GRACE: Duration = Duration::from_millis(500);
const MOST_IN_REST: usize = 2;
/// A daemon that was disturbed is excused: it may not know what it was told, and asks a server so often until it does.
const DISTURBED_ASKS: usize = 4;
/// For so long after a disturbance a daemon is not in touch.
const DISTURBED_FOR: Duration = Duration::from_millis(3_000);
const LIMITS: [f64; 5] = [0.0, 0.5, 2.0, 5.0, 20.0];

/// Servers, places at each and adapters asked for where two servers take little.
const LIMITED_SERVERS: usize = 6;
const LIMITED_PLACES: usize = 12;
const LIMITED_ADAPTERS: usize = 200;
/// Of the requests that are served otherwise, so many may be refused then.
const LIMITED_COST: f64 = 0.03;

struct Play {
    fleet: Fleet,
    random: SmallRng,
    /// When some daemon was killed, stopped, frozen or turned away, from and until.
    disturbed: Vec<(Instant, Instant)>,
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

    /// Some server says something else. The first one always takes work.
    fn say(&mut self) {
        let server = self.random.random_range(1..SERVERS);
        let limit = LIMITS[self.random.random_range(0..LIMITS.len())];
        let rest = Duration::from_millis(self.random.random_range(500..4_000));
        let leaves =
            self.fleet.servers[server].hint_history().last().is_some_and(|said| said.hints.leaving);
        if leaves {
            self.fleet.servers[server].restart();
            return;
        }
        let words = match self.random.random_range(0..6) {
            0..3 => ServerHints { limit: Some(limit), ..ServerHints::default() },
            3 => ServerHints { leaving: true, ..ServerHints::default() },
            4 => ServerHints { backoff: Some(rest), ..ServerHints::default() },
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
                self.fleet.set_turned_away(daemon, true);
                self.pause(500, 3_000).await;
                self.fleet.set_turned_away(daemon, false);
            }
        }
        self.start_all();
        self.disturbed.push((from, Instant::now() + DISTURBED_FOR));
    }

    async fn step(&mut self) {
        self.start_all();
        match self.random.random_range(0..10) {
            0..6 => self.say(),
            6..8 => self.disturb().await,
            _ => self.pause(1_000, 4_000).await,
        }
        self.pause(200, 2_500).await;
    }

    /// What daemons that were disturbed may have sent to one server within a time, beyond what is allowed.
    fn excused(&self, from: Instant, until: Instant) -> usize {
        let meets = |(began, over): &&(Instant, Instant)| *began < until && from < *over;
        self.disturbed.iter().filter(meets).count() * DISTURBED_ASKS
    }

    /// What was broken at one server, in words.
    fn broken_at(&self, n: usize) -> Vec<String> {
        let server = &self.fleet.servers[n];
        let arrivals: Vec<Instant> = server.arrivals().iter().map(|arrival| arrival.at).collect();
        let said = server.hint_history();
        let mut broken = Vec::new();
        for said in &said {
            let excused = |from, until| self.excused(from, until);
            broken.extend(judge(said, &arrivals, &excused).map(|why| format!("i-{n}: {why}")));
        }
        broken
    }
}

fn between(arrivals: &[Instant], from: Instant, until: Instant) -> usize {
    arrivals.iter().filter(|at| **at >= from && **at < until).count()
}

/// What a server got although it had said otherwise, in words.
fn judge(
    said: &HintPeriod,
    arrivals: &[Instant],
    excused: &dyn Fn(Instant, Instant) -> usize,
) -> Option<String> {
    let heard = said.first_sent?;
    let until = said.until.unwrap_or_else(Instant::now);
    if let Some(limit) = said.hints.limit {
        let spans =
            arrivals.iter().filter(|at| **at >= said.from + CONTACT && **at + SPAN <= until);
        let over = spans.filter_map(|from| {
            let (got, to) = (between(arrivals, *from, *from + SPAN), *from + SPAN);
            let allowed = RATIO * limit * SPAN.as_secs_f64() + SLACK;
            let allowed = allowed + excused(*from, to) as f64;
            (got as f64 > allowed).then_some((got, allowed))
        });
        let (got, allowed) = over.max_by_key(|(got, _)| *got)?;
        return Some(format!("limit {limit}: {got} in a span, allowed {allowed:.1}"));
    }
    if said.hints.leaving {
        let from = heard + DRAIN;
        let got = between(arrivals, from, until);
        let allowed = excused(from, until);
        return (got > allowed).then(|| format!("{got} to one that leaves, allowed {allowed}"));
    }
    let rest = said.hints.backoff?;
    // Counted in windows as long as the rest without its grace: each daemon sends one as a rest ends.
    let window = rest.saturating_sub(GRACE);
    let allowed = |from| MOST_IN_REST * DAEMONS + excused(from, from + window);
    let starts = arrivals.iter().filter(|at| **at >= heard + GRACE && **at + window <= until);
    let over = starts.filter(|from| between(arrivals, **from, **from + window) > allowed(**from));
    let most = over.map(|from| between(arrivals, *from, *from + window)).max()?;
    Some(format!("{most} within a rest of {rest:?}"))
}

async fn play(seed: u64) -> Result<String, String> {
    let fleet = Fleet::start_as(&format!("words-{seed}"), FleetPlan::new(DAEMONS, SERVERS)).await;
    let random = SmallRng::seed_from_u64(seed);
    let mut play = Play { fleet, random, disturbed: Vec::new() };
    let callers = Callers::default();
    callers.start(seed, CALLERS, &play.fleet.callers());
    let until = Instant::now() + TROUBLE;
    while Instant::now() < until {
        play.step().await;
    }
    for server in &play.fleet.servers {
        match server.hint_history().last().is_some_and(|said| said.hints.leaving) {
            true => server.restart(),
            false => server.set_hints(ServerHints::default()),
        }
    }
    let until = Instant::now() + SETTLE;
    while Instant::now() < until {
        play.start_all();
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    let calm = Instant::now();
    actix_rt::time::sleep(CALM).await;
    let asked = callers.stop().await;
    let verdict = Verdict::of(&asked, &play.fleet.runs(), &play.fleet.names);
    let served = served_after(&asked, calm);
    let broken: Vec<String> = (0..SERVERS).flat_map(|n| play.broken_at(n)).collect();
    let said: usize = play.fleet.servers.iter().map(|server| server.hint_history().len()).sum();
    let told =
        format!("seed {seed}: {:?}, {said} words, served when calm {served:.3}", verdict.ends);
    if verdict.is_clean() && broken.is_empty() && served >= SERVED_WHEN_CALM {
        return Ok(told);
    }
    Err(format!("{told}; logs in {}; {verdict:?}; {broken:?}", play.fleet.folder().display()))
}

#[actix_rt::test]
async fn what_servers_say_in_their_answers_is_kept_to_whatever_happens_to_daemons() {
    play_seeds(FIRST_SEED, SEEDS, PLAYS_AT_ONCE, play).await;
}

/// Servers that take little of what comes to them are no reason to refuse requests while others have room: adapters that only
/// they hold are loaded elsewhere.
#[actix_rt::test]
async fn two_servers_of_six_that_take_one_request_a_second_cost_few_refusals() {
    let plan = FleetPlan { places: LIMITED_PLACES, ..FleetPlan::new(DAEMONS, LIMITED_SERVERS) };
    let fleet = Fleet::start_as("limited", plan).await;
    let callers = Callers::default();
    callers.ask_for_more(LIMITED_ADAPTERS);
    callers.start(7, CALLERS, &fleet.callers());
    actix_rt::time::sleep(CONTACT).await;
    let before = Instant::now();
    actix_rt::time::sleep(SPAN).await;
    let named = Instant::now();
    for server in &fleet.servers[..2] {
        server.set_hints(ServerHints { limit: Some(1.0), ..ServerHints::default() });
    }
    actix_rt::time::sleep(CONTACT).await;
    let from = Instant::now();
    actix_rt::time::sleep(SPAN * 2).await;
    let asked = callers.stop().await;
    let until_named: Vec<_> = asked.iter().filter(|one| one.sent < named).cloned().collect();
    let (free, limited) = (served_after(&until_named, before), served_after(&asked, from));
    println!("served {free:.3} without limits, {limited:.3} with them");
    assert!(limited >= free - LIMITED_COST, "{free:.3} without limits, {limited:.3} with them");
}

/// The judge finds what it is for.
#[test]
fn what_comes_against_a_servers_word_is_seen() {
    let start = Instant::now();
    let after = |millis: u64| start + Duration::from_millis(millis);
    let said = |words| HintPeriod {
        hints: words,
        from: start,
        first_sent: Some(after(100)),
        until: Some(after(20_000)),
    };
    let none = |_, _| 0;
    let judged = |words, arrivals: &[u64]| {
        let arrivals: Vec<Instant> = arrivals.iter().map(|millis| after(*millis)).collect();
        judge(&said(words), &arrivals, &none).is_some()
    };
    let limited = ServerHints { limit: Some(1.0), ..ServerHints::default() };
    let burst: Vec<u64> = (0..12).map(|n| 4_000 + n * 100).collect();
    assert!(judged(limited, &burst) && !judged(limited, &burst[1..]));
    assert!(
        !judged(limited, &burst.iter().map(|at| at - 3_900).collect::<Vec<u64>>()),
        "too early"
    );
    let leaving = ServerHints { leaving: true, ..ServerHints::default() };
    assert!(judged(leaving, &[2_200]) && !judged(leaving, &[50, 1_900]));
    let rest = ServerHints { backoff: Some(Duration::from_secs(3)), ..ServerHints::default() };
    let many: Vec<u64> = (0..9).map(|n| 700 + n * 10).collect();
    assert!(judged(rest, &many) && !judged(rest, &many[1..]));
}
