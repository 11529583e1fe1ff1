//! The right to order servers: one daemon at a time, by a lease in the store.
//!
//! Servers check no fences, so the time checks here are what keeps two daemons from ordering the
//! same server.

use crate::types::Time;
use std::time::Duration;

/// Orders stop this long before the lease can have lapsed.
const STOP_BEFORE: Duration = Duration::from_millis(250);
/// Added to a successor's wait, for orders on their way.
const ORDER_TRAVEL: Duration = Duration::from_millis(200);

/// A hold on the orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Hold {
    lease: u64,
    fence: u64,
    /// When the last renewal was sent that was answered.
    renewed_at: Time,
    /// The predecessor's last order is old enough from here on.
    orders_from: Time,
}

/// This daemon's right to order, if it has it.
#[derive(Debug, Clone, Copy)]
pub struct OrderLease {
    ttl: Duration,
    quiet: Duration,
    hold: Option<Hold>,
}

impl OrderLease {
    /// No right yet. `ttl` is the lease's; `quiet` is the time that has to pass between the last
    /// order of one holder and the first of the next.
    pub fn new(ttl: Duration, quiet: Duration) -> Self {
        Self { ttl, quiet, hold: None }
    }

    /// The key was created under a lease that was asked for at `asked_at`.
    ///
    /// The predecessor may have lost its key without knowing, so its last order may be as late as
    /// a whole lease after this.
    pub fn acquired(&mut self, now: Time, asked_at: Time, lease: u64, fence: u64) {
        let predecessor_stops = self.ttl.saturating_sub(STOP_BEFORE);
        let orders_from = now + predecessor_stops + self.quiet + ORDER_TRAVEL;
        self.hold = Some(Hold { lease, fence, renewed_at: asked_at, orders_from });
    }

    /// A renewal sent at `sent_at` was confirmed.
    pub fn renewed(&mut self, lease: u64, sent_at: Time) {
        if let Some(hold) = self.hold.as_mut().filter(|hold| hold.lease == lease) {
            hold.renewed_at = hold.renewed_at.max(sent_at);
        }
    }

    /// The lease is over.
    pub fn lost(&mut self) {
        self.hold = None;
    }

    /// The lease, if it may still live.
    pub fn lease(&self, now: Time) -> Option<u64> {
        self.living(now).map(|hold| hold.lease)
    }

    /// The fence, if the lease may still live.
    pub fn fence(&self, now: Time) -> Option<u64> {
        self.living(now).map(|hold| hold.fence)
    }

    fn living(&self, now: Time) -> Option<&Hold> {
        self.hold.as_ref().filter(|hold| now.since(hold.renewed_at) < self.ttl)
    }

    /// The fence under which an order may be sent at this very moment.
    pub fn may_order(&self, now: Time) -> Option<u64> {
        let hold = self.hold.as_ref()?;
        let safe = now.since(hold.renewed_at) + STOP_BEFORE < self.ttl;
        (safe && now >= hold.orders_from).then_some(hold.fence)
    }
}
