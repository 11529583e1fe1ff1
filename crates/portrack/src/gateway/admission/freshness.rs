//! Proof of how fresh this daemon's copy of the store is.

use crate::types::Time;
use std::cell::Cell;
use std::time::Duration;

/// A time on this daemon's clock at which the store held nothing newer than this daemon's copy.
///
/// It is the time at which a request was *sent* that the store answered, or that another daemon
/// answered with the age of its own proof. An answer that is late, or sat in a buffer while this
/// daemon was suspended, can thus make the proof only older, never younger. Nothing else advances it:
/// neither messages of other daemons nor the time at which a store change arrived.
#[derive(Debug, Default)]
pub struct FreshnessProof {
    /// In milliseconds on this daemon's clock; negative if before the clock's start, since a daemon
    /// that has just started may receive proof that is older than itself.
    sent_at: Cell<Option<i64>>,
}

impl FreshnessProof {
    /// Renews the proof to a time; has no effect if the current proof is newer.
    pub fn renew(&self, sent_at: Time) {
        self.renew_at(millis(sent_at));
    }

    fn renew_at(&self, sent_at: i64) {
        self.sent_at.set(self.sent_at.get().max(Some(sent_at)));
    }

    /// Renews the proof from that of another daemon, which had this `age` at some time after `asked_at`.
    pub fn renew_from_peer(&self, asked_at: Time, age: Duration) {
        let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.renew_at(millis(asked_at).saturating_sub(age));
    }

    /// The proven time, in milliseconds on this daemon's clock; negative if before the clock's start.
    pub fn proven_at(&self) -> Option<i64> {
        self.sent_at.get()
    }

    /// The age of the proof; `None` if there was none since this daemon started.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let age = self.sent_at.get().map(|at| millis(now).saturating_sub(at));
        age.map(|age| Duration::from_millis(age.try_into().unwrap_or_default()))
    }

    /// Whether the proof is no older than a bound.
    pub fn is_within(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }

    /// The age to send to another daemon, in whole milliseconds; never less than the actual age.
    pub fn age_for_peer(&self, now: Time) -> Option<u32> {
        let age = self.age(now)?.as_millis().saturating_add(1);
        u32::try_from(age).ok()
    }
}

fn millis(time: Time) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
