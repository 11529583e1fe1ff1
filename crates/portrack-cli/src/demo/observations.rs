//! What the callers observed.

use std::collections::BTreeMap;

/// How a request ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The complete, correct response.
    Right,
    /// An incorrect response.
    Wrong(String),
    /// A refusal that says that the request did not run.
    NotRun(String),
    /// A refusal that says that the request may have run.
    MayHaveRun(String),
    /// The connection failed.
    CutOff(String),
}

/// One completion.
#[derive(Debug, Clone)]
pub struct CompletionObserved {
    /// Unique among all prompts.
    pub prompt: String,
    /// The adapter and version that must have served it.
    pub exact: String,
    /// How it ended.
    pub end: End,
    /// Milliseconds from arrival to start, as reported by the daemon.
    pub wait_ms: Option<u64>,
    /// Milliseconds to the first token, as measured by the caller.
    pub first_ms: Option<u64>,
}

/// One response to an unlock; an unlock that is sent twice has two.
#[derive(Debug, Clone)]
pub struct UnlockObserved {
    /// Its key.
    pub key: String,
    /// How it ended.
    pub end: End,
}

/// All requests with their outcomes.
#[derive(Debug, Default)]
pub struct Observations {
    /// Completions.
    pub completions: Vec<CompletionObserved>,
    /// Unlocks.
    pub unlocks: Vec<UnlockObserved>,
    /// Outcomes of lookups.
    pub lookups: Vec<End>,
}

impl Observations {
    /// Number of refusals by reason.
    pub fn refusals(&self) -> BTreeMap<String, usize> {
        let completions = self.completions.iter().map(|c| &c.end);
        let unlocks = self.unlocks.iter().map(|u| &u.end);
        let mut counts = BTreeMap::new();
        for end in completions.chain(unlocks).chain(&self.lookups) {
            let reason = match end {
                End::NotRun(why) => format!("{why} (not run)"),
                End::MayHaveRun(why) => format!("{why} (may have run)"),
                End::CutOff(why) => format!("cut off: {why}"),
                End::Right | End::Wrong(_) => continue,
            };
            *counts.entry(reason).or_default() += 1;
        }
        counts
    }
}
