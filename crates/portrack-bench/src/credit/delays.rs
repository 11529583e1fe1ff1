//! How long streams waited for a server and for their first part, by route.

use portrack::gateway::log_field;
use std::collections::BTreeMap;

/// Routes with fewer answers than this are left out.
const LEAST_ANSWERS: usize = 30;

/// Times of one route's answered streams, in milliseconds.
#[derive(Debug, Clone, Default)]
struct RouteTimes {
    sent: Vec<i64>,
    read: Vec<i64>,
    pause: Vec<i64>,
}

/// The times of all routes.
#[derive(Debug, Clone, Default)]
pub struct Delays {
    routes: BTreeMap<String, RouteTimes>,
}

fn number(line: &str, key: &str) -> Option<i64> {
    log_field(line, key)?.parse().ok()
}

fn quantile(times: &[i64], share: f64) -> i64 {
    let mut sorted = times.to_vec();
    sorted.sort_unstable();
    let at = (sorted.len() as f64 * share) as usize;
    sorted.get(at.min(sorted.len().saturating_sub(1))).copied().unwrap_or_default()
}

impl Delays {
    /// Takes a request's line in, if it tells of an answered stream.
    pub fn take(&mut self, line: &str) {
        if log_field(line, "end") != Some("answered") {
            return;
        }
        let times = (number(line, "sent_ms"), number(line, "first_ms"), number(line, "pause_ms"));
        let (Some(sent), Some(first @ 0..), Some(pause)) = times else { return };
        let route = log_field(line, "route").unwrap_or_default();
        let route = self.routes.entry(route.to_owned()).or_default();
        route.sent.push(sent);
        route.read.push(first - sent);
        route.pause.push(pause);
    }

    /// A line a route: median and 90th percentile of the time until it was sent, from there to the
    /// first part, and of the longest pause.
    pub fn lines(&self) -> Vec<String> {
        let asked = self.routes.iter().filter(|(_, times)| times.sent.len() >= LEAST_ANSWERS);
        let pair = |times: &[i64]| format!("{}/{}", quantile(times, 0.5), quantile(times, 0.9));
        asked
            .map(|(route, times)| {
                format!(
                    "route {route}: {} answered; p50/p90 ms: sent after {}, first part {} later, \
                     longest pause {}",
                    times.sent.len(),
                    pair(&times.sent),
                    pair(&times.read),
                    pair(&times.pause)
                )
            })
            .collect()
    }
}
