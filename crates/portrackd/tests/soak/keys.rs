//! Keys that come and go while daemons are killed and the store turns some or all of them away.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` name other seeds than the few that run always.

use crate::fleet::{ADAPTERS, Fleet, HOST, MODEL, REVOKED_WITHIN_MS};
use crate::series::number;
use portrack_platform_standins::{CHAT_PATH, CallerConnection, CallerRequest};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

const FIRST_SEED: u64 = 1;
const SEEDS: u64 = 2;
const DAEMONS: usize = 3;
const SERVERS: usize = 2;
const ORGANISATIONS: usize = 3;
/// Keys of each organisation.
const KEYS: usize = 3;
const CALLERS: usize = 8;
const TROUBLE: Duration = Duration::from_secs(14);
const PATIENCE: Duration = Duration::from_secs(3);

/// A request with a key.
struct Shown {
    id: String,
    key: String,
    organisation: usize,
    sent: Instant,
    status: u16,
}

fn key(organisation: usize, nth: usize) -> String {
    format!("secret-{organisation}-{nth}")
}

/// What the operator did to a key, in order: when it was taken away or given back.
type KeyHistory = HashMap<String, Vec<(Instant, bool)>>;

struct Play {
    fleet: Fleet,
    held: Vec<Vec<bool>>,
    history: KeyHistory,
    random: SmallRng,
}

impl Play {
    fn turn_key(&mut self) {
        let (organisation, nth) =
            (self.random.random_range(0..ORGANISATIONS), self.random.random_range(0..KEYS));
        let held = !self.held[organisation][nth];
        self.held[organisation][nth] = held;
        let accepted = self.fleet.set_organisations(organisations(&self.held));
        self.history.entry(key(organisation, nth)).or_default().push((accepted, held));
    }

    fn give_all_back(&mut self) {
        let accepted =
            self.fleet.set_organisations(organisations(&vec![vec![true; KEYS]; ORGANISATIONS]));
        for turns in self.history.values_mut() {
            turns.push((accepted, true));
        }
    }

    async fn step(&mut self) {
        let daemon = self.random.random_range(0..DAEMONS);
        let pause = Duration::from_millis(self.random.random_range(200..2_000));
        match self.random.random_range(0..9) {
            0..4 => self.turn_key(),
            4 => {
                self.fleet.set_turned_away(daemon, true);
                self.turn_key();
                actix_rt::time::sleep(Duration::from_millis(REVOKED_WITHIN_MS + 600)).await;
                self.fleet.set_turned_away(daemon, false);
            }
            5 => {
                (0..DAEMONS).for_each(|daemon| self.fleet.set_turned_away(daemon, true));
                self.turn_key();
                actix_rt::time::sleep(Duration::from_millis(REVOKED_WITHIN_MS + 600)).await;
                (0..DAEMONS).for_each(|daemon| self.fleet.set_turned_away(daemon, false));
            }
            6 => {
                self.fleet.set_turned_away(daemon, true);
                self.fleet.kill(daemon);
                self.fleet.start_daemon(daemon);
                self.turn_key();
                actix_rt::time::sleep(Duration::from_millis(REVOKED_WITHIN_MS)).await;
                self.fleet.set_turned_away(daemon, false);
            }
            7 => {
                self.fleet.set_frozen(daemon, true);
                self.turn_key();
                actix_rt::time::sleep(Duration::from_millis(REVOKED_WITHIN_MS + 300)).await;
                self.fleet.set_frozen(daemon, false);
            }
            _ => {
                self.fleet.kill(daemon);
                actix_rt::time::sleep(pause).await;
                self.fleet.start_daemon(daemon);
            }
        }
        actix_rt::time::sleep(pause).await;
    }
}

fn organisations(held: &[Vec<bool>]) -> Vec<(String, Vec<String>)> {
    let all = held.iter().enumerate().map(|(organisation, keys)| {
        let keys = keys.iter().enumerate().filter(|(_, held)| **held);
        (format!("o{organisation}"), keys.map(|(nth, _)| key(organisation, nth)).collect())
    });
    all.collect()
}

async fn call(
    daemons: Vec<SocketAddr>,
    mut random: SmallRng,
    caller: usize,
    stopped: Rc<Cell<bool>>,
    shown: Rc<RefCell<Vec<Shown>>>,
) {
    let mut number = 0;
    while !stopped.get() {
        let daemon = daemons[random.random_range(0..daemons.len())];
        let organisation = random.random_range(0..ORGANISATIONS);
        let key = key(organisation, random.random_range(0..KEYS));
        let (id, sent) = (format!("c{caller}r{number}"), Instant::now());
        number += 1;
        let request = CallerRequest {
            host: HOST,
            path: &format!("{CHAT_PATH}x"),
            id: &id,
            model: MODEL,
            adapter: &format!("a{}", random.random_range(1..=ADAPTERS)),
            timeout: PATIENCE,
            key: Some(&key),
        };
        let asking = async { CallerConnection::open(daemon).await?.send(&request).await };
        let answer = actix_rt::time::timeout(PATIENCE, asking).await;
        let status = answer.map_or(0, |answer| answer.map_or(0, |answer| answer.status));
        shown.borrow_mut().push(Shown { id, key, organisation, sent, status });
        actix_rt::time::sleep(Duration::from_millis(random.random_range(5..40))).await;
    }
}

/// What was broken, in words.
fn judge(play: &Play, shown: &[Shown]) -> Vec<String> {
    let mut broken = Vec::new();
    let by_id: HashMap<&str, &Shown> = shown.iter().map(|one| (one.id.as_str(), one)).collect();
    for run in play.fleet.runs() {
        let Some(asked) = by_id.get(run.request.as_str()) else { continue };
        if run.has_key {
            broken.push(format!("{}: the server saw a key", run.request));
        }
        if run.organisation.as_deref() != Some(&format!("o{}", asked.organisation)) {
            broken.push(format!("{}: run for {:?}", run.request, run.organisation));
        }
        let turns = play.history.get(&asked.key).map(Vec::as_slice).unwrap_or_default();
        let last = turns.iter().rfind(|(at, _)| *at <= asked.sent);
        if let Some((at, false)) = last {
            let late = asked.sent.duration_since(*at);
            if late > Duration::from_millis(REVOKED_WITHIN_MS) {
                broken.push(format!("{}: sent {late:?} after its key was taken away", run.request));
            }
        }
    }
    let logs = play.fleet.logs();
    if logs.contains("secret-") {
        broken.push("a log line holds a key".into());
    }
    broken
}

async fn play(seed: u64) -> Result<String, String> {
    let held = vec![vec![true; KEYS]; ORGANISATIONS];
    let name = format!("keys-{seed}");
    let fleet = Fleet::start_with(&name, DAEMONS, SERVERS, organisations(&held)).await;
    let random = SmallRng::seed_from_u64(seed);
    let mut play = Play { fleet, held, history: KeyHistory::default(), random };
    let (stopped, shown) = (Rc::new(Cell::new(false)), Rc::new(RefCell::default()));
    for caller in 0..CALLERS {
        let random = SmallRng::seed_from_u64(seed * 1_000 + caller as u64);
        let daemons = play.fleet.callers();
        actix_rt::spawn(call(daemons, random, caller, stopped.clone(), shown.clone()));
    }
    let until = Instant::now() + TROUBLE;
    while Instant::now() < until {
        play.step().await;
    }
    let calm = Instant::now() + Duration::from_millis(4_000);
    play.give_all_back();
    actix_rt::time::sleep(Duration::from_millis(5_500)).await;
    stopped.set(true);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let shown = shown.take();
    let later: Vec<&Shown> = shown.iter().filter(|one| one.sent >= calm).collect();
    let served = later.iter().filter(|one| one.status == 200).count();
    let told = format!("seed {seed}: {} asked, {served} of {} when calm", shown.len(), later.len());
    let broken = judge(&play, &shown);
    let serves = served * 10 >= later.len() * 9 && !later.is_empty();
    match broken.is_empty() && serves {
        true => Ok(told),
        false => Err(format!(
            "{told}; logs in {}; {:?}",
            play.fleet.folder().display(),
            &broken[..broken.len().min(4)]
        )),
    }
}

#[actix_rt::test]
async fn no_key_works_after_its_bound_whatever_happens_to_daemons_and_store() {
    let first = number("PORTRACK_SOAK_FIRST", FIRST_SEED);
    let seeds = first..first + number("PORTRACK_SOAK_SEEDS", SEEDS);
    let mut broken = Vec::new();
    for chunk in seeds.collect::<Vec<_>>().chunks(3) {
        let plays = chunk.iter().map(|seed| play(*seed));
        for played in futures_util::future::join_all(plays).await {
            match played {
                Ok(told) => println!("{told}"),
                Err(why) => broken.push(why),
            }
        }
    }
    assert!(broken.is_empty(), "{broken:#?}");
}
