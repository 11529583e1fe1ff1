//! Checks the invariants of a run against what callers and servers observed.

use crate::callers::{Outcome, SentRequest};
use crate::fleet::AnnouncedVersion;
use portrack_platform_standins::Run;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// No request may start on an older version later than this after a newer one was accepted. Required by
/// the users for all their deployments.
const VERSION_BOUND: Duration = Duration::from_millis(5_000);

/// Violated invariants and a count of the requests by outcome.
#[derive(Debug, Default)]
pub struct InvariantReport {
    /// Requests that started on an outdated version after `VERSION_BOUND`.
    pub stale_runs: Vec<StaleRun>,
    /// Requests that ran more than once.
    pub run_twice: Vec<String>,
    /// Requests that ran although their caller received a refusal.
    pub run_although_refused: Vec<String>,
    /// Responses that are incomplete or belong to another request.
    pub wrong_responses: Vec<String>,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<&'static str, usize>,
}

/// A request that started on an outdated version after `VERSION_BOUND`.
#[derive(Debug, Clone)]
pub struct StaleRun {
    /// The run.
    pub run: Run,
    /// The earliest accepted newer version.
    pub newer_version: u64,
    /// Time from the acceptance of that version to the start of the run.
    pub late: Duration,
}

impl InvariantReport {
    /// Checks all requests of a scenario.
    pub fn of(
        requests: &[SentRequest],
        runs: &[Run],
        announced_versions: &[AnnouncedVersion],
    ) -> Self {
        let mut report = Self {
            stale_runs: runs.iter().filter_map(|run| stale_run(run, announced_versions)).collect(),
            ..Self::default()
        };
        let mut run_counts = BTreeMap::<&str, usize>::new();
        for run in runs {
            *run_counts.entry(run.request.as_str()).or_default() += 1;
        }
        report.run_twice =
            run_counts.iter().filter(|(_, n)| **n > 1).map(|(id, _)| (*id).into()).collect();
        let run_ids: BTreeSet<&str> = run_counts.into_keys().collect();
        for request in requests {
            let outcome = match &request.outcome {
                Outcome::Served => "served",
                Outcome::Wrong(body) => {
                    report.wrong_responses.push(format!("{}: {body:?}", request.id));
                    "wrong"
                }
                Outcome::Refused(status) => {
                    if run_ids.contains(request.id.as_str()) {
                        report.run_although_refused.push(format!("{} {status}", request.id));
                    }
                    "refused"
                }
                Outcome::Failed(_) => "failed",
            };
            *report.outcomes.entry(outcome).or_default() += 1;
        }
        report
    }

    /// True if no invariant was violated.
    pub fn is_clean(&self) -> bool {
        self.stale_runs.is_empty()
            && self.run_twice.is_empty()
            && self.run_although_refused.is_empty()
            && self.wrong_responses.is_empty()
    }
}

fn stale_run(run: &Run, announced_versions: &[AnnouncedVersion]) -> Option<StaleRun> {
    let newer_version = announced_versions.iter().filter(|announced| {
        announced.adapter == run.adapter
            && announced.version > run.version
            && announced.accepted <= run.started_at
    });
    let first = newer_version.min_by_key(|announced| announced.accepted)?;
    let late = run.started_at.duration_since(first.accepted);
    let found = StaleRun { run: run.clone(), newer_version: first.version, late };
    (late > VERSION_BOUND).then_some(found)
}

/// Share of the requests sent at or after a moment that were served.
pub fn served_after(requests: &[SentRequest], moment: Instant) -> f64 {
    let later: Vec<&SentRequest> =
        requests.iter().filter(|request| request.sent >= moment).collect();
    let served = later.iter().filter(|request| request.outcome == Outcome::Served).count();
    served as f64 / later.len().max(1) as f64
}
