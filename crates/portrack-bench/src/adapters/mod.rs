//! The gateway's placement of adapters against baselines, on traces shaped like the users' bench.
//!
//! Seven daemons order twelve servers; there are no messages, faults or prompts. What is compared is which
//! adapters are loaded where, and what is dropped for them.

mod baseline;
mod gateway;
mod servers;
mod trace;

use servers::Servers;
use std::fmt::Write as _;
use trace::{Request, Trace};

/// The step of the simulated clock, in milliseconds.
const STEP_MS: u64 = 5;
/// A request that has not begun after this is refused.
const PATIENCE_MS: u64 = 1_000;
/// A request that has begun within this is in time.
const OBJECTIVE_MS: u64 = 800;

/// Decides which server loads what.
trait Policy {
    /// The name in the table.
    fn name(&self) -> &'static str;
    /// A request finds its adapter at no server; called again while it waits.
    fn missed(&mut self, now: u64, request: &Request, servers: &Servers);
    /// A request runs at a server.
    fn used(&mut self, now: u64, server: usize, request: &Request);
    /// Lets the policy begin and end loads.
    fn step(&mut self, now: u64, servers: &mut Servers);
}

/// How a policy did on one trace.
#[derive(Debug, Default)]
struct Outcome {
    requests: usize,
    hits: usize,
    in_time: usize,
    refused: usize,
}

fn play(trace: &Trace, policy: &mut dyn Policy) -> (Outcome, Servers) {
    let mut servers = Servers::default();
    let mut outcome = Outcome { requests: trace.requests.len(), ..Outcome::default() };
    let mut waiting: Vec<&Request> = Vec::new();
    let mut coming = trace.requests.iter().peekable();
    let mut now = 0;
    while coming.peek().is_some() || !waiting.is_empty() {
        servers.end_runs(now);
        let arrived = std::iter::from_fn(|| coming.next_if(|request| request.at <= now));
        waiting.extend(arrived);
        waiting.retain(|request| {
            let waited = now.saturating_sub(request.at);
            if let Some(server) = servers.begin(now, request) {
                policy.used(now, server, request);
                outcome.hits += usize::from(waited < STEP_MS);
                outcome.in_time += usize::from(waited <= OBJECTIVE_MS);
                return false;
            }
            if waited >= PATIENCE_MS {
                outcome.refused += 1;
                return false;
            }
            policy.missed(now, request, &servers);
            true
        });
        policy.step(now, &mut servers);
        now += STEP_MS;
    }
    (outcome, servers)
}

/// The table of all policies on both shapes.
pub fn report(seeds: u64, seconds: u64) -> String {
    let mut text = String::new();
    for (name, per_second) in [("a quiet day", 42.0), ("a day of high load", 95.0)] {
        let _ = writeln!(text, "\n{name}, {per_second} requests a second\n");
        text.push_str(
            "| policy | requests | found | bound | in time | refused | fetched | at hand |\n",
        );
        text.push_str("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
        let traces: Vec<Trace> =
            (0..seeds).map(|seed| Trace::new(seed, per_second, seconds * 1_000)).collect();
        for policy in 0..4 {
            text.push_str(&row(&traces, policy));
        }
    }
    text
}

fn policy(which: usize) -> Box<dyn Policy> {
    match which {
        0 => Box::new(gateway::Gateway::default()),
        1 => Box::new(baseline::Lru::new(baseline::Choice::Home)),
        2 => Box::new(baseline::Lru::new(baseline::Choice::LeastBusy)),
        _ => Box::new(baseline::Lru::new(baseline::Choice::Random)),
    }
}

fn row(traces: &[Trace], which: usize) -> String {
    let mut sum = Outcome::default();
    let (mut fetched, mut at_hand, mut distinct) = (0, 0, 0);
    let mut name = "";
    for trace in traces {
        let mut policy = policy(which);
        name = policy.name();
        let (outcome, servers) = play(trace, &mut *policy);
        sum.requests += outcome.requests;
        sum.hits += outcome.hits;
        sum.in_time += outcome.in_time;
        sum.refused += outcome.refused;
        fetched += servers.fetched;
        at_hand += servers.loaded_at_hand;
        distinct += trace.distinct();
    }
    let share = |count: usize| count as f64 / sum.requests as f64;
    format!(
        "| {name} | {} | {:.3} | {:.3} | {:.3} | {} | {fetched} | {at_hand} |\n",
        sum.requests,
        share(sum.hits),
        1.0 - share(distinct),
        share(sum.in_time),
        sum.refused,
    )
}
