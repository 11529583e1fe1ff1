//! A lease of the store, as its holder knows it.

use crate::types::Time;
use std::time::Duration;

/// The holder stops using a lease this long before it can have expired.
pub const LEASE_MARGIN: Duration = Duration::from_millis(250);

/// A lease that the store has granted to this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreLease {
    id: u64,
    ttl: Duration,
    /// When the last successful renewal was sent.
    renewed_at: Time,
}

impl StoreLease {
    /// A lease that was granted for a request sent at `asked_at`.
    pub fn new(id: u64, ttl: Duration, asked_at: Time) -> Self {
        Self { id, ttl, renewed_at: asked_at }
    }

    /// Its id.
    pub fn id(&self) -> u64 {
        self.id
    }

    /// Records a confirmed renewal of the lease `id` that was sent at `sent_at`.
    pub fn renewed(&mut self, id: u64, sent_at: Time) {
        if id == self.id {
            self.renewed_at = self.renewed_at.max(sent_at);
        }
    }

    /// Returns true if the lease may still be alive.
    pub fn may_be_alive(&self, now: Time) -> bool {
        now.since(self.renewed_at) < self.ttl
    }

    /// Returns true if the lease is certainly alive.
    pub fn is_alive(&self, now: Time) -> bool {
        now.since(self.renewed_at) + LEASE_MARGIN < self.ttl
    }

    /// The time until which the lease is certainly alive.
    pub fn alive_until(&self) -> Time {
        self.renewed_at + self.ttl.saturating_sub(LEASE_MARGIN)
    }
}
