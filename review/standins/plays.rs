//! The plays: traffic, the disruption, and the check of the rule.

use crate::fleet::{Answer, Fleet, ask};
use crate::server::hash;
use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One answer in this many has no length, at every second server.
const UNFRAMED_ONE_IN: u64 = 20;
/// Requests a second, over all zones.
const PER_SECOND: f64 = 79.0;
/// Time of the traffic, and of the first disruption.
const LENGTH: Duration = Duration::from_secs(75);
const FIRST: Duration = Duration::from_secs(5);
/// Time between two disruptions of the same kind.
const EVERY: Duration = Duration::from_secs(6);
/// Notice of a server that is taken away.
const NOTICE: Duration = Duration::from_millis(2_000);
/// Time until another server takes the place of one that was taken away, and of one that has crashed.
const REPLACED_AFTER: Duration = Duration::from_secs(4);
const DOWN: Duration = Duration::from_millis(4_500);

/// The model of the sheet, and two smaller ones that a server holds together.
const ONE_MODEL: &str = "m0:42700";
const TWO_MODELS: &str = "m0:22000,m1:22000";
/// Adapters of each model that are asked for all the time, and the requests a second; the rare ones that are asked for
/// besides make it 2.4 times as many for 4.5 s.
const USUAL_ADAPTERS: u64 = 3;
const USUAL_PER_SECOND: f64 = 20.0;
const RARE_PER_SECOND: f64 = 28.0;
const RARE_FOR: Duration = Duration::from_millis(4_500);

/// One request as its caller saw it.
struct Seen {
    id: String,
    front: String,
    sent_s: f64,
    model: String,
    tokens_out: usize,
    answer: io::Result<Answer>,
}

pub fn play(case: &str, daemon: &str, record: &str) -> ExitCode {
    let trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let played = std::panic::catch_unwind(|| run(case, Path::new(daemon), record, trouble));
    let played = played.unwrap_or_else(|_| Err(io::Error::other("the play panicked")));
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

/// Plays a case; returns whether the rule held.
fn run(case: &str, daemon: &Path, record: &str, trouble: bool) -> io::Result<bool> {
    let (servers, models, length) = match case {
        "rare" => (4, TWO_MODELS, Duration::from_secs(25)),
        _ => (12, ONE_MODEL, LENGTH),
    };
    let mut fleet =
        Fleet::start(daemon, servers, models, if case == "rare" { 0 } else { UNFRAMED_ONE_IN })?;
    // Daemons claim the servers, and may order them, within a few seconds of their start.
    thread::sleep(Duration::from_secs(4));
    fleet.note("traffic begins");
    let (began, seen) = (Instant::now(), Arc::default());
    match case {
        "rare" => start_callers(&fleet, &seen, began, length, USUAL_PER_SECOND, usual_adapter),
        _ => start_callers(&fleet, &seen, began, length, PER_SECOND, |_| "m0".into()),
    }
    if trouble {
        match case {
            "spot" => take_servers_away(&mut fleet, began)?,
            "crash" => crash_servers(&mut fleet, began)?,
            "rare" => ask_for_rare_adapters(&fleet, &seen, began),
            _ => return Err(io::Error::other("no such case")),
        }
    }
    thread::sleep((length + Duration::from_secs(10)).saturating_sub(began.elapsed()));
    let seen = seen.lock().expect("a lock");
    judge(case, &fleet, &seen, record)
}

fn usual_adapter(dice: u64) -> String {
    format!("m{}/a{}", dice % 2, 1 + dice / 2 % USUAL_ADAPTERS)
}

fn rare_adapter(dice: u64) -> String {
    format!("m{}/a{}", dice % 2, 100 + dice / 2 % 2_900)
}

/// Many adapters that were not asked for before are asked for at once.
fn ask_for_rare_adapters(fleet: &Fleet, seen: &Arc<Mutex<Vec<Seen>>>, began: Instant) {
    thread::sleep(FIRST.saturating_sub(began.elapsed()));
    fleet.note("rare adapters are asked for");
    start_callers(fleet, seen, began, FIRST + RARE_FOR, RARE_PER_SECOND, rare_adapter);
}

/// Callers send requests to the daemons, each on a connection of its own, until `until` after `began`.
fn start_callers(
    fleet: &Fleet,
    seen: &Arc<Mutex<Vec<Seen>>>,
    began: Instant,
    until: Duration,
    per_second: f64,
    model: fn(u64) -> String,
) {
    let fronts: Vec<_> =
        fleet.daemons.iter().map(|daemon| (daemon.front, daemon.node.clone())).collect();
    let (seen, first) = (seen.clone(), began.elapsed());
    let salt = format!("{}-{}", std::process::id(), first.as_nanos());
    thread::spawn(move || {
        let mut n = 0_u64;
        while began.elapsed() < until {
            let id = format!("{:016x}", hash(&format!("{salt}-{n}")).rotate_left(17) ^ n);
            let dice = |what: &str| hash(&format!("{id}-{what}"));
            let (front, node) = fronts[(dice("front") % fronts.len() as u64) as usize].clone();
            let (tokens_out, model) = (tokens_out(dice("length")), model(dice("model") >> 7));
            let seen = seen.clone();
            thread::spawn(move || {
                let sent_s = began.elapsed().as_secs_f64();
                let answer = ask(front, &id, &model, tokens_out);
                let one = Seen { id, front: node, sent_s, model, tokens_out, answer };
                seen.lock().expect("a lock").push(one);
            });
            n += 1;
            let due = first + Duration::from_secs_f64(n as f64 / per_second);
            thread::sleep(due.saturating_sub(began.elapsed()));
        }
    });
}

/// Tokens of an answer: in the mean those of the sheet's 86 events, at most those of 261.
fn tokens_out(dice: u64) -> usize {
    let uniform = ((dice >> 11) as f64 + 1.0) / (1_u64 << 53) as f64;
    let events = (-uniform.ln() * 90.0).clamp(4.0, 261.0);
    2 * events as usize
}

/// Takes two servers away, every six seconds: 2 s notice, then their processes are killed; others come 4 s later.
fn take_servers_away(fleet: &mut Fleet, began: Instant) -> io::Result<()> {
    let mut due = FIRST;
    while due + EVERY < LENGTH {
        thread::sleep(due.saturating_sub(began.elapsed()));
        let leaving = fleet.with_unframed(2);
        for server in &leaving {
            fleet.give_notice(*server, NOTICE)?;
        }
        thread::sleep((due + NOTICE).saturating_sub(began.elapsed()));
        let zones = kill(fleet, leaving, "is gone");
        thread::sleep((due + NOTICE + REPLACED_AFTER).saturating_sub(began.elapsed()));
        replace(fleet, &zones)?;
        due += EVERY;
    }
    Ok(())
}

/// Kills two servers, every six seconds; others take their places.
fn crash_servers(fleet: &mut Fleet, began: Instant) -> io::Result<()> {
    let mut due = FIRST;
    while due + EVERY < LENGTH {
        thread::sleep(due.saturating_sub(began.elapsed()));
        let crashing = fleet.with_unframed(2);
        let zones = kill(fleet, crashing, "crashes");
        thread::sleep((due + DOWN).saturating_sub(began.elapsed()));
        replace(fleet, &zones)?;
        due += EVERY;
    }
    Ok(())
}

/// Kills servers; returns their zones.
fn kill(fleet: &mut Fleet, servers: Vec<usize>, why: &str) -> Vec<usize> {
    servers.into_iter().rev().map(|server| fleet.kill_server(server, why)).collect()
}

fn replace(fleet: &mut Fleet, zones: &[usize]) -> io::Result<()> {
    zones.iter().try_for_each(|zone| fleet.add_server(*zone, UNFRAMED_ONE_IN))
}

/// Writes the record and checks the rule. MIXED: a success that looks complete has the server's whole body. LIMIT: no
/// order tells a server to load more than it holds.
fn judge(case: &str, fleet: &Fleet, seen: &[Seen], record: &str) -> io::Result<bool> {
    let runs = fleet.runs();
    let over: Vec<&String> = runs.iter().filter(|run| run.contains("TOO MUCH")).collect();
    let mut by_id: HashMap<&str, Vec<&str>> = HashMap::new();
    for run in &runs {
        let id = run.split(' ').find_map(|word| word.strip_prefix("id=")).unwrap_or_default();
        by_id.entry(id).or_default().push(run);
    }
    let mut text = String::from("# what happened\n");
    fleet.notes.lock().expect("a lock").iter().for_each(|note| text.push_str(&format!("{note}\n")));
    let (mut whole, mut short, mut broken, mut refused) = (0, Vec::new(), 0, 0);
    text.push_str("# each request: sent, answered, run\n");
    for one in seen {
        let wanted = one.tokens_out / 2;
        let what = match &one.answer {
            Ok(answer) if answer.status != 200 => {
                refused += 1;
                format!("status={}", answer.status)
            }
            Ok(answer) if !answer.complete => {
                broken += 1;
                format!("status=200 broken_off events={}", answer.events)
            }
            Ok(answer) => {
                if answer.events < wanted {
                    short.push(one)
                } else {
                    whole += 1
                }
                format!("status=200 complete events={}", answer.events)
            }
            Err(error) => {
                broken += 1;
                format!("closed ({})", error.kind())
            }
        };
        let runs = by_id.get(&*one.id).map(|runs| runs.join("; ")).unwrap_or_default();
        let Seen { sent_s, front, id, model, .. } = one;
        text.push_str(&format!(
            "sent={sent_s:.3} id={id} model={model} front={front} wanted={wanted} {what} | {runs}\n"
        ));
    }
    let summary = format!(
        "requests={} whole={whole} broken_off={broken} refused={refused} short_but_complete={} orders_beyond_room={}\n",
        seen.len(),
        short.len(),
        over.len()
    );
    text.push_str("# answers that look complete and are not\n");
    for one in &short {
        let runs = by_id.get(&*one.id).map(|runs| runs.join("; ")).unwrap_or_default();
        let events = one.answer.as_ref().map_or(0, |answer| answer.events);
        let (sent_s, id) = (one.sent_s, &one.id);
        text.push_str(&format!(
            "sent={sent_s:.3} id={id} events={events} of {} | {runs}\n",
            one.tokens_out / 2
        ));
        fleet.logged(id).iter().for_each(|line| text.push_str(&format!("  {line}\n")));
    }
    let orders: Vec<&String> = runs.iter().filter(|run| run.starts_with("load")).collect();
    text.push_str("# orders to load\n");
    orders.iter().for_each(|order| text.push_str(&format!("{order}\n")));
    text.push_str(&format!("# summary\n{summary}"));
    std::fs::write(record, text)?;
    print!("{summary}");
    let held = if case == "rare" { over.is_empty() } else { short.is_empty() };
    if held && whole * 2 < seen.len() {
        return Err(io::Error::other("less than half of the requests were served"));
    }
    Ok(held)
}
