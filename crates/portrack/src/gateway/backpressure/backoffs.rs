//! Servers that this node backs off from.

use crate::types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// After a backoff one trial request is sent; another one only if there is no response within this
/// time. Without it all requests of a node at that moment would go to the server that looks idlest.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Backoff {
    /// When the server last asked for it.
    requested_at: Time,
    until: Time,
    /// When the last trial request was sent.
    trial_sent_at: Option<Time>,
}

/// Backoffs by the incarnation hashes of servers: a new incarnation has none.
#[derive(Debug, Clone, Default)]
pub struct Backoffs(HashMap<u32, Backoff>);

impl Backoffs {
    /// Starts or extends a backoff from now on; a later request never shortens it. Returns true if
    /// the server was not in backoff.
    pub fn start(&mut self, now: Time, server: u32, backoff: Duration) -> bool {
        let until = now + backoff;
        let known = self.0.entry(server).or_insert(Backoff {
            requested_at: now,
            until: Time::default(),
            trial_sent_at: None,
        });
        let was_in_backoff = now < known.until;
        known.requested_at = now;
        known.until = known.until.max(until);
        known.trial_sent_at = None;
        !was_in_backoff
    }

    /// How long nothing may be sent to a server; `None` if a request may be sent.
    pub fn remaining(&self, now: Time, server: u32) -> Option<Duration> {
        let backoff = self.0.get(&server)?;
        let trial_until = backoff.trial_sent_at.map_or(Time::default(), |at| at + TRIAL_TIMEOUT);
        let until = backoff.until.max(trial_until);
        (now < until).then(|| until.since(now))
    }

    /// Records that a request is sent. After a backoff it is the trial request.
    pub fn sent(&mut self, now: Time, server: u32) {
        if let Some(backoff) = self.0.get_mut(&server) {
            backoff.trial_sent_at = Some(now);
        }
    }

    /// Records a response without backoff to a request that was sent at `asked_at`, which ends an
    /// earlier backoff.
    pub fn on_response(&mut self, now: Time, server: u32, sent_at: Time) {
        let is_over = |backoff: &Backoff| sent_at > backoff.requested_at && now >= backoff.until;
        if self.0.get(&server).is_some_and(is_over) {
            self.0.remove(&server);
        }
    }

    /// Number of servers in backoff.
    pub fn count(&self, now: Time) -> usize {
        self.0.values().filter(|backoff| now < backoff.until).count()
    }

    /// Removes unknown servers whose backoff is over.
    pub fn retain(&mut self, now: Time, is_known: impl Fn(u32) -> bool) {
        self.0.retain(|server, backoff| is_known(*server) || now < backoff.until);
    }
}
