//! Which requests servers ended under, and which of them are held back. A state machine without sockets.

use super::fingerprint::RequestFingerprint;
use crate::types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// A request is held back once servers have ended under it so many times: the users allow no more than
/// three further sends once nodes can know of the third.
pub const MOST_ENDS: usize = 3;
/// Servers that end within so short a time count once: those of a data hall that is lost or cut off break
/// off together. A repeat that comes after an answer takes longer to get to a server and to end it.
const SAME_EVENT: Duration = Duration::from_millis(100);
/// A server's end is no evidence any more after this: an honest stream that runs for seconds, at servers of
/// which each ends once in hours, is not held back.
const END_COUNTS_FOR: Duration = Duration::from_secs(10 * 60);
/// How long a request is held back for the first time. One that is innocent waits no longer for its trial.
const FIRST_HOLD: Duration = Duration::from_secs(2 * 60);
/// Each time so many times longer: the third trial is over two hours after the third end, and trials are
/// further sends too.
const HOLD_GROWTH: u32 = 8;
/// The longest hold.
const LONGEST_HOLD: Duration = Duration::from_secs(24 * 60 * 60);
/// A hold that is over and under which nothing came is forgotten after this, as the request has changed
/// or its caller is gone.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60 * 60);
/// Requests kept of which servers ended under one or two: some 120 bytes each, and up to 64 are at one server.
/// Those with the fewest ends give way, the oldest first.
const MOST_SUSPECTS: usize = 4_096;
/// Requests held back at the same time; each has cost three servers. Those that end first give way.
const MOST_HELD: usize = 1_024;

/// The end of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerEnd {
    /// The life that ended, by its mark.
    pub life: u32,
    /// When.
    pub at: Time,
}

/// What the end of a server under a request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountOutcome {
    /// It was known already, or the request is held back anyway.
    Known,
    /// So many ends have been counted.
    Ends(usize),
    /// From now on the request is held back.
    Held,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendVerdict {
    /// It may.
    Allowed,
    /// It may not for so long.
    Held(Duration),
    /// Its hold is over: one node may try it once, if the store takes its claim of the next hold.
    OnTrial(Trial),
}

/// A hold that is over, as the store has it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The store's revision of it.
    pub revision: u64,
    /// The number of the hold that follows.
    pub next: u32,
}

/// A hold as nodes tell it each other.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    /// The request.
    pub mark: RequestFingerprint,
    /// How many times it has been held back, this one included.
    pub number: u32,
    /// For how much longer.
    pub left: Duration,
}

/// What was known of a request that is cleared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cleared {
    /// Ends under it.
    pub ends: usize,
    /// It was held back.
    pub was_held: bool,
    /// The store's revision of the hold.
    pub revision: Option<u64>,
}

#[derive(Debug, Clone, Copy)]
struct Hold {
    until: Time,
    number: u32,
    /// The store's revision of it; `None` until the store has it.
    revision: Option<u64>,
    /// The revision of what the store has in its place, 0 for nothing.
    replaces: u64,
}

impl Hold {
    fn new(now: Time, number: u32, revision: Option<u64>) -> Self {
        Self { until: now + hold_span(number), number, revision, replaces: 0 }
    }
}

/// A hold that the store does not have yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unrecorded {
    /// The request.
    pub mark: RequestFingerprint,
    /// How many times it has been held back, this one included.
    pub number: u32,
    /// The revision of what the store has in its place, 0 for nothing.
    pub replaces: u64,
}

impl Hold {
    /// The revision of what the store has under its key, 0 for nothing.
    fn stored_at(&self) -> u64 {
        self.revision.unwrap_or(self.replaces)
    }
}

/// How long the hold of a number lasts, counted from 1.
fn hold_span(number: u32) -> Duration {
    let growth = HOLD_GROWTH.saturating_pow(number.saturating_sub(1));
    FIRST_HOLD.saturating_mul(growth).min(LONGEST_HOLD)
}

/// The requests under which servers ended.
#[derive(Debug, Clone, Default)]
pub struct SuspectRequests {
    suspects: HashMap<RequestFingerprint, Vec<ServerEnd>>,
    held: HashMap<RequestFingerprint, Hold>,
}

impl SuspectRequests {
    /// True if no server ended under any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.held.is_empty()
    }

    /// True if no request is held back.
    pub fn has_no_holds(&self) -> bool {
        self.held.is_empty()
    }

    /// How many requests are held back.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// How many ends of servers are counted under a request that is not held back.
    pub fn ends(&self, mark: RequestFingerprint) -> usize {
        self.suspects.get(&mark).map_or(0, |ends| events(ends))
    }

    /// Counts the end of a server under a request.
    pub fn count(&mut self, now: Time, mark: RequestFingerprint, end: ServerEnd) -> CountOutcome {
        if self.held.contains_key(&mark) || now.since(end.at) >= END_COUNTS_FOR {
            return CountOutcome::Known;
        }
        if !self.suspects.contains_key(&mark) && self.suspects.len() >= MOST_SUSPECTS {
            self.drop_least();
        }
        let ends = self.suspects.entry(mark).or_default();
        ends.retain(|end| now.since(end.at) < END_COUNTS_FOR);
        let (before, known) = (events(ends), ends.len());
        note(ends, end);
        let counted = events(ends);
        if counted >= MOST_ENDS {
            self.hold(mark, Hold::new(now, 1, None));
            return CountOutcome::Held;
        }
        match ends.len() > known || counted > before {
            true => CountOutcome::Ends(counted),
            false => CountOutcome::Known,
        }
    }

    fn drop_least(&mut self) {
        let weight = |ends: &Vec<ServerEnd>| (events(ends), ends.last().map(|end| end.at));
        let least = self.suspects.iter().min_by_key(|(_, ends)| weight(ends));
        if let Some(mark) = least.map(|(mark, _)| *mark) {
            self.suspects.remove(&mark);
        }
    }

    fn hold(&mut self, mark: RequestFingerprint, hold: Hold) {
        self.suspects.remove(&mark);
        if !self.held.contains_key(&mark) && self.held.len() >= MOST_HELD {
            let first = self.held.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(first) = first.map(|(mark, _)| *mark) {
                self.held.remove(&first);
            }
        }
        self.held.insert(mark, hold);
    }

    /// Takes in that another node holds a request back.
    pub fn hear(&mut self, now: Time, heard: HeldRequest) -> bool {
        let known = self.held.get(&heard.mark).map_or(0, |hold| hold.number);
        if known >= heard.number {
            return false;
        }
        let left = heard.left.min(hold_span(heard.number));
        let replaces = self.held.get(&heard.mark).map_or(0, Hold::stored_at);
        let hold = Hold { until: now + left, number: heard.number, revision: None, replaces };
        self.hold(heard.mark, hold);
        true
    }

    /// Takes in that the store has a hold; false if that is no news. Its time is counted from the first
    /// that this node hears of it, since clocks differ.
    pub fn recorded(
        &mut self,
        now: Time,
        mark: RequestFingerprint,
        number: u32,
        revision: u64,
    ) -> bool {
        let known = self.held.get(&mark).copied();
        match known {
            Some(hold) if hold.revision.is_some_and(|known| known >= revision) => return false,
            Some(hold) if hold.number > number => {
                self.hold(mark, Hold { replaces: hold.replaces.max(revision), ..hold });
                return false;
            }
            Some(hold) if hold.number == number => {
                self.hold(mark, Hold { revision: Some(revision), ..hold });
            }
            _ => self.hold(mark, Hold::new(now, number, Some(revision))),
        }
        known.is_none()
    }

    /// The store came back from a copy: which holds it has, and at which revisions, is to be learned anew.
    pub fn store_came_back(&mut self) {
        for hold in self.held.values_mut() {
            hold.revision = None;
            hold.replaces = 0;
        }
    }

    /// Takes in that the store has a hold no more.
    pub fn record_gone(&mut self, mark: RequestFingerprint) -> Option<Cleared> {
        // One that the store never had is not let go by this.
        self.held.get(&mark)?.revision?;
        self.clear(mark)
    }

    /// Takes in that a server has run a request and lives: it does not crash servers.
    pub fn clear(&mut self, mark: RequestFingerprint) -> Option<Cleared> {
        let ends = self.suspects.remove(&mark).map_or(0, |ends| events(&ends));
        let hold = self.held.remove(&mark);
        (ends > 0 || hold.is_some()).then(|| Cleared {
            ends,
            was_held: hold.is_some(),
            revision: hold.and_then(|hold| hold.revision),
        })
    }

    /// Whether a request may be sent.
    pub fn verdict(&self, now: Time, mark: RequestFingerprint) -> SendVerdict {
        let Some(hold) = self.held.get(&mark) else { return SendVerdict::Allowed };
        match hold.revision {
            _ if now < hold.until => SendVerdict::Held(hold.until.since(now)),
            Some(revision) => SendVerdict::OnTrial(Trial { revision, next: hold.number + 1 }),
            // Without the store nobody can tell whether another node tries it.
            None => SendVerdict::Held(FIRST_HOLD),
        }
    }

    /// Holds that the store does not have yet.
    pub fn unrecorded(&self) -> Vec<Unrecorded> {
        let all = self.held.iter().filter(|(_, hold)| hold.revision.is_none());
        let unrecorded = |(mark, hold): (&RequestFingerprint, &Hold)| Unrecorded {
            mark: *mark,
            number: hold.number,
            replaces: hold.replaces,
        };
        all.map(unrecorded).collect()
    }

    /// Holds that ended so long ago that they are to be forgotten, with the store's revisions.
    pub fn outlived(&self, now: Time) -> Vec<(RequestFingerprint, u64)> {
        let over = |hold: &Hold| now >= hold.until + FORGOTTEN_AFTER;
        let all = self.held.iter().filter(|(_, hold)| over(hold));
        all.filter_map(|(mark, hold)| Some((*mark, hold.revision?))).collect()
    }

    /// Forgets ends that count no more.
    pub fn sweep(&mut self, now: Time) {
        self.suspects.retain(|_, ends| {
            ends.retain(|end| now.since(end.at) < END_COUNTS_FOR);
            !ends.is_empty()
        });
    }

    /// The requests held back, as another node is told; those whose hold is over are in the store.
    pub fn held(&self, now: Time) -> Vec<HeldRequest> {
        self.held.keys().filter_map(|mark| self.held_request(now, *mark)).collect()
    }

    /// The same of one request; `None` if it is not held back or its hold is over.
    pub fn held_request(&self, now: Time, mark: RequestFingerprint) -> Option<HeldRequest> {
        let hold = self.held.get(&mark).filter(|hold| now < hold.until)?;
        Some(HeldRequest { mark, number: hold.number, left: hold.until.since(now) })
    }

    /// All ends that count, each with its request.
    pub fn all_ends(&self) -> impl Iterator<Item = (RequestFingerprint, ServerEnd)> {
        self.suspects.iter().flat_map(|(mark, ends)| ends.iter().map(|end| (*mark, *end)))
    }

    /// The ends that count under one request.
    pub fn ends_of(&self, mark: RequestFingerprint) -> &[ServerEnd] {
        self.suspects.get(&mark).map_or(&[], Vec::as_slice)
    }
}

/// Takes in an end, in order of time. One that is known was no later than anybody says: a node that stood still
/// hears of it late, and takes it to have just been; two ends heard so would count once.
fn note(ends: &mut Vec<ServerEnd>, end: ServerEnd) {
    match ends.iter_mut().find(|known| known.life == end.life) {
        Some(known) => known.at = known.at.min(end.at),
        None => ends.push(end),
    }
    ends.sort_by_key(|end| end.at);
}

/// How many events the ends of servers were, in order of time.
fn events(ends: &[ServerEnd]) -> usize {
    let mut counted = 0;
    let mut last: Option<Time> = None;
    for end in ends {
        if last.is_none_or(|last| end.at.since(last) >= SAME_EVENT) {
            counted += 1;
            last = Some(end.at);
        }
    }
    counted
}
