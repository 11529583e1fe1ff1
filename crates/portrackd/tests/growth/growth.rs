//! The configuration grows by many routes while a hall is cut off, over slow links. Checked against what callers
//! of every daemon see: a route that is there is served once the configuration is due, and one that is gone is not.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds, `PORTRACK_SOAK_DAEMONS` the size of the
//! fleet, `PORTRACK_SOAK_ROUTES` the number of routes, `PORTRACK_SOAK_MBPS` the links' bandwidth. With
//! `PORTRACK_SOAK_TURNS=1` each daemon runs in short turns, an eighth of the time.

use crate::callers::Callers;
use crate::fleet::{Fleet, FleetPlan, HOST, MODEL};
use crate::invariants::InvariantReport;
use crate::links::Cut;
use crate::seeds::{number, run_seeds};
use portrack::gateway::log_field;
use portrack_platform_standins::{CallerConnection, CallerRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 4;
const MAX_CONCURRENT: usize = 2;
const DAEMONS: u64 = 9;
const SERVERS: usize = 3;
const ROUTES: u64 = 1_400;
const HALLS: [(&str, &str); 3] = [("a", "r"), ("b", "r"), ("c", "r")];
/// Bandwidth of each node's link.
const LINK_MBPS: u64 = 5;
/// How long a hall is cut off, and how long with connections that are reset.
const CUT_FOR: Duration = Duration::from_millis(5_700);
const RESET_FOR: Duration = Duration::from_millis(6_500);
/// The configuration grows this long after the begin of the cut.
const GROWS_AFTER: Duration = Duration::from_millis(2_100);
/// A configuration is in force at daemons in touch this long after the store has accepted it.
const IN_FORCE_WITHIN: Duration = Duration::from_millis(2_000);
/// A daemon is in touch, and has the configuration, this long after the last trouble.
const BACK_WITHIN: Duration = Duration::from_millis(4_000);
/// How long daemons are watched beyond that.
const WATCHED_FOR: Duration = Duration::from_millis(2_000);
const SETTLE_TIME: Duration = Duration::from_millis(3_000);
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
const PROBE_TIMEOUT: Duration = Duration::from_secs(3);
const STEP: Duration = Duration::from_millis(10);
/// How long a frozen daemon stands still, and how long one that was killed is down.
const FROZEN_FOR: Duration = Duration::from_millis(3_500);
const DOWN_FOR: Duration = Duration::from_millis(1_000);
/// Of `TURN_STEPS` steps, a daemon that runs in turns runs one.
const TURN_STEPS: usize = 8;

/// What happens to single daemons beside the cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Beside {
    Nothing,
    Freezes,
    Kills,
}

/// What a caller of a daemon saw.
#[derive(Debug, Clone, Copy)]
struct Seen {
    sent: Instant,
    round: usize,
    /// Whether the round's last route was asked for, or one that is gone with it.
    is_there: bool,
    status: u16,
}

impl Seen {
    fn is_of_older_configuration(&self) -> bool {
        (self.status == 404) == self.is_there
    }
}

/// Callers that ask each daemon for the newest routes and for those that are gone.
#[derive(Clone, Default)]
struct Probes {
    round: Rc<Cell<usize>>,
    routes: usize,
    seen: Rc<RefCell<Vec<Vec<Seen>>>>,
}

fn path(round: usize, route: usize) -> String {
    format!("/grown-{round}-{route}/")
}

impl Probes {
    fn start(daemons: &[SocketAddr], routes: usize) -> Self {
        let probes = Self { routes, ..Self::default() };
        *probes.seen.borrow_mut() = vec![Vec::new(); daemons.len()];
        for (n, daemon) in daemons.iter().copied().enumerate() {
            let probes = probes.clone();
            actix_rt::spawn(async move {
                loop {
                    probes.probe(n, daemon).await;
                    actix_rt::time::sleep(PROBE_INTERVAL).await;
                }
            });
        }
        probes
    }

    /// Asks over one connection until the daemon closes it or does not answer.
    async fn probe(&self, n: usize, daemon: SocketAddr) -> Option<()> {
        let mut connection = CallerConnection::open(daemon).await.ok()?;
        for asked in 0.. {
            let (round, is_there) = (self.round.get(), asked % 2 == 0);
            let path =
                path(if is_there { round } else { round.saturating_sub(1) }, self.routes - 1);
            let sent = Instant::now();
            let request = CallerRequest {
                host: HOST,
                path: &format!("{path}x"),
                id: &format!("{:016x}", rand::random::<u64>()),
                model: MODEL,
                adapter: "a1",
                timeout: PROBE_TIMEOUT,
                key: None,
            };
            let sending = actix_rt::time::timeout(PROBE_TIMEOUT, connection.send(&request));
            let response = sending.await.ok()?.ok()?;
            if round > 0 {
                let seen = Seen { sent, round, is_there, status: response.status };
                self.seen.borrow_mut()[n].push(seen);
            }
            if response.closes() {
                return None;
            }
            actix_rt::time::sleep(PROBE_INTERVAL).await;
        }
        None
    }
}

struct Scenario {
    fleet: Fleet,
    random: SmallRng,
    in_turns: bool,
    steps: usize,
    /// The longest time between two steps: how long the links and the store, which run in this process, stood still.
    longest_step: Duration,
    frozen_until: Vec<Option<Instant>>,
    /// When the last trouble of each daemon ended.
    trouble_ended: Vec<Option<Instant>>,
}

impl Scenario {
    /// Lets time pass.
    async fn run_until(&mut self, until: Instant) {
        while Instant::now() < until {
            let began = Instant::now();
            self.step();
            actix_rt::time::sleep(STEP).await;
            self.longest_step = self.longest_step.max(began.elapsed());
        }
    }

    fn step(&mut self) {
        self.fleet.start_due_daemons();
        self.steps += 1;
        for n in 0..self.fleet.size() {
            if self.frozen_until[n].take_if(|until| *until <= Instant::now()).is_some() {
                self.fleet.set_frozen(n, false);
            }
            if self.in_turns && self.frozen_until[n].is_none() {
                match (self.steps + n) % TURN_STEPS {
                    0 => self.fleet.set_frozen(n, false),
                    1 => self.fleet.set_frozen(n, true),
                    _ => {}
                }
            }
        }
    }

    /// Brings single daemons into trouble.
    fn strike(&mut self, beside: Beside) {
        let now = Instant::now();
        for _ in 0..self.fleet.size().div_ceil(9) {
            let n = self.random.random_range(0..self.fleet.size());
            match beside {
                Beside::Nothing => return,
                Beside::Freezes => {
                    self.fleet.set_frozen(n, true);
                    self.frozen_until[n] = Some(now + FROZEN_FOR);
                    self.trouble_ended[n] = Some(now + FROZEN_FOR);
                }
                Beside::Kills => {
                    self.fleet.kill(n);
                    self.fleet.schedule_restart(n, DOWN_FOR);
                    self.trouble_ended[n] = Some(now + DOWN_FOR);
                }
            }
        }
    }

    /// Cuts a hall off, lets the configuration grow meanwhile, and waits until it is due everywhere. Returns when each
    /// daemon must have it.
    async fn play_round(&mut self, probes: &Probes, cut: Cut, beside: Beside) -> Round {
        let began = Instant::now();
        let hall = HALLS[self.random.random_range(0..HALLS.len())].0;
        let cut_for = if cut == Cut::Reset { RESET_FOR } else { CUT_FOR };
        self.network_cut(Some((hall, cut)));
        self.run_until(began + GROWS_AFTER).await;
        let round = probes.round.get() + 1;
        let routes = (0..probes.routes).map(|route| path(round, route)).collect();
        let accepted = self.fleet.set_further_routes(routes);
        probes.round.set(round);
        self.strike(beside);
        self.run_until(began + cut_for).await;
        self.network_cut(None);
        let healed = Instant::now();
        let due = (0..self.fleet.size()).map(|n| {
            let is_cut = HALLS[n % HALLS.len()].0 == hall;
            let back = [is_cut.then_some(healed), self.trouble_ended[n]];
            let back = back.into_iter().flatten().max().map(|at| at + BACK_WITHIN);
            back.map_or(accepted + IN_FORCE_WITHIN, |back| back.max(accepted + IN_FORCE_WITHIN))
        });
        let due: Vec<Instant> = due.collect();
        let last = due.iter().copied().max().unwrap_or(healed);
        self.run_until(last + WATCHED_FOR).await;
        Round { hall, round, accepted, healed, due }
    }

    fn network_cut(&self, cut: Option<(&'static str, Cut)>) {
        if let Some(network) = &self.fleet.network {
            network.set_cut(cut);
        }
    }
}

/// A configuration, and when each daemon must have it.
struct Round {
    hall: &'static str,
    round: usize,
    accepted: Instant,
    healed: Instant,
    due: Vec<Instant>,
}

impl Round {
    /// What was seen of an older configuration after the newer one was due: the daemon, how late it was, and what was seen.
    fn late(&self, seen: &[Vec<Seen>]) -> Vec<(usize, Duration, Seen)> {
        let late = seen.iter().enumerate().flat_map(|(n, seen)| {
            let due = self.due[n];
            let late = seen.iter().filter(move |seen| {
                seen.round == self.round && seen.sent > due && seen.is_of_older_configuration()
            });
            late.map(move |seen| (n, seen.sent - due, *seen))
        });
        late.collect()
    }

    /// The daemons that were never seen with the configuration.
    fn unseen(&self, seen: &[Vec<Seen>]) -> Vec<usize> {
        (0..seen.len()).filter(|n| self.first_seen(&seen[*n]).is_none()).collect()
    }

    /// When a daemon was first seen with the configuration.
    fn first_seen(&self, seen: &[Seen]) -> Option<Instant> {
        let with_it = |seen: &&Seen| {
            seen.round == self.round && seen.is_there && !seen.is_of_older_configuration()
        };
        seen.iter().find(with_it).map(|seen| seen.sent)
    }

    /// The times from `since` until the daemons of the hall that was cut off, or the others, were seen with the
    /// configuration, in order.
    fn times(&self, seen: &[Vec<Seen>], of_cut_hall: bool) -> Vec<u128> {
        let since = if of_cut_hall { self.healed } else { self.accepted };
        let daemons =
            (0..seen.len()).filter(|n| (HALLS[n % HALLS.len()].0 == self.hall) == of_cut_hall);
        let mut times: Vec<u128> = daemons
            .filter_map(|n| {
                let first = self.first_seen(&seen[n])?;
                Some(first.saturating_duration_since(since).as_millis())
            })
            .collect();
        times.sort_unstable();
        times
    }

    fn summary(&self, seen: &[Vec<Seen>]) -> String {
        let quantiles = |times: Vec<u128>| match times.as_slice() {
            [] => "never seen".to_owned(),
            [first, ..] => {
                let (half, last) = (times[times.len() / 2], times[times.len() - 1]);
                format!("{first}/{half}/{last} ms of {}", times.len())
            }
        };
        let (cut, others) = (quantiles(self.times(seen, true)), quantiles(self.times(seen, false)));
        format!("hall {} after the cut {cut}, others after the change {others}", self.hall)
    }
}

async fn run_scenario(seed: u64, daemons: usize) -> Result<String, String> {
    let mut random = SmallRng::seed_from_u64(seed);
    let cut = [Cut::Silent, Cut::Reset, Cut::Outbound][random.random_range(0..3)];
    let beside = [Beside::Nothing, Beside::Freezes, Beside::Kills][random.random_range(0..3)];
    let rounds = random.random_range(1..=2);
    let plan = FleetPlan {
        halls: HALLS.to_vec(),
        link_mbps: Some(number("PORTRACK_SOAK_MBPS", LINK_MBPS) as f64),
        ..FleetPlan::new(daemons, SERVERS)
    };
    let fleet = Fleet::start_with_plan(&format!("growth-{seed}"), plan).await;
    let in_turns = number("PORTRACK_SOAK_TURNS", 0) > 0;
    let trouble = || vec![None; daemons];
    let (frozen_until, trouble_ended) = (trouble(), trouble());
    let mut scenario = Scenario {
        fleet,
        random,
        in_turns,
        steps: 0,
        longest_step: Duration::ZERO,
        frozen_until,
        trouble_ended,
    };
    let callers = Callers::default();
    callers.start(seed, daemons, &scenario.fleet.callers());
    let routes = number("PORTRACK_SOAK_ROUTES", ROUTES) as usize;
    let probes = Probes::start(&scenario.fleet.callers(), routes);
    scenario.run_until(Instant::now() + SETTLE_TIME).await;
    let (mut late, mut unseen, mut summaries) = (Vec::new(), Vec::new(), Vec::new());
    for _ in 0..rounds {
        let round = scenario.play_round(&probes, cut, beside).await;
        late.extend(round.late(&probes.seen.borrow()));
        unseen.extend(round.unseen(&probes.seen.borrow()));
        summaries.push(round.summary(&probes.seen.borrow()));
    }
    (0..daemons).for_each(|n| scenario.fleet.set_frozen(n, false));
    let (requests, runs) = (callers.stop().await, scenario.fleet.runs());
    let report = InvariantReport::of(&requests, &runs, &scenario.fleet.announced_versions);
    let broken = count(&scenario.fleet.logs(), "catch_up_broken");
    let unanswered = count(&scenario.fleet.logs(), "peer_did_not_answer");
    let summary = format!(
        "seed {seed}: {cut:?}, {beside:?}, {}; {broken} replies broken, {unanswered} not begun; \
         longest step {} ms",
        summaries.join("; "),
        scenario.longest_step.as_millis()
    );
    if late.is_empty() && unseen.is_empty() && report.is_clean() {
        return Ok(summary);
    }
    let folder = scenario.fleet.folder().display();
    let first: Vec<_> = late.iter().take(5).collect();
    Err(format!(
        "{summary}; {} late: {first:?}; never seen with it: {unseen:?}; logs in {folder}; {report:?}",
        late.len()
    ))
}

fn count(logs: &str, event: &str) -> usize {
    logs.lines().filter(|line| log_field(line, "event") == Some(event)).count()
}

/// Guards against daemons that keep an older configuration after a cut, because the newer one is large and their links
/// are slow.
#[actix_rt::test]
async fn a_configuration_that_grew_during_a_cut_is_in_force_soon_after_it() {
    let daemons = number("PORTRACK_SOAK_DAEMONS", DAEMONS) as usize;
    run_seeds(FIRST_SEED, SEEDS, MAX_CONCURRENT, |seed| run_scenario(seed, daemons)).await;
}
