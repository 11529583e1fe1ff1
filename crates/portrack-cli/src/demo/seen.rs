//! What the callers saw.

use std::collections::BTreeMap;

/// How one completion ended for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// The whole right answer.
    Right,
    /// An answer that is not the right one.
    Wrong(String),
    /// A refusal that says that it did not run.
    NotRun(String),
    /// A refusal that says that it may have run.
    MayHaveRun(String),
    /// The connection broke.
    CutOff(String),
}

/// One completion.
#[derive(Debug, Clone)]
pub struct CompletionSeen {
    /// Unlike every other.
    pub prompt: String,
    /// What it must have run on.
    pub exact: String,
    /// How it ended.
    pub end: End,
    /// Milliseconds from arrival to start, by the daemon's word.
    pub wait_ms: Option<u64>,
    /// Milliseconds to the first token, by the caller's clock.
    pub first_ms: Option<u64>,
}

/// One answer to an unlock; one that is sent twice has two.
#[derive(Debug, Clone)]
pub struct UnlockSeen {
    /// Its key.
    pub key: String,
    /// How it ended.
    pub end: End,
}

/// Everything.
#[derive(Debug, Default)]
pub struct Seen {
    /// Completions.
    pub completions: Vec<CompletionSeen>,
    /// Unlocks.
    pub unlocks: Vec<UnlockSeen>,
    /// Ends of lookups.
    pub lookups: Vec<End>,
}

impl Seen {
    /// Refusals by their reason.
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
