//! Keys are revoked and restored while daemons are killed or frozen and the store is closed to some or all
//! of them.
//!
//! `PORTRACK_SOAK_FIRST` and `PORTRACK_SOAK_SEEDS` override the default seeds.

use crate::fleet::{ADAPTERS, Fleet, HOST, MODEL, REVOKED_WITHIN_MS};
use crate::seeds::number;
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
/// Number of keys of each organisation.
const KEYS: usize = 3;
const CALLERS: usize = 8;
const FAULT_PHASE: Duration = Duration::from_secs(14);
const DEADLINE: Duration = Duration::from_secs(3);

/// A request with a key.
struct SentRequest {
    id: String,
    key: String,
    organisation: usize,
    sent: Instant,
    status: u16,
}

fn key(organisation: usize, nth: usize) -> String {
    format!("secret-{organisation}-{nth}")
}

/// Changes of each key in order: when the store accepted the change, and whether the key was valid from then on.
type KeyHistory = HashMap<String, Vec<(Instant, bool)>>;

struct Scenario {
    fleet: Fleet,
    valid: Vec<Vec<bool>>,
    history: KeyHistory,
    random: SmallRng,
}

impl Scenario {
    fn toggle_key(&mut self) {
        let (organisation, nth) =
            (self.random.random_range(0..ORGANISATIONS), self.random.random_range(0..KEYS));
        let valid = !self.valid[organisation][nth];
        self.valid[organisation][nth] = valid;
        let accepted = self.fleet.set_organisations(organisations(&self.valid));
        self.history.entry(key(organisation, nth)).or_default().push((accepted, valid));
    }

    fn restore_all_keys(&mut self) {
        let accepted =
            self.fleet.set_organisations(organisations(&vec![vec![true; KEYS]; ORGANISATIONS]));
        for changes in self.history.values_mut() {
            changes.push((accepted, true));
        }
    }

    async fn step(&mut self) {
        let daemon = self.random.random_range(0..DAEMONS);
        let pause = Duration::from_millis(self.random.random_range(200..2_000));
        match self.random.random_range(0..9) {
            0..4 => self.toggle_key(),
            4 => {
                self.fleet.set_store_blocked(daemon, true);
                self.toggle_key();
                actix_rt::time::sleep(Duration::from_millis(REVOKED_WITHIN_MS + 600)).await;
                self.fleet.set_store_blocked(daemon, false);
            }
            5 => {
                (0..DAEMONS).for_each(|daemon| self.fleet.set_store_blocked(daemon, true));
                self.toggle_key();
                actix_rt::time::sleep(Duration::from_millis(REVOKED_WITHIN_MS + 600)).await;
                (0..DAEMONS).for_each(|daemon| self.fleet.set_store_blocked(daemon, false));
            }
            6 => {
                self.fleet.set_store_blocked(daemon, true);
                self.fleet.kill(daemon);
                self.fleet.start_daemon(daemon);
                self.toggle_key();
                actix_rt::time::sleep(Duration::from_millis(REVOKED_WITHIN_MS)).await;
                self.fleet.set_store_blocked(daemon, false);
            }
            7 => {
                self.fleet.set_frozen(daemon, true);
                self.toggle_key();
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

fn organisations(valid: &[Vec<bool>]) -> Vec<(String, Vec<String>)> {
    let all = valid.iter().enumerate().map(|(organisation, keys)| {
        let keys = keys.iter().enumerate().filter(|(_, valid)| **valid);
        (format!("o{organisation}"), keys.map(|(nth, _)| key(organisation, nth)).collect())
    });
    all.collect()
}

async fn call(
    daemons: Vec<SocketAddr>,
    mut random: SmallRng,
    caller: usize,
    stopped: Rc<Cell<bool>>,
    requests: Rc<RefCell<Vec<SentRequest>>>,
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
            timeout: DEADLINE,
            key: Some(&key),
        };
        let exchange = async { CallerConnection::open(daemon).await?.send(&request).await };
        let answer = actix_rt::time::timeout(DEADLINE, exchange).await;
        let status = answer.map_or(0, |answer| answer.map_or(0, |answer| answer.status));
        requests.borrow_mut().push(SentRequest { id, key, organisation, sent, status });
        actix_rt::time::sleep(Duration::from_millis(random.random_range(5..40))).await;
    }
}

/// Describes the violations.
fn violations(scenario: &Scenario, requests: &[SentRequest]) -> Vec<String> {
    let mut violations = Vec::new();
    let by_id: HashMap<&str, &SentRequest> =
        requests.iter().map(|one| (one.id.as_str(), one)).collect();
    for run in scenario.fleet.runs() {
        let Some(sent_request) = by_id.get(run.request.as_str()) else { continue };
        if run.has_key {
            violations.push(format!("{}: the server received the key", run.request));
        }
        if run.organisation.as_deref() != Some(&format!("o{}", sent_request.organisation)) {
            violations.push(format!("{}: run for {:?}", run.request, run.organisation));
        }
        let changes =
            scenario.history.get(&sent_request.key).map(Vec::as_slice).unwrap_or_default();
        let last = changes.iter().rfind(|(at, _)| *at <= sent_request.sent);
        if let Some((at, false)) = last {
            let late = sent_request.sent.duration_since(*at);
            if late > Duration::from_millis(REVOKED_WITHIN_MS) {
                violations
                    .push(format!("{}: sent {late:?} after its key was revoked", run.request));
            }
        }
    }
    let logs = scenario.fleet.logs();
    if logs.contains("secret-") {
        violations.push("a log line contains a key".into());
    }
    violations
}

async fn run_scenario(seed: u64) -> Result<String, String> {
    let valid = vec![vec![true; KEYS]; ORGANISATIONS];
    let name = format!("keys-{seed}");
    let fleet =
        Fleet::start_with_organisations(&name, DAEMONS, SERVERS, organisations(&valid)).await;
    let random = SmallRng::seed_from_u64(seed);
    let mut scenario = Scenario { fleet, valid, history: KeyHistory::default(), random };
    let (stopped, requests) = (Rc::new(Cell::new(false)), Rc::new(RefCell::default()));
    for caller in 0..CALLERS {
        let random = SmallRng::seed_from_u64(seed * 1_000 + caller as u64);
        let daemons = scenario.fleet.callers();
        actix_rt::spawn(call(daemons, random, caller, stopped.clone(), requests.clone()));
    }
    let until = Instant::now() + FAULT_PHASE;
    while Instant::now() < until {
        scenario.step().await;
    }
    let recovered_at = Instant::now() + Duration::from_millis(4_000);
    scenario.restore_all_keys();
    actix_rt::time::sleep(Duration::from_millis(5_500)).await;
    stopped.set(true);
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    let requests = requests.take();
    let after_recovery: Vec<&SentRequest> =
        requests.iter().filter(|one| one.sent >= recovered_at).collect();
    let served = after_recovery.iter().filter(|one| one.status == 200).count();
    let summary = format!(
        "seed {seed}: {} requests, {served} of {} served after recovery",
        requests.len(),
        after_recovery.len()
    );
    let violations = violations(&scenario, &requests);
    let has_recovered = served * 10 >= after_recovery.len() * 9 && !after_recovery.is_empty();
    match violations.is_empty() && has_recovered {
        true => Ok(summary),
        false => Err(format!(
            "{summary}; logs in {}; {:?}",
            scenario.fleet.folder().display(),
            &violations[..violations.len().min(4)]
        )),
    }
}

#[actix_rt::test]
async fn revoked_keys_are_rejected_within_the_bound_despite_daemon_and_store_faults() {
    let first = number("PORTRACK_SOAK_FIRST", FIRST_SEED);
    let seeds = first..first + number("PORTRACK_SOAK_SEEDS", SEEDS);
    let mut violations = Vec::new();
    for chunk in seeds.collect::<Vec<_>>().chunks(3) {
        let runs = chunk.iter().map(|seed| run_scenario(*seed));
        for result in futures_util::future::join_all(runs).await {
            match result {
                Ok(summary) => println!("{summary}"),
                Err(why) => violations.push(why),
            }
        }
    }
    assert!(violations.is_empty(), "{violations:#?}");
}
