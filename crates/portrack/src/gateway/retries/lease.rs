//! The right to grant the slack: one daemon at a time, by a lease of the store.

use super::bounds::RetryBounds;
use crate::gateway::store_lease::StoreLease;
use crate::types::Time;
use std::time::Duration;

/// Time to live of the lease.
pub const SLACK_LEASE_TTL: Duration = Duration::from_millis(3_000);
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    lease: StoreLease,
    /// From this time on, no grant of an earlier holder counts in any window.
    grants_from: Time,
}

/// The lease of this daemon, if it has one.
#[derive(Debug, Clone)]
pub struct SlackLease {
    wait: Duration,
    held: Option<Held>,
}

impl SlackLease {
    /// Creates a lease that is not held.
    ///
    /// A new holder waits until the last grant of any earlier one is forgotten. After a return of the store
    /// from an older copy, an earlier holder may grant until its own lease ends.
    pub fn new(bounds: RetryBounds) -> Self {
        Self { wait: SLACK_LEASE_TTL + bounds.forgotten_after(), held: None }
    }

    /// Records that the store accepted this daemon as the holder. The lease was asked for at `asked_at`.
    pub fn acquired(&mut self, now: Time, id: u64, asked_at: Time) {
        let lease = StoreLease::new(id, SLACK_LEASE_TTL, asked_at);
        self.held = Some(Held { lease, grants_from: now + self.wait });
    }

    /// Records a confirmed renewal of the lease `id` that was sent at `sent_at`.
    pub fn renewed(&mut self, id: u64, sent_at: Time) {
        if let Some(held) = &mut self.held {
            held.lease.renewed(id, sent_at);
        }
    }

    /// Records that the lease is over. Returns true if it was held.
    pub fn lost(&mut self) -> bool {
        self.held.take().is_some()
    }

    /// The id of the lease, if one is held. It may have expired.
    pub fn id(&self) -> Option<u64> {
        self.held.map(|held| held.lease.id())
    }

    /// Returns true if the slack may be granted right now.
    pub fn may_grant(&self, now: Time) -> bool {
        self.held.is_some_and(|held| held.lease.is_alive(now) && now >= held.grants_from)
    }
}
