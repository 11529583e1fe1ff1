//! Evidence of how fresh this daemon's copy of the store is.

use crate::types::Time;
use std::cell::Cell;
use std::time::Duration;

/// A moment on this daemon's clock at which the store held nothing newer than what this daemon has.
///
/// It is the time at which a question was *sent* that the store answered, or that another daemon
/// answered with the age of its own proof: an answer that comes late, or lay in a buffer while this
/// daemon was frozen, makes the proof older and never younger. Nothing else moves it: not that a
/// daemon was heard, and not the time at which news arrived.
#[derive(Debug, Default)]
pub struct FreshnessProof {
    /// In milliseconds on this daemon's clock, which may have begun later: a daemon that has just
    /// started learns of proof that is older than itself.
    sent_at: Cell<Option<i64>>,
}

impl FreshnessProof {
    /// Takes in proof of a moment; an older one than is held changes nothing.
    pub fn renew(&self, sent_at: Time) {
        self.renew_at(millis(sent_at));
    }

    fn renew_at(&self, sent_at: i64) {
        self.sent_at.set(self.sent_at.get().max(Some(sent_at)));
    }

    /// Takes in the proof of another daemon, which had this `age` at some time after `asked_at`.
    pub fn renew_from_peer(&self, asked_at: Time, age: Duration) {
        let age = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.renew_at(millis(asked_at).saturating_sub(age));
    }

    /// The moment, in milliseconds on this daemon's clock; it may be before the clock's start.
    pub fn proven_at(&self) -> Option<i64> {
        self.sent_at.get()
    }

    /// How old it is; `None` if there was none since this daemon started.
    pub fn age(&self, now: Time) -> Option<Duration> {
        let age = self.sent_at.get().map(|at| millis(now).saturating_sub(at));
        age.map(|age| Duration::from_millis(age.try_into().unwrap_or_default()))
    }

    /// True if it is no older than a bound.
    pub fn is_within(&self, now: Time, bound: Duration) -> bool {
        self.age(now).is_some_and(|age| age <= bound)
    }

    /// Its age for another daemon, in whole milliseconds, never less than it is.
    pub fn age_for_peer(&self, now: Time) -> Option<u32> {
        let age = self.age(now)?.as_millis().saturating_add(1);
        u32::try_from(age).ok()
    }
}

fn millis(time: Time) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}
