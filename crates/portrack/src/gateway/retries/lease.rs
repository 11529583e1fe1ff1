//! The right to grant the slack: one daemon at a time, by a lease of the store.

use super::bounds::RetryBounds;
use crate::store::StoreEra;
use crate::types::Time;
use std::time::Duration;

/// Time to live of the lease.
pub const SLACK_LEASE_TTL: Duration = Duration::from_millis(3_000);
/// Grants stop this long before the lease can have expired.
const LEASE_MARGIN: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Held {
    id: u64,
    era: StoreEra,
    /// When the last successful renewal was sent.
    renewed_at: Time,
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
    pub fn acquired(&mut self, now: Time, id: u64, era: StoreEra, asked_at: Time) {
        let grants_from = now + self.wait;
        self.held = Some(Held { id, era, renewed_at: asked_at, grants_from });
    }

    /// Records a confirmed renewal that was sent at `sent_at`.
    pub fn renewed(&mut self, id: u64, sent_at: Time) {
        if let Some(held) = self.held.as_mut().filter(|held| held.id == id) {
            held.renewed_at = held.renewed_at.max(sent_at);
        }
    }

    /// Records that the lease is over. Returns true if it was held.
    pub fn lost(&mut self) -> bool {
        self.held.take().is_some()
    }

    /// Drops a lease of an earlier era of the store. Returns true if it was held.
    pub fn check_era(&mut self, era: StoreEra) -> bool {
        self.held.is_some_and(|held| held.era != era) && self.lost()
    }

    /// The id of the lease, if one is held. It may have expired.
    pub fn id(&self) -> Option<u64> {
        self.held.map(|held| held.id)
    }

    /// Returns true if the slack may be granted right now.
    pub fn may_grant(&self, now: Time) -> bool {
        self.held.is_some_and(|held| {
            let is_live = now.since(held.renewed_at) + LEASE_MARGIN < SLACK_LEASE_TTL;
            is_live && now >= held.grants_from
        })
    }
}
