//! Places of servers in use, second by second, from the lines of requests.

use portrack::gateway::log_field;
use std::collections::BTreeSet;

/// Between two looks, in milliseconds.
const LOOK_EVERY: i64 = 1_000;

/// One request that ran with an adapter; times of day in milliseconds.
#[derive(Debug, Clone)]
struct Run {
    sent: i64,
    ended: i64,
    server: String,
    adapter: String,
}

/// All runs of a day.
#[derive(Debug, Clone, Default)]
pub struct Places {
    runs: Vec<Run>,
}

fn run(line: &str) -> Option<Run> {
    let number = |key| log_field(line, key)?.parse::<i64>().ok();
    let adapter = log_field(line, "adapter").filter(|name| !name.starts_with('"'))?;
    let server = log_field(line, "server").filter(|name| !name.starts_with('"'))?;
    let ended = number("time_ms")?;
    let sent = ended - number("took_ms")? + number("sent_ms").filter(|sent| *sent >= 0)?;
    Some(Run { sent, ended, server: server.to_owned(), adapter: adapter.to_owned() })
}

impl Places {
    /// Takes a request's line in.
    pub fn take(&mut self, line: &str) {
        self.runs.extend(run(line));
    }

    /// Means and maxima over the looks at which something ran.
    pub fn lines(&self) -> Vec<String> {
        let Some(first) = self.runs.iter().map(|run| run.sent).min() else { return Vec::new() };
        let last = self.runs.iter().map(|run| run.ended).max().unwrap_or(first);
        let mut looks = Vec::new();
        for at in (first..=last).step_by(LOOK_EVERY as usize) {
            let on: Vec<&Run> =
                self.runs.iter().filter(|run| run.sent <= at && at < run.ended).collect();
            let places: BTreeSet<_> = on.iter().map(|run| (&run.server, &run.adapter)).collect();
            let adapters: BTreeSet<_> = on.iter().map(|run| &run.adapter).collect();
            looks.push([on.len(), places.len(), adapters.len()]);
        }
        looks.retain(|look| look[0] > 0);
        let names = ["requests at servers", "places in use", "different adapters in use"];
        let line = |(n, name): (usize, &&str)| {
            let all = looks.iter().map(|look| look[n]);
            let mean = all.clone().sum::<usize>() as f64 / looks.len().max(1) as f64;
            format!("{mean:>8.1}  {name} on average, {} at most", all.max().unwrap_or_default())
        };
        names.iter().enumerate().map(line).collect()
    }
}
