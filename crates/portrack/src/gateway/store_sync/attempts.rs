//! The requests for updates that are under way, and when further peers are asked. A state machine
//! without sockets.
//!
//! An attempt that takes long is not given up for that: other peers are asked beside it, and the
//! first one that brings the copy up to date ends all others. So a slow way costs time but never
//! ends in asking again and again for what is on the way.

use super::timings::SyncTimings;
use crate::types::Time;
use std::net::SocketAddr;
use std::time::Duration;

/// Peers that are asked at a time: one of them may not be able to help.
const MAX_STARTED_AT_ONCE: usize = 3;
/// Attempts that may be under way.
pub const MAX_ATTEMPTS: usize = 12;
/// Replies longer than this are received one at a time while the one that is being received keeps
/// arriving fast enough: over a link of 10 Mbit/s, one takes 50 ms.
pub const LARGE_REPLY_BYTES: u32 = 64 * 1024;

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(u64);

/// How far an attempt has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Attempt {
    /// The attempt's id.
    pub id: AttemptId,
    /// The peer that was asked.
    pub peer: SocketAddr,
    /// When it was asked.
    pub started_at: Time,
    /// When its reply began.
    pub first_begun_at: Option<Time>,
    /// When the reply, or the part of it that is being received, began.
    begun_at: Option<Time>,
    /// When its reading began or its last bytes arrived.
    progress_at: Option<Time>,
    /// The length of the reply, or of the part of it that is being received.
    pub announced: u32,
    /// The bytes of it that have arrived.
    pub received: u32,
}

impl Attempt {
    /// The latest evidence that this attempt may succeed.
    pub fn last_evidence(&self) -> Time {
        self.progress_at.or(self.begun_at).unwrap_or(self.started_at)
    }

    /// Whether a large reply is being received that will be there soon.
    fn is_on_course(&self, now: Time, timings: SyncTimings) -> bool {
        let (Some(begun_at), true) = (self.begun_at, self.announced > LARGE_REPLY_BYTES) else {
            return false;
        };
        if self.progress_at.is_none() {
            return false;
        }
        let elapsed = now.since(begun_at);
        if self.received == 0 {
            return elapsed < timings.first_response_timeout();
        }
        let left = f64::from(self.announced.saturating_sub(self.received));
        let time_left = elapsed.as_secs_f64() * left / f64::from(self.received);
        time_left <= timings.acceptable_reply_time().as_secs_f64()
    }
}

/// All attempts that are under way.
#[derive(Debug, Clone, Default)]
pub struct CatchUpAttempts {
    attempts: Vec<Attempt>,
    started: u64,
    last_started_at: Option<Time>,
}

impl CatchUpAttempts {
    /// The peers to ask now, of the candidates in their order of preference. None are asked while a
    /// reply arrives fast enough. The more attempts are under way, the longer is the pause after the
    /// last ones: each then has several seconds before another takes its place.
    pub fn peers_to_ask(
        &self,
        now: Time,
        timings: SyncTimings,
        candidates: &[SocketAddr],
    ) -> Vec<SocketAddr> {
        let interval = timings.first_response_timeout();
        let pause = match self.attempts.len().div_ceil(MAX_STARTED_AT_ONCE) {
            0 => timings.response_time(),
            rounds => interval * 2u32.pow(rounds as u32 - 1),
        };
        let is_too_soon = self.last_started_at.is_some_and(|at| now.since(at) < pause);
        if is_too_soon || self.is_on_course(now, timings, None) {
            return Vec::new();
        }
        let mut eligible: Vec<(usize, SocketAddr)> = candidates
            .iter()
            .map(|peer| (self.count_at(*peer), *peer))
            .filter(|(count, peer)| *count == 0 || self.is_due_again(now, interval, *count, *peer))
            .collect();
        eligible.sort_by_key(|(count, _)| *count);
        eligible.into_iter().take(MAX_STARTED_AT_ONCE).map(|(_, peer)| peer).collect()
    }

    fn at(&self, peer: SocketAddr) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(move |attempt| attempt.peer == peer)
    }

    fn count_at(&self, peer: SocketAddr) -> usize {
        self.at(peer).count()
    }

    /// Whether a peer is asked once more although it was asked before: nothing has come from it for a
    /// while, and what was sent may be lost. Each time takes twice as long as the one before.
    fn is_due_again(&self, now: Time, interval: Duration, count: usize, peer: SocketAddr) -> bool {
        let newest = self.at(peer).map(Attempt::last_evidence).max();
        let pause = interval * 2u32.saturating_pow(count as u32);
        newest.is_none_or(|at| now.since(at) >= pause)
    }

    /// An attempt that is not listed among the others.
    pub fn unlisted(&mut self) -> AttemptId {
        self.started += 1;
        AttemptId(self.started)
    }

    /// Records that a peer is asked. Returns the attempt, and another one that has to end for it: the
    /// one without any evidence for the longest time.
    pub fn start(&mut self, now: Time, peer: SocketAddr) -> (AttemptId, Option<Attempt>) {
        let is_full = self.attempts.len() >= MAX_ATTEMPTS;
        let oldest = self.attempts.iter().min_by_key(|attempt| attempt.last_evidence());
        let oldest = oldest.filter(|_| is_full).map(|attempt| attempt.id);
        let replaced = oldest.and_then(|id| self.finish(id));
        self.last_started_at = Some(now);
        let id = self.unlisted();
        self.attempts.push(Attempt {
            id,
            peer,
            started_at: now,
            first_begun_at: None,
            begun_at: None,
            progress_at: None,
            announced: 0,
            received: 0,
        });
        (id, replaced)
    }

    fn get_mut(&mut self, id: AttemptId) -> Option<&mut Attempt> {
        self.attempts.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Records that a reply, or a further part of it, begins.
    pub fn begun(&mut self, now: Time, id: AttemptId, announced: u32) {
        let Some(attempt) = self.get_mut(id) else { return };
        attempt.first_begun_at.get_or_insert(now);
        attempt.begun_at = Some(now);
        attempt.progress_at = None;
        attempt.announced = announced;
        attempt.received = 0;
    }

    /// Records that bytes of a reply have arrived; none if it is read from now on.
    pub fn received(&mut self, now: Time, id: AttemptId, bytes: usize) {
        let Some(attempt) = self.get_mut(id) else { return };
        attempt.progress_at = Some(now);
        attempt.received = attempt.received.saturating_add(bytes as u32);
    }

    /// Whether a large reply, other than this attempt's, arrives fast enough to wait for it.
    pub fn is_on_course(&self, now: Time, timings: SyncTimings, except: Option<AttemptId>) -> bool {
        let mut others = self.attempts.iter().filter(|attempt| Some(attempt.id) != except);
        others.any(|attempt| attempt.is_on_course(now, timings))
    }

    /// Records that an attempt has ended, and returns how far it came.
    pub fn finish(&mut self, id: AttemptId) -> Option<Attempt> {
        let at = self.attempts.iter().position(|attempt| attempt.id == id)?;
        Some(self.attempts.remove(at))
    }

    /// Records that all attempts have ended.
    pub fn clear(&mut self) {
        self.attempts.clear();
        self.last_started_at = None;
    }
}
