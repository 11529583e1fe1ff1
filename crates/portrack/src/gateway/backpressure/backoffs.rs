//! Servers that want nothing from this node for a while.

use crate::types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// After a rest one request goes to see whether it is over; a further one only if there is no answer within this. Without it
/// all that comes to a node at that moment would go to the server that looks idlest.
const TRIAL_FOR: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Rest {
    /// When it was heard of last.
    named_at: Time,
    until: Time,
    /// When the last request went to see whether it is over.
    tried_at: Option<Time>,
}

/// The rests of servers, by the marks of their lives: a new life has none.
#[derive(Debug, Clone, Default)]
pub struct Backoffs(HashMap<u32, Rest>);

impl Backoffs {
    /// A server wants nothing for so long from now on. True if that is news: a rest is never cut short by a later word.
    pub fn begin(&mut self, now: Time, server: u32, rest: Duration) -> bool {
        let until = now + rest;
        let known = self.0.entry(server).or_insert(Rest {
            named_at: now,
            until: Time::default(),
            tried_at: None,
        });
        let was_resting = now < known.until;
        known.named_at = now;
        known.until = known.until.max(until);
        known.tried_at = None;
        !was_resting
    }

    /// For how long nothing may be sent to a server; `None` if a request may.
    pub fn left(&self, now: Time, server: u32) -> Option<Duration> {
        let rest = self.0.get(&server)?;
        let tried_until = rest.tried_at.map_or(Time::default(), |at| at + TRIAL_FOR);
        let until = rest.until.max(tried_until);
        (now < until).then(|| until.since(now))
    }

    /// A request is sent: where a rest is over, it is the one that shows whether it is.
    pub fn sent(&mut self, now: Time, server: u32) {
        if let Some(rest) = self.0.get_mut(&server) {
            rest.tried_at = Some(now);
        }
    }

    /// A server answered a request that was sent at `asked_at`, and asked for no rest: one named before is over.
    pub fn answered(&mut self, now: Time, server: u32, asked_at: Time) {
        let is_over = |rest: &Rest| asked_at > rest.named_at && now >= rest.until;
        if self.0.get(&server).is_some_and(is_over) {
            self.0.remove(&server);
        }
    }

    /// How many servers rest.
    pub fn count(&self, now: Time) -> usize {
        self.0.values().filter(|rest| now < rest.until).count()
    }

    /// Forgets servers that are not known any more and whose rests are over.
    pub fn retain(&mut self, now: Time, is_known: impl Fn(u32) -> bool) {
        self.0.retain(|server, rest| is_known(*server) || now < rest.until);
    }
}
