//! Orders without a response that a server may execute late, even in its next incarnation.
//!
//! Each order names the number of orders that the server must have accepted before it. Within one incarnation, that
//! keeps out all but those with the present number. The next incarnation counts from 0 again, so an order to the former
//! one is executed if it arrives just when as many orders have been accepted.

use crate::gateway::dialect::{AdapterKey, OrderKind};
use crate::types::Time;
use std::collections::BTreeMap;
use std::time::Duration;

/// An order without a response is executed up to 12 s late. The rest covers transit and the delay until a new
/// incarnation is known.
pub const LATE_ORDER_WINDOW: Duration = Duration::from_secs(14);
/// Maximum number of adapter slots kept free: for a late load and one that follows it. What they did is known before
/// the next order is sent.
pub const LATE_ORDER_SLOTS: usize = 2;
/// Orders of one step, an unload and a load. The next step is planned with what became of them.
const ORDERS_PER_STEP: u64 = 2;
/// Orders kept for each server; beyond that, the slots are kept free as if nothing were known of the orders.
const MAX_ORDERS: usize = 64;

/// An adapter order that was sent, and is not answered yet or never.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnansweredOrder {
    /// What it orders.
    pub kind: OrderKind,
    /// The adapter.
    pub adapter: AdapterKey,
    /// The number of orders that the server must have accepted before it.
    pub expected: u64,
    /// When it was sent.
    pub sent_at: Time,
}

impl UnansweredOrder {
    fn may_arrive(&self, now: Time) -> bool {
        now.since(self.sent_at) < LATE_ORDER_WINDOW
    }
}

/// The orders to one server that may be executed late by its next incarnation.
#[derive(Debug, Clone, Default)]
pub struct LateOrders {
    orders: Vec<UnansweredOrder>,
    /// Until then, orders that this daemon does not know of may be executed.
    unknown_until: Time,
}

impl LateOrders {
    /// Records an order that is about to be sent.
    pub fn add(&mut self, order: UnansweredOrder) {
        self.orders.retain(|other| other.may_arrive(order.sent_at));
        if self.orders.len() == MAX_ORDERS {
            let oldest = self.orders.remove(0);
            self.expect_unknown(oldest.sent_at + LATE_ORDER_WINDOW);
        }
        self.orders.push(order);
    }

    /// Removes an order that was answered, or not sent after all.
    pub fn remove(&mut self, order: &UnansweredOrder) {
        self.orders.retain(|other| other != order);
    }

    /// Expects orders that this daemon does not know of, sent before `sent_before` by another daemon or by this one
    /// before it was restarted.
    pub fn expect_unknown_sent_before(&mut self, sent_before: Time) {
        self.expect_unknown(sent_before + LATE_ORDER_WINDOW);
    }

    fn expect_unknown(&mut self, until: Time) {
        self.unknown_until = self.unknown_until.max(until);
    }

    /// Returns the time from which none can arrive any more.
    pub fn until(&self) -> Time {
        let ends = self.orders.iter().map(|order| order.sent_at + LATE_ORDER_WINDOW);
        ends.fold(self.unknown_until, Time::max)
    }

    /// Returns the number of adapter slots to keep free, during one step, at an incarnation that has accepted `taken`
    /// orders.
    pub fn reserved_slots(&self, now: Time, taken: u64) -> usize {
        if now < self.unknown_until {
            return LATE_ORDER_SLOTS;
        }
        let mut loads_by_count: BTreeMap<u64, bool> = BTreeMap::new();
        for order in self.arriving(now, taken) {
            *loads_by_count.entry(order.expected).or_default() |= order.kind == OrderKind::Load;
        }
        most_loads_in_a_row(&loads_by_count, taken.saturating_add(ORDERS_PER_STEP))
            .min(LATE_ORDER_SLOTS)
    }

    /// Returns true if known orders may arrive at an incarnation that has accepted `taken` orders, so that its steps
    /// have to be taken one at a time.
    pub fn are_expected(&self, now: Time, taken: u64) -> bool {
        self.arriving(now, taken).next().is_some()
    }

    /// Returns true if an incarnation that has accepted `taken` orders may unload an adapter late.
    pub fn may_unload(&self, now: Time, taken: u64, key: &AdapterKey) -> bool {
        let mut unloads = self.arriving(now, taken).filter(|order| order.kind == OrderKind::Unload);
        unloads.any(|order| order.adapter == *key)
    }

    /// Returns true if nothing is left to expect.
    pub fn is_over(&self, now: Time) -> bool {
        now >= self.until()
    }

    /// The known orders that an incarnation may still execute.
    fn arriving(&self, now: Time, taken: u64) -> impl Iterator<Item = &UnansweredOrder> {
        self.orders.iter().filter(move |order| order.may_arrive(now) && order.expected >= taken)
    }
}

/// The largest number of loads that follow each other without an order of this daemon between them, from a count up to
/// `last_start` on. The values tell whether a load expects that count.
fn most_loads_in_a_row(loads_by_count: &BTreeMap<u64, bool>, last_start: u64) -> usize {
    let (mut most, mut loads, mut next) = (0, 0, None);
    for (count, is_load) in loads_by_count {
        if next != Some(*count) {
            if *count > last_start {
                break;
            }
            loads = 0;
        }
        loads += usize::from(*is_load);
        most = most.max(loads);
        next = count.checked_add(1);
    }
    most
}
