//! The rig of the second review: `rig CASE RECORD` plays a case and writes its record; `rig server ADDRESS ID` is a
//! server. It ends with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod parts;

use parts::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).is_some_and(|word| word == "server") {
        serve_as_server(&words[2], &words[3]);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new();
    record.note(format!("trouble {trouble}"));
    let Some(path) = words.get(2).cloned() else { std::process::exit(2) };
    let processes = Processes::default();
    let (late_record, late_path, late_processes) =
        (record.clone(), path.clone(), processes.clone());
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(110));
        late_record.note("given up after 110 s");
        late_record.save(&late_path);
        late_processes.end_all();
        std::process::exit(2);
    });
    let verdict = match words[1].as_str() {
        "drained" => crash(&processes, &record, trouble, Crash::WhileDraining),
        "reborn" => crash(&processes, &record, trouble, Crash::RestartedAtOnce),
        "plain" => crash(&processes, &record, trouble, Crash::Plain),
        "stopping" => stopping(&processes, &record, trouble),
        _ => None,
    };
    let code = match verdict {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    };
    record.note(format!("exit code {code}"));
    record.save(&path);
    processes.end_all();
    let folder = std::env::temp_dir().join(format!("portrack-review-{}", std::process::id()));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(folder);
    }
    std::process::exit(code);
}

#[derive(Clone, Copy, PartialEq)]
enum Crash {
    /// A server that says `draining` crashes.
    WhileDraining,
    /// A server crashes, and its next process listens at the same address at once.
    RestartedAtOnce,
    /// A server crashes and stays away.
    Plain,
}

/// As many servers as the sheet has, each a process on an address of its own.
fn servers(processes: &Processes, record: &Record) -> Option<Vec<Server>> {
    let halls = ["sala-centro", "sala-norte", "sala-orla"];
    let mut all = Vec::new();
    for at in 0..15_usize {
        let service = if at < 12 { "assist-llm" } else { "dock-api" };
        let host = format!("127.0.0.{}", 21 + at);
        let port = free_ports(&[&host], 1)?;
        let address: SocketAddr = format!("{host}:{port}").parse().ok()?;
        let id = format!("i-{:08x}", 0x7f3a_0000_u32 + at as u32 * 0x11);
        all.push(Server::start(processes, record, &id, address, service, halls[at % 3])?);
    }
    Some(all)
}

fn fleet(
    processes: &Processes,
    daemons: usize,
    halls: Option<&'static str>,
    servers: &[Server],
) -> Option<Fleet> {
    Fleet::start_with(processes.clone(), daemons, halls, |store| {
        store.put("op/config", &config(7));
        servers.iter().for_each(|server| store.put(&server.key(), &server.entry("ready")));
    })
}

/// Checks one answer: what a caller takes for a whole success must be the server's whole body.
fn check(record: &Record, attempt: &str, expected: &[u8], answer: Option<Answer>) -> bool {
    let Some(answer) = answer else {
        record.note(format!("caller {attempt}: no answer"));
        return false;
    };
    let signature = field(&answer.fields, "response-signature").unwrap_or("none").to_owned();
    let whole = answer.body == expected;
    record.note(format!(
        "caller {attempt}: status {} signature {signature} {} of {} bytes, {}",
        answer.status,
        answer.body.len(),
        expected.len(),
        if answer.complete { "ended as complete" } else { "cut" }
    ));
    let broken = answer.status == 200 && answer.complete && !whole;
    if broken {
        record.note(format!("BROKEN: {attempt} looks complete and is not the server's whole body"));
    }
    broken
}

fn crash(processes: &Processes, record: &Record, trouble: bool, how: Crash) -> Option<bool> {
    let servers = servers(processes, record)?;
    let fleet = fleet(processes, 3, None, &servers)?;
    if !fleet.wait_ready() {
        record.note("the daemons did not get ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(2));
    let broken = Arc::new(AtomicBool::new(false));
    let stop = Arc::new(AtomicBool::new(false));
    // Usual traffic: streams and plain requests, all with a length or in chunks.
    let sent = Arc::new(AtomicUsize::new(0));
    let mut threads = Vec::new();
    for (at, daemon) in fleet.daemons.iter().enumerate() {
        let (to, record, broken, stop, sent) =
            (daemon.callers, record.clone(), broken.clone(), stop.clone(), sent.clone());
        threads.push(std::thread::spawn(move || {
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let attempt = format!("f{at}{number:06x}");
                let (request, expected) = match number % 6 {
                    0 => (stream_request("chat", &attempt, 12), whole_stream(&attempt)),
                    1 | 3 | 5 => {
                        (plain_request("POST", "status", &attempt, 30, 1500), plain_body(&attempt))
                    }
                    _ => (plain_request("GET", "unlock", &attempt, 30, 1500), plain_body(&attempt)),
                };
                sent.fetch_add(1, Ordering::Relaxed);
                let answer = call(to, &request, b"", Duration::from_secs(15));
                if check(&record, &attempt, &expected, answer) {
                    broken.store(true, Ordering::Relaxed);
                }
            }
        }));
    }
    std::thread::sleep(Duration::from_secs(6));
    // A few answers without a length: streams of both routes.
    let outcomes: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut streams = Vec::new();
    for at in 0..6_usize {
        let attempt = format!("u{at:07x}");
        let path = if at % 2 == 0 { "chat" } else { "digest" };
        let (to, record, broken, outcomes) =
            (fleet.daemons[at % 3].callers, record.clone(), broken.clone(), outcomes.clone());
        let name = attempt.clone();
        record.note(format!("caller {attempt}: sends /{path}/ to {to}"));
        streams.push(attempt.clone());
        threads.push(std::thread::spawn(move || {
            let answer = call(to, &stream_request(path, &name, 20), b"", Duration::from_secs(15));
            if check(&record, &name, &whole_stream(&name), answer) {
                broken.store(true, Ordering::Relaxed);
            }
            outcomes.lock().unwrap().push(name);
        }));
    }
    std::thread::sleep(Duration::from_millis(500));
    let count = |server: &&Server| streams.iter().filter(|attempt| server.has_run(attempt)).count();
    let victim =
        servers.iter().filter(|server| server.service == "assist-llm").max_by_key(count)?;
    if count(&victim) == 0 {
        record.note("no stream without a length runs");
        return None;
    }
    record.note(format!("server {} runs {} streams without a length", victim.id, count(&victim)));
    let mut next = None;
    if how == Crash::WhileDraining {
        record.note(format!("server {} says draining", victim.id));
        fleet.store.put(&victim.key(), &victim.entry("draining"));
        std::thread::sleep(Duration::from_millis(500));
    }
    if trouble {
        record.note(format!("server {} crashes (SIGKILL)", victim.id));
        processes.signal(victim.process, "KILL");
        if how == Crash::RestartedAtOnce {
            // What a supervisor takes to start the next process.
            let after =
                std::env::var("RESTART_MS").ok().and_then(|text| text.parse().ok()).unwrap_or(20);
            std::thread::sleep(Duration::from_millis(after));
            let started = Server::start(
                processes,
                record,
                "i-7f3affff",
                victim.address,
                "assist-llm",
                victim.hall,
            )?;
            fleet.store.put(&started.key(), &started.entry("ready"));
            record.note(format!("server {} listens at its address", started.id));
            next = Some(started);
        }
    }
    let _ = &next;
    std::thread::sleep(Duration::from_millis(3_600));
    if trouble {
        // Three heartbeats of silence.
        fleet.store.remove(&victim.key());
    }
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| drop(thread.join()));
    let (unframed, framed) = (outcomes.lock().unwrap().len(), sent.load(Ordering::Relaxed));
    record.note(format!("answers without a length: {unframed}; others: {framed}"));
    Some(broken.load(Ordering::Relaxed))
}

/// A rolling restart: two of the three daemons of a zone stop. Fewer than half of them are in then, so that the platform
/// uses all of them for new connections.
fn stopping(processes: &Processes, record: &Record, trouble: bool) -> Option<bool> {
    let servers = servers(processes, record)?;
    let fleet = fleet(processes, 3, Some("sala-centro"), &servers)?;
    if !fleet.wait_ready() {
        record.note("the daemons did not get ready");
        return None;
    }
    std::thread::sleep(Duration::from_secs(4));
    // A long stream, which the daemon finishes before it ends.
    let (to, stream_record) = (fleet.daemons[0].callers, record.clone());
    let stream = std::thread::spawn(move || {
        let answer =
            call(to, &stream_request("chat", "f0000001", 72), b"", Duration::from_secs(15));
        check(&stream_record, "f0000001", &whole_stream("f0000001"), answer)
    });
    std::thread::sleep(Duration::from_millis(300));
    let began = Instant::now();
    if trouble {
        for at in [0, 1] {
            record.note(format!("daemon {at} gets SIGTERM"));
            processes.signal(fleet.daemons[at].id, "TERM");
            std::thread::sleep(Duration::from_millis(1_300 * (1 - at as u64)));
        }
    }
    let mut missed = [0_u32; 3];
    let mut last_poll = Instant::now() - Duration::from_secs(2);
    while began.elapsed() < Duration::from_millis(5_350) {
        if last_poll.elapsed() >= Duration::from_secs(1) {
            last_poll = Instant::now();
            for (at, daemon) in fleet.daemons.iter().enumerate() {
                missed[at] = if is_ready(daemon) { 0 } else { missed[at] + 1 };
            }
            record.note(format!("readiness: misses {missed:?}"));
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    let are_in = missed.iter().filter(|missed| **missed < 2).count();
    let uses_all = are_in * 2 < 3 && are_in > 0;
    if trouble && !uses_all {
        record.note("the platform would not use the stopping daemons");
        return None;
    }
    let attempt = "s0000001";
    record.note(format!(
        "caller {attempt}: new connection to daemon 0, {} ms after its SIGTERM",
        began.elapsed().as_millis()
    ));
    let request = plain_request("POST", "status", attempt, 2_400, 3_000);
    let answer = call(fleet.daemons[0].callers, &request, b"", Duration::from_secs(6));
    let ran = servers.iter().any(|server| server.has_run(attempt));
    let answered = answer.as_ref().is_some_and(|answer| answer.complete);
    check(record, attempt, &plain_body(attempt), answer);
    record.note(format!("it ran: {ran}; answered: {answered}"));
    let _ = stream.join();
    std::thread::sleep(Duration::from_secs(1));
    record.note(format!("daemon 0 ended with {:?}", processes.ended(fleet.daemons[0].id)));
    let broken = ran && !answered;
    if broken {
        record.note(
            "BROKEN: the connection was closed without an answer after the request was handed on",
        );
    }
    Some(broken)
}
