//! When a part of prompts is held back: sound parts are at the ends of servers too, as each end takes along all
//! requests of its server, but they are also answered.

use super::fingerprint::RequestFingerprint;
use super::suspect_requests::{ServerEnd, count_events};
use crate::types::Time;
use std::time::Duration;

/// Server ends under a part without an answer, from which it may be held back.
const MIN_ENDS: usize = 4;
/// Server ends under a part without an answer, from which it is suspected.
pub const SUSPECT_ENDS: usize = MIN_ENDS - 1;
/// Time after the first of these ends in which a sound part would have been answered.
const MIN_AGE: Duration = Duration::from_millis(1_500);
/// Requests without the part that this node must have answered meanwhile: servers that have all ended answer
/// nothing.
const MIN_OTHER_ANSWERS: u32 = 3;
/// Time since the first of them, in which all nodes together have answered more.
const MIN_ANSWERING: Duration = Duration::from_millis(1_500);
/// Time after the first end from which a node also chooses among parts of which it has lost no request: until
/// then, those that have are left to choose.
const OVERDUE_AGE: Duration = Duration::from_millis(2_500);
/// Server ends from which a part is held back though nothing else was answered, as nothing else may be asked for.
const MIN_ENDS_ALONE: usize = 5;
/// Time between the first and the last of these ends. Servers that end together end at once.
const MIN_SPAN_ALONE: Duration = Duration::from_millis(2_000);

/// A part of a request's prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id that the caller gave it.
    pub id: u64,
    /// Its fingerprint.
    pub fingerprint: RequestFingerprint,
}

/// Answers of a node to requests without a part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct OtherAnswers {
    count: u32,
    first_at: Option<Time>,
}

impl OtherAnswers {
    /// Counts an answer.
    pub fn count(&mut self, now: Time) {
        self.count += 1;
        self.first_at.get_or_insert(now);
    }

    /// Whether enough was answered for long enough that a sound part would have been.
    fn suffice(self, now: Time) -> bool {
        let since = self.first_at.map(|at| now.since(at));
        self.count >= MIN_OTHER_ANSWERS && since >= Some(MIN_ANSWERING)
    }
}

/// Whether a part is to be held back, given the ends under it since it was last answered, in order of time, and
/// the answers of this node without it since.
pub fn must_be_held(now: Time, ends: &[ServerEnd], others: OtherAnswers) -> bool {
    let (Some(first), Some(last)) = (ends.first(), ends.last()) else { return false };
    let count = count_events(ends);
    let beside_others = count >= MIN_ENDS && now.since(first.at) >= MIN_AGE && others.suffice(now);
    let alone = count >= MIN_ENDS_ALONE && last.at.since(first.at) >= MIN_SPAN_ALONE;
    beside_others || alone
}

/// Whether the ends under a part are so long ago that any node may hold it back.
pub fn is_overdue(now: Time, ends: &[ServerEnd]) -> bool {
    ends.first().is_some_and(|first| now.since(first.at) >= OVERDUE_AGE)
}
