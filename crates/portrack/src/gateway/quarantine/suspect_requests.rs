//! Tracks requests, and parts of prompts, under which servers ended, and decides which are held back. A state
//! machine without sockets.

use super::fingerprint::{RequestFingerprint, SuspectKind};
use super::parts::{OtherAnswers, is_overdue, must_be_held};
use crate::types::Time;
use std::cmp::Reverse;
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
/// How long the time is remembered at which a part was cleared, and the ends that a held part explains. Reports
/// of earlier ends and holds arrive up to 1.6 s late, and others after a pause of this node.
const REMEMBERED_FOR: Duration = Duration::from_secs(60);
/// Maximum number of requests and parts with ends: each takes about 120 bytes, and up to 64 requests run at
/// one server. Those with the fewest ends are evicted first, the oldest of them before others.
const MAX_SUSPECTS: usize = 4_096;
/// Maximum number of parts that are remembered as answered; about 60 bytes each.
const MAX_CLEARED: usize = 8_192;
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
    /// For a part: when the last request with it was sent there, that was lost.
    pub sent: Option<Time>,
}

/// The result of counting a server's end under a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CountOutcome {
    /// It was already counted, or the request is already held back.
    Known,
    /// This node knows that the part was answered after that.
    Refuted,
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
    /// When this node learned of it.
    known_at: Time,
    /// Whether this node found the last end that it takes.
    is_own: bool,
    /// The store's revision of it; `None` until the store has it.
    revision: Option<u64>,
    /// The revision of what the store has in its place, 0 for nothing.
    replaces: u64,
}

impl Hold {
    fn new(now: Time, number: u32, revision: Option<u64>) -> Self {
        let until = now + hold_duration(number);
        Self { until, number, known_at: now, is_own: false, revision, replaces: 0 }
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
    /// When this node learned of it.
    pub known_at: Time,
    /// Whether this node found the last end that it takes.
    pub is_own: bool,
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

/// What speaks against a request or part that is not held back.
#[derive(Debug, Clone, Default)]
struct Suspicion {
    /// Server ends since the last answer, ordered by time.
    ends: Vec<ServerEnd>,
    /// Answers of this node to other requests since the first of them.
    answers: OtherAnswers,
    /// Requests of this node that were lost at these ends.
    lost: u32,
    /// Its place among all suspects, by the last such request: of a prompt's parts the first, which more prompts
    /// share, comes first.
    place: u64,
}

/// The requests, and parts of prompts, under which servers ended.
#[derive(Debug, Clone, Default)]
pub struct SuspectRequests {
    suspects: HashMap<RequestFingerprint, Suspicion>,
    held: HashMap<RequestFingerprint, Hold>,
    /// The number of suspects so far.
    places: u64,
    /// When parts were cleared.
    cleared: HashMap<RequestFingerprint, Time>,
    /// Incarnations that ended under a part which is held back, with the time at which that was known: these
    /// ends speak against nothing else.
    explained: HashMap<u32, Time>,
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
        self.suspects.get(&fingerprint).map_or(0, |suspicion| count_events(&suspicion.ends))
    }

    /// Counts the end of a server under a request.
    pub fn count_end(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        end: ServerEnd,
    ) -> CountOutcome {
        if self.held.contains_key(&fingerprint) {
            self.explain_ends_of_part(now, fingerprint, &[end]);
            return CountOutcome::Known;
        }
        if now.since(end.at) >= END_TTL || self.explained.contains_key(&end.incarnation) {
            return CountOutcome::Known;
        }
        if self.cleared.get(&fingerprint).is_some_and(|at| end.at <= *at) {
            return CountOutcome::Refuted;
        }
        if !self.suspects.contains_key(&fingerprint) && self.suspects.len() >= MAX_SUSPECTS {
            self.evict_least();
        }
        self.places += 1;
        let new = Suspicion { place: self.places, ..Suspicion::default() };
        let ends = &mut self.suspects.entry(fingerprint).or_insert(new).ends;
        ends.retain(|end| now.since(end.at) < END_TTL);
        let (before, known) = (count_events(ends), ends.len());
        merge_end(ends, end);
        let counted = count_events(ends);
        let is_new = ends.len() > known || counted > before;
        if fingerprint.kind() == SuspectKind::Request && counted >= MOST_ENDS {
            self.hold(fingerprint, Hold::new(now, 1, None));
            return CountOutcome::Held;
        }
        match is_new {
            true => CountOutcome::Ends(counted),
            false => CountOutcome::Known,
        }
    }

    /// Counts a request of this node that was lost when a server ended.
    pub fn count_lost(&mut self, fingerprint: RequestFingerprint) {
        self.places += 1;
        if let Some(suspicion) = self.suspects.get_mut(&fingerprint) {
            suspicion.lost += 1;
            suspicion.place = self.places;
        }
    }

    /// Holds back the parts for which the evidence suffices and which this node `judges`, and returns them. The
    /// ends that one explains speak against no other.
    pub fn hold_parts(
        &mut self,
        now: Time,
        judges: impl Fn(RequestFingerprint) -> bool,
    ) -> Vec<RequestFingerprint> {
        let mut held = Vec::new();
        while let Some((part, ends)) = self.due_part(now, &judges) {
            self.hold(part, Hold::new(now, 1, None));
            self.explain_ends_of_part(now, part, &ends);
            held.push(part);
        }
        held
    }

    /// The next part to hold back, and the ends under it: of those with the most ends, one that was not answered
    /// lately, and that the fewest lost requests of this node have. Nothing is held back while that one is not due.
    fn due_part(
        &self,
        now: Time,
        judges: impl Fn(RequestFingerprint) -> bool,
    ) -> Option<(RequestFingerprint, Vec<ServerEnd>)> {
        let all = self.suspects.iter();
        let parts = all.filter(|(fingerprint, _)| fingerprint.kind() == SuspectKind::Part);
        let counted =
            parts.map(|(part, suspicion)| (count_events(&suspicion.ends), part, suspicion));
        let counted: Vec<_> = counted.collect();
        let most = counted.iter().map(|(count, ..)| *count).max()?;
        let foremost: Vec<_> = counted.into_iter().filter(|(count, ..)| *count == most).collect();
        let is_alone = foremost.len() == 1;
        let (_, part, suspicion) = foremost.into_iter().min_by_key(|(_, part, suspicion)| {
            let was_answered = self.cleared.contains_key(*part);
            (was_answered, suspicion.lost, Reverse(suspicion.place))
        })?;
        let can_tell = is_alone || suspicion.lost > 0 || is_overdue(now, &suspicion.ends);
        if !judges(*part) || !can_tell || !must_be_held(now, &suspicion.ends, suspicion.answers) {
            return None;
        }
        Some((*part, suspicion.ends.clone()))
    }

    /// If `fingerprint` is a part, drops the ends under it from all other suspects.
    fn explain_ends_of_part(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
        ends: &[ServerEnd],
    ) {
        if fingerprint.kind() != SuspectKind::Part {
            return;
        }
        self.explained.extend(ends.iter().map(|end| (end.incarnation, now)));
        let explained = &self.explained;
        self.suspects.retain(|_, suspicion| {
            suspicion.ends.retain(|end| !explained.contains_key(&end.incarnation));
            !suspicion.ends.is_empty()
        });
    }

    /// Counts a request that a server answered.
    pub fn count_answer(&mut self, now: Time) {
        self.suspects.values_mut().for_each(|suspicion| suspicion.answers.count(now));
    }

    fn evict_least(&mut self) {
        let weight = |suspicion: &Suspicion| {
            (count_events(&suspicion.ends), suspicion.ends.last().map(|end| end.at))
        };
        let least = self.suspects.iter().min_by_key(|(_, suspicion)| weight(suspicion));
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

    /// Notes that this node found the last end that a hold takes.
    pub fn set_own(&mut self, fingerprint: RequestFingerprint) {
        if let Some(hold) = self.held.get_mut(&fingerprint) {
            hold.is_own = true;
        }
    }

    /// Merges a hold of another node. Returns false if it is not newer than the known one.
    pub fn merge_hold(&mut self, now: Time, received: HeldRequest) -> bool {
        let known = self.held.get(&received.fingerprint).map_or(0, |hold| hold.number);
        if known >= received.number {
            return false;
        }
        let whole = hold_duration(received.number);
        let remaining = received.remaining.min(whole);
        let cleared = self.cleared.get(&received.fingerprint);
        if cleared.is_some_and(|at| now.since(*at) <= whole - remaining) {
            return false;
        }
        if let Some(known) = self.suspects.get(&received.fingerprint) {
            let ends = known.ends.clone();
            self.explain_ends_of_part(now, received.fingerprint, &ends);
        }
        let replaces = self.held.get(&received.fingerprint).map_or(0, Hold::store_revision);
        let new = Hold::new(now, received.number, None);
        let hold = Hold { until: now + remaining, replaces, ..new };
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
    pub fn on_record_removed(
        &mut self,
        now: Time,
        fingerprint: RequestFingerprint,
    ) -> Option<Cleared> {
        // A hold that the store never had is not released by this.
        self.held.get(&fingerprint)?.revision?;
        self.clear(now, fingerprint)
    }

    /// Records that a server ran the request to its end: it does not crash servers.
    pub fn clear(&mut self, now: Time, fingerprint: RequestFingerprint) -> Option<Cleared> {
        let suspicion = self.suspects.remove(&fingerprint);
        let ends = suspicion.map_or(0, |suspicion| count_events(&suspicion.ends));
        let hold = self.held.remove(&fingerprint);
        let is_known = ends > 0 || hold.is_some();
        let fits = self.cleared.len() < MAX_CLEARED || self.cleared.contains_key(&fingerprint);
        if fingerprint.kind() == SuspectKind::Part && fits {
            self.cleared.insert(fingerprint, now);
        }
        is_known.then(|| Cleared {
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
            known_at: hold.known_at,
            is_own: hold.is_own,
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
        self.suspects.retain(|_, suspicion| {
            suspicion.ends.retain(|end| now.since(end.at) < END_TTL);
            !suspicion.ends.is_empty()
        });
        self.cleared.retain(|_, at| now.since(*at) < REMEMBERED_FOR);
        self.explained.retain(|_, at| now.since(*at) < REMEMBERED_FOR);
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
            .flat_map(|(fingerprint, known)| known.ends.iter().map(|end| (*fingerprint, *end)))
    }

    /// Returns the ends that count under one request.
    pub fn ends_of(&self, fingerprint: RequestFingerprint) -> &[ServerEnd] {
        self.suspects.get(&fingerprint).map_or(&[], |suspicion| &suspicion.ends)
    }
}

/// Adds an end, ordered by time. The earliest report of an end is the accurate one: a node that was
/// suspended receives reports late and takes the ends to have just happened, and two ends received
/// that way would count as one.
fn merge_end(ends: &mut Vec<ServerEnd>, end: ServerEnd) {
    match ends.iter_mut().find(|known| known.incarnation == end.incarnation) {
        Some(known) => {
            known.at = known.at.min(end.at);
            known.sent = known.sent.max(end.sent);
        }
        None => ends.push(end),
    }
    ends.sort_by_key(|end| end.at);
}

/// Counts the events behind server ends, which are ordered by time. Ends that are close together are one, as
/// servers may end together, but not if a request that was lost at the later one was sent after the earlier one.
pub(super) fn count_events(ends: &[ServerEnd]) -> usize {
    let mut counted = 0;
    let mut last: Option<Time> = None;
    for end in ends {
        let is_apart = |last: Time| end.at.since(last) >= SAME_EVENT_WINDOW;
        let is_after = |last: Time| end.sent >= Some(last);
        if last.is_none_or(|last| is_apart(last) || is_after(last)) {
            counted += 1;
            last = Some(end.at);
        }
    }
    counted
}
