//! `status` and `drain`.

use crate::client::Client;
use crate::failure::Failure;
use crate::output::{Output, table};
use portrack::daemon::StatusReport;

/// Shows the status of a daemon and its view of the others.
pub async fn status(client: &Client, output: Output) -> Result<(), Failure> {
    let report: StatusReport = client.get("/v1/status").await?;
    output.print(&report, text);
    Ok(())
}

fn text(report: &StatusReport) -> String {
    let mut text = format!(
        "node {} hall {} incarnation {}\nready {} leaving {} in flight {}\n\
         settings revision {} digest {} platform {} watcher {}\n",
        report.node,
        report.hall,
        report.incarnation,
        report.ready,
        report.leaving,
        report.in_flight,
        report.revision,
        report.digest,
        report.platform,
        report.watcher
    );
    for key in &report.refused_entries {
        text.push_str(&format!("entry {key} cannot be used by this build\n"));
    }
    let head = ["engine", "fence", "serving", "pins", "waiting", "ready", "loading"];
    let mut rows = vec![head.map(String::from).to_vec()];
    for owned in &report.owned {
        rows.push(vec![
            owned.engine.clone(),
            owned.fence.to_string(),
            owned.serving.to_string(),
            owned.pins.to_string(),
            owned.waiting.to_string(),
            owned.ready.len().to_string(),
            owned.loading.len().to_string(),
        ]);
    }
    text.push_str(&table(&rows));
    let head =
        ["node", "hall", "health", "leaving", "revision", "platform", "silent ms", "engines"];
    let mut rows = vec![head.map(String::from).to_vec()];
    for member in &report.members {
        rows.push(vec![
            member.node.clone(),
            member.hall.clone(),
            member.health.clone(),
            member.leaving.to_string(),
            member.revision.to_string(),
            member.platform.to_string(),
            member.silent_ms.to_string(),
            member.engines.join(","),
        ]);
    }
    text.push_str(&table(&rows));
    text
}

/// Starts the planned stop.
pub async fn drain(client: &Client, output: Output) -> Result<(), Failure> {
    let answer = client.post("/v1/drain").await?;
    output.print(&answer, |_| "leaving\n".to_owned());
    Ok(())
}
