//! What must hold, judged by what callers and servers saw.

use crate::callers::{Asked, End};
use crate::fleet::Name;
use portrack_platform_standins::Run;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Later than this after a newer version was accepted, nothing may begin on an older one. The users'
/// bound on all their deployments so far.
const VERSION_WITHIN: Duration = Duration::from_millis(5_000);

/// What was broken, in words; empty if nothing was.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Requests that began on an older version too late.
    pub old_versions: Vec<OldVersion>,
    /// Requests that ran more than once.
    pub twice: Vec<String>,
    /// Requests that ran although their caller was told that they had not.
    pub refused_and_run: Vec<String>,
    /// Answers that are not the caller's own, or not whole.
    pub wrong: Vec<String>,
    /// Requests by their end.
    pub ends: BTreeMap<&'static str, usize>,
}

/// A request that began on an older version too late.
#[derive(Debug, Clone)]
pub struct OldVersion {
    /// The run.
    pub run: Run,
    /// The newer version that was accepted longest ago.
    pub newer: u64,
    /// How long before the run that was.
    pub late: Duration,
}

impl Verdict {
    /// Judges a whole play.
    pub fn of(asked: &[Asked], runs: &[Run], names: &[Name]) -> Self {
        let mut verdict = Self {
            old_versions: runs.iter().filter_map(|run| old_version(run, names)).collect(),
            ..Self::default()
        };
        let mut begun = BTreeMap::<&str, usize>::new();
        for run in runs {
            *begun.entry(run.request.as_str()).or_default() += 1;
        }
        verdict.twice = begun.iter().filter(|(_, n)| **n > 1).map(|(id, _)| (*id).into()).collect();
        let begun: BTreeSet<&str> = begun.into_keys().collect();
        for request in asked {
            let end = match &request.end {
                End::Served => "served",
                End::Wrong(body) => {
                    verdict.wrong.push(format!("{}: {body:?}", request.id));
                    "wrong"
                }
                End::Refused(status) => {
                    if begun.contains(request.id.as_str()) {
                        verdict.refused_and_run.push(format!("{} {status}", request.id));
                    }
                    "refused"
                }
                End::Failed(_) => "failed",
            };
            *verdict.ends.entry(end).or_default() += 1;
        }
        verdict
    }

    /// True if nothing was broken.
    pub fn is_clean(&self) -> bool {
        self.old_versions.is_empty()
            && self.twice.is_empty()
            && self.refused_and_run.is_empty()
            && self.wrong.is_empty()
    }
}

fn old_version(run: &Run, names: &[Name]) -> Option<OldVersion> {
    let newer = names.iter().filter(|name| {
        name.adapter == run.adapter && name.version > run.version && name.accepted <= run.started_at
    });
    let first = newer.min_by_key(|name| name.accepted)?;
    let late = run.started_at.duration_since(first.accepted);
    let found = OldVersion { run: run.clone(), newer: first.version, late };
    (late > VERSION_WITHIN).then_some(found)
}

/// Of the requests sent after a moment, the share that was served.
pub fn served_after(asked: &[Asked], moment: Instant) -> f64 {
    let later: Vec<&Asked> = asked.iter().filter(|request| request.sent >= moment).collect();
    let served = later.iter().filter(|request| request.end == End::Served).count();
    served as f64 / later.len().max(1) as f64
}
