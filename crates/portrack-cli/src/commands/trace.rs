//! `trace`: collects the log lines about one request.
//!
//! The clocks of daemons differ, so lines of different daemons are not merged into one order: the
//! daemon that handled the request comes first, then the others, each in the order of its own clock.

use crate::args::Trace;
use crate::failure::Failure;
use portrack::gateway::log_field;
use std::io::Read;
use std::path::Path;

/// Related lines are shown if they are this close in time to the request, in milliseconds.
const CONTEXT_MS: u64 = 6_000;
/// Events that concern a whole daemon.
const DAEMON_EVENTS: [&str; 9] = [
    "start",
    "stop_begun",
    "stop",
    "store_trouble",
    "store_regained",
    "lease_lost",
    "lease_not_renewed",
    "peer_silent",
    "config_in_force",
];

/// One log line.
#[derive(Debug, Clone, Copy)]
struct Line<'a> {
    text: &'a str,
    time_ms: u64,
}

/// The fields of a `request` line that select related lines.
#[derive(Debug, Default, Clone)]
struct Subject {
    time_ms: u64,
    took_ms: u64,
    server: String,
    adapter: String,
}

/// Prints the lines about a request.
pub fn trace(arguments: &Trace) -> Result<(), Failure> {
    let mut logs = Vec::new();
    for file in &arguments.files {
        logs.push((file.display().to_string(), read(file)?));
    }
    if logs.is_empty() {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text)?;
        logs.push(("standard input".to_owned(), text));
    }
    match explain(&arguments.id, &logs) {
        Some(text) => {
            print!("{text}");
            Ok(())
        }
        None => Err(Failure::Input(format!("no line has request={}", arguments.id))),
    }
}

fn read(file: &Path) -> Result<String, Failure> {
    std::fs::read_to_string(file)
        .map_err(|error| Failure::Input(format!("{}: {error}", file.display())))
}

/// Collects the lines about a request; `None` if no log mentions it.
fn explain(id: &str, logs: &[(String, String)]) -> Option<String> {
    let own = logs.iter().position(|(_, text)| lines(text).any(|line| is_about(line, id)))?;
    let subject = lines(&logs[own].1).find(|line| is_about(*line, id)).map(subject)?;
    let mut order: Vec<usize> = vec![own];
    order.extend((0..logs.len()).filter(|index| *index != own));
    let mut out = String::new();
    for index in order {
        let (name, text) = &logs[index];
        let shown: Vec<Line<'_>> = lines(text)
            .filter(|line| is_about(*line, id) || is_related(*line, &subject, index == own))
            .collect();
        if !shown.is_empty() {
            out.push_str(&format!("== {name}\n"));
            shown.iter().for_each(|line| out.push_str(&format!("{}\n", line.text)));
        }
    }
    Some(out)
}

/// The lines of a log, without any text before `time_ms=`.
fn lines(text: &str) -> impl Iterator<Item = Line<'_>> {
    text.lines().filter_map(|line| {
        let text = &line[line.find("time_ms=")?..];
        let time_ms = log_field(text, "time_ms")?.parse().ok()?;
        Some(Line { text, time_ms })
    })
}

fn is_about(line: Line<'_>, id: &str) -> bool {
    log_field(line.text, "request") == Some(id)
}

fn subject(line: Line<'_>) -> Subject {
    let text =
        |key| log_field(line.text, key).map(|value| value.trim_matches('"')).unwrap_or_default();
    Subject {
        time_ms: line.time_ms,
        took_ms: text("took_ms").parse().unwrap_or(0),
        server: text("server").to_owned(),
        adapter: text("adapter").to_owned(),
    }
}

/// True if a line is about the request's server or adapter, or its daemon, around its time.
fn is_related(line: Line<'_>, subject: &Subject, own: bool) -> bool {
    let from = subject.time_ms.saturating_sub(subject.took_ms + CONTEXT_MS);
    if !(from..=subject.time_ms + CONTEXT_MS).contains(&line.time_ms) {
        return false;
    }
    let event = log_field(line.text, "event").unwrap_or_default();
    if event == "request" {
        return false;
    }
    let same =
        |key: &str, value: &str| !value.is_empty() && log_field(line.text, key) == Some(value);
    let about_adapter = same("adapter", &subject.adapter) || same("evicted", &subject.adapter);
    let about_server = event != "order" && same("server", &subject.server);
    about_adapter || about_server || (own && DAEMON_EVENTS.contains(&event))
}
