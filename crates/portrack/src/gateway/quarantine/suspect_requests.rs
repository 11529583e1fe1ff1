//! Tracks requests under which servers ended, and decides which are held back. A state machine
//! without sockets.

use super::fingerprint::RequestFingerprint;
use crate::types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// Number of server ends after which a request is held back. At most three further sends are
/// allowed once nodes can know of the third end.
pub const MOST_ENDS: usize = 3;
/// Server ends within this time count as one: servers of a data hall that is lost or cut off fail
/// together. A retry after a response takes longer to reach a server and end it.
const SAME_EVENT_WINDOW: Duration = Duration::from_millis(100);
/// How long a server's end counts. Without a limit, a harmless stream that runs for seconds would
/// be held back at servers each of which ends once in hours.
const END_TTL: Duration = Duration::from_secs(10 * 60);
/// Duration of the first hold. A harmless request waits no longer than this for its trial.
const FIRST_HOLD: Duration = Duration::from_secs(2 * 60);
/// Factor between the durations of successive holds. Trials are further sends too; with it, the
/// third trial is more than two hours after the third end.
const HOLD_GROWTH: u32 = 8;
/// Maximum duration of a hold.
const MAX_HOLD: Duration = Duration::from_secs(24 * 60 * 60);
/// A hold that is over and that no request has met for this long is dropped, as the request has
/// changed or its caller is gone.
const EXPIRED_HOLD_TTL: Duration = Duration::from_secs(60 * 60);
/// Maximum number of requests with one or two ends: each takes about 120 bytes, and up to 64 run at
/// one server. Those with the fewest ends are evicted first, the oldest of them before others.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of requests held back at the same time; each has cost three servers. Those whose
/// hold ends first are evicted first.
const MAX_HELD: usize = 1_024;

/// The end of one server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServerEnd {
    /// The hash of the incarnation that ended.
    pub incarnation: u32,
    /// When it ended.
    pub at: Time,
}

/// The result of counting a server's end under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountOutcome {
    /// It was already counted, or the request is already held back.
    Known,
    /// The number of ends counted so far.
    Ends(usize),
    /// The request is held back from now on.
    Held,
}

/// Whether a request may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendVerdict {
    /// It may be sent.
    Allowed,
    /// It is held back for this long.
    Held(Duration),
    /// Its hold is over: one node may try it once, if the store accepts its claim of the next hold.
    OnTrial(Trial),
}

/// A hold that is over, as recorded in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Trial {
    /// The store's revision of it.
    pub revision: u64,
    /// The number of the next hold.
    pub next_number: u32,
}

/// A hold as exchanged between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How many times it has been held back, this one included.
    pub number: u32,
    /// The remaining time.
    pub remaining: Duration,
}

/// What was known of a request that is cleared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cleared {
    /// The ends counted under it.
    pub ends: usize,
    /// Whether it was held back.
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
        Self { until: now + hold_duration(number), number, revision, replaces: 0 }
    }
}

/// A hold that the store does not have yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unrecorded {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// How many times it has been held back, this one included.
    pub number: u32,
    /// The revision of what the store has in its place, 0 for nothing.
    pub replaces: u64,
}

impl Hold {
    /// Returns the revision of what the store has under its key, 0 for nothing.
    fn store_revision(&self) -> u64 {
        self.revision.unwrap_or(self.replaces)
    }
}

/// Returns the duration of the hold with this number, counted from 1.
fn hold_duration(number: u32) -> Duration {
    let growth = HOLD_GROWTH.saturating_pow(number.saturating_sub(1));
    FIRST_HOLD.saturating_mul(growth).min(MAX_HOLD)
}

/// The requests under which servers ended.
#[derive(Debug, Clone, Default)]
pub struct SuspectRequests {
    suspects: HashMap<RequestFingerprint, Vec<ServerEnd>>,
    held: HashMap<RequestFingerprint, Hold>,
}

impl SuspectRequests {
    /// Returns true if no server ended under any request.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.held.is_empty()
    }

    /// Returns true if no request is held back.
    pub fn has_no_holds(&self) -> bool {
        self.held.is_empty()
    }

    /// Returns the number of requests held back.
    pub fn held_count(&self) -> usize {
        self.held.len()
    }

    /// Returns the number of server ends counted under a request that is not held back.
    pub fn ends(&self, fingerprint: RequestFingerprint) -> usize {
        self.suspects.get(&fingerprint).map_or(0, |ends| count_events(ends))
    }

    /// Counts the end of a server under a request.
    pub fn count_end(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        end: ServerEnd,
    ) -> CountOutcome {
        if self.held.contains_key(&fingerprint) || now.since(end.at) >= END_TTL {
            return CountOutcome::Known;
        }
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_least();
        }
        let ends = self.suspects.entry(fingerprint).or_default();
        ends.retain(|end| now.since(end.at) < END_TTL);
        let (before, known) = (count_events(ends), ends.len());
        merge_end(ends, end);
        let counted = count_events(ends);
        if counted >= MOST_ENDS {
            self.hold(fingerprint, Hold::new(now, 1, None));
            return CountOutcome::Held;
        }
        match ends.len() > known || counted > before {
            true => CountOutcome::Ends(counted),
            false => CountOutcome::Known,
        }
    }

    fn evict_least(&mut self) {
        let weight = |ends: &Vec<ServerEnd>| (count_events(ends), ends.last().map(|end| end.at));
        let least = self.suspects.iter().min_by_key(|(_, ends)| weight(ends));
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.suspects.remove(&fingerprint);
        }
    }

    fn hold(&mut self, fingerprint: RequestFingerprint, hold: Hold) {
        self.suspects.remove(&fingerprint);
        if !self.held.contains_key(&fingerprint) && self.held.len() >= MAX_HELD {
            let first = self.held.iter().min_by_key(|(_, hold)| hold.until);
            if let Some(first) = first.map(|(fingerprint, _)| *fingerprint) {
                self.held.remove(&first);
            }
        }
        self.held.insert(fingerprint, hold);
    }

    /// Merges a hold of another node. Returns false if it is not newer than the known one.
    pub fn merge_hold(&mut self, now: Time, received: HeldRequest) -> bool {
        let known = self.held.get(&received.fingerprint).map_or(0, |hold| hold.number);
        if known >= received.number {
            return false;
        }
        let remaining = received.remaining.min(hold_duration(received.number));
        let replaces = self.held.get(&received.fingerprint).map_or(0, Hold::store_revision);
        let hold =
            Hold { until: now + remaining, number: received.number, revision: None, replaces };
        self.hold(received.fingerprint, hold);
        true
    }

    /// Records a hold that the store has; returns false if a hold was already known. Its time runs
    /// from when this node first learns of it, since clocks differ.
    pub fn on_recorded(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        number: u32,
        revision: u64,
    ) -> bool {
        let known = self.held.get(&fingerprint).copied();
        match known {
            Some(hold) if hold.revision.is_some_and(|known| known >= revision) => return false,
            Some(hold) if hold.number > number => {
                self.hold(fingerprint, Hold { replaces: hold.replaces.max(revision), ..hold });
                return false;
            }
            Some(hold) if hold.number == number => {
                self.hold(fingerprint, Hold { revision: Some(revision), ..hold });
            }
            _ => self.hold(fingerprint, Hold::new(now, number, Some(revision))),
        }
        known.is_none()
    }

    /// Handles a restored store: which holds it has, and at which revisions, has to be read again.
    pub fn store_came_back(&mut self) {
        for hold in self.held.values_mut() {
            hold.revision = None;
            hold.replaces = 0;
        }
    }

    /// Records that the store no longer has a hold.
    pub fn on_record_removed(&mut self, fingerprint: RequestFingerprint) -> Option<Cleared> {
        // A hold that the store never had is not released by this.
        self.held.get(&fingerprint)?.revision?;
        self.clear(fingerprint)
    }

    /// Records that a server ran the request to its end: it does not crash servers.
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> Option<Cleared> {
        let ends = self.suspects.remove(&fingerprint).map_or(0, |ends| count_events(&ends));
        let hold = self.held.remove(&fingerprint);
        (ends > 0 || hold.is_some()).then(|| Cleared {
            ends,
            was_held: hold.is_some(),
            revision: hold.and_then(|hold| hold.revision),
        })
    }

    /// Decides whether a request may be sent.
    pub fn verdict(&self, now: Time, fingerprint: RequestFingerprint) -> SendVerdict {
        let Some(hold) = self.held.get(&fingerprint) else { return SendVerdict::Allowed };
        match hold.revision {
            _ if now < hold.until => SendVerdict::Held(hold.until.since(now)),
            Some(revision) => {
                SendVerdict::OnTrial(Trial { revision, next_number: hold.number + 1 })
            }
            // Without the store, no node can tell whether another one tries the request.
            None => SendVerdict::Held(FIRST_HOLD),
        }
    }

    /// Returns the holds that the store does not have yet.
    pub fn unrecorded(&self) -> Vec<Unrecorded> {
        let all = self.held.iter().filter(|(_, hold)| hold.revision.is_none());
        let unrecorded = |(fingerprint, hold): (&RequestFingerprint, &Hold)| Unrecorded {
            fingerprint: *fingerprint,
            number: hold.number,
            replaces: hold.replaces,
        };
        all.map(unrecorded).collect()
    }

    /// Returns the holds that were over long enough ago to be dropped, with their revisions in the
    /// store.
    pub fn expired_holds(&self, now: Time) -> Vec<(RequestFingerprint, u64)> {
        let over = |hold: &Hold| now >= hold.until + EXPIRED_HOLD_TTL;
        let all = self.held.iter().filter(|(_, hold)| over(hold));
        all.filter_map(|(fingerprint, hold)| Some((*fingerprint, hold.revision?))).collect()
    }

    /// Drops ends that no longer count.
    pub fn sweep(&mut self, now: Time) {
        self.suspects.retain(|_, ends| {
            ends.retain(|end| now.since(end.at) < END_TTL);
            !ends.is_empty()
        });
    }

    /// Returns the running holds, to be sent to another node; holds that are over can be read from
    /// the store.
    pub fn running_holds(&self, now: Time) -> Vec<HeldRequest> {
        self.held.keys().filter_map(|fingerprint| self.running_hold(now, *fingerprint)).collect()
    }

    /// Returns the hold of one request; `None` if there is none or it is over.
    pub fn running_hold(&self, now: Time, fingerprint: RequestFingerprint) -> Option<HeldRequest> {
        let hold = self.held.get(&fingerprint).filter(|hold| now < hold.until)?;
        Some(HeldRequest { fingerprint, number: hold.number, remaining: hold.until.since(now) })
    }

    /// Iterates over all ends that count, with their requests.
    pub fn all_ends(&self) -> impl Iterator<Item = (RequestFingerprint, ServerEnd)> {
        self.suspects
            .iter()
            .flat_map(|(fingerprint, ends)| ends.iter().map(|end| (*fingerprint, *end)))
    }

    /// Returns the ends that count under one request.
    pub fn ends_of(&self, fingerprint: RequestFingerprint) -> &[ServerEnd] {
        self.suspects.get(&fingerprint).map_or(&[], Vec::as_slice)
    }
}

/// Adds an end, ordered by time. The earliest report of an end is the accurate one: a node that was
/// suspended receives reports late and takes the ends to have just happened, and two ends received
/// that way would count as one.
fn merge_end(ends: &mut Vec<ServerEnd>, end: ServerEnd) {
    match ends.iter_mut().find(|known| known.incarnation == end.incarnation) {
        Some(known) => known.at = known.at.min(end.at),
        None => ends.push(end),
    }
    ends.sort_by_key(|end| end.at);
}

/// Counts the events behind server ends, which are ordered by time.
fn count_events(ends: &[ServerEnd]) -> usize {
    let mut counted = 0;
    let mut last: Option<Time> = None;
    for end in ends {
        if last.is_none_or(|last| end.at.since(last) >= SAME_EVENT_WINDOW) {
            counted += 1;
            last = Some(end.at);
        }
    }
    counted
}
