//! The daemons' own metrics, added up.

use super::daemon::Daemon;
use portrack::daemon::StatusReport;
use std::collections::BTreeMap;

/// Sums over all daemons.
pub struct Meters(BTreeMap<String, f64>);

/// The metrics looked at, without labels.
const LOOKED_AT: [&str; 6] = [
    "portrack_control_bytes_sent_total",
    "portrack_control_bytes_received_total",
    "portrack_control_messages_sent_total",
    "portrack_control_cpu_microseconds_total",
    "portrack_process_cpu_microseconds",
    "portrack_resident_bytes",
];

impl Meters {
    /// Reads every daemon's metrics.
    pub async fn read(client: &awc::Client, daemons: &[Daemon]) -> Self {
        let mut sums = BTreeMap::new();
        for daemon in daemons {
            let url = format!("http://{}/metrics", daemon.operators);
            let Ok(mut response) = client.get(url).send().await else { continue };
            let Ok(body) = response.body().limit(4 * 1024 * 1024).await else { continue };
            let text = String::from_utf8_lossy(&body).into_owned();
            for line in text.lines() {
                let Some((name, value)) = line.rsplit_once(' ') else { continue };
                if LOOKED_AT.iter().any(|wanted| name.starts_with(wanted)) {
                    let value: f64 = value.parse().unwrap_or(0.0);
                    *sums.entry(name.to_owned()).or_default() += value;
                }
            }
        }
        Self(sums)
    }

    /// What a daemon did a second, on average, since an earlier reading.
    pub fn since(&self, before: &Self, daemons: usize, seconds: f64) -> String {
        let mut text = String::from("| each daemon | a second |\n| --- | --- |\n");
        let (mut sent, mut received) = (0.0, 0.0);
        for (name, value) in &self.0 {
            let earlier = before.0.get(name).copied().unwrap_or(0.0);
            let rate = (value - earlier) / daemons as f64 / seconds;
            let each = value / daemons as f64;
            if name.starts_with("portrack_resident") {
                text.push_str(&format!("| resident MB, at the end | {:.1} |\n", each / 1e6));
                continue;
            }
            if name.starts_with("portrack_control_bytes_sent") {
                sent += rate;
            }
            if name.starts_with("portrack_control_bytes_received") {
                received += rate;
            }
            text.push_str(&format!("| {} | {rate:.2} |\n", name.trim_start_matches("portrack_")));
        }
        text.push_str(&format!("| all control bytes sent | {sent:.0} |\n"));
        text.push_str(&format!("| all control bytes received | {received:.0} |\n"));
        text
    }
}

/// The revision in force at every daemon.
pub async fn revisions(client: &awc::Client, daemons: &[Daemon]) -> Vec<u64> {
    let mut revisions = Vec::new();
    for daemon in daemons {
        let url = format!("http://{}/v1/status", daemon.operators);
        let Ok(mut response) = client.get(url).send().await else { continue };
        let body = response.body().limit(4 * 1024 * 1024).await.unwrap_or_default();
        let report: Option<StatusReport> = serde_json::from_slice(&body).ok();
        revisions.push(report.map_or(0, |report| report.revision));
    }
    revisions
}
