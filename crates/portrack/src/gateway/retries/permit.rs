//! The permission to send a request to a server once more.

use super::budgets::RetryBudgets;
use crate::types::Time;
use std::cell::Cell;
use std::rc::Rc;

/// What a retry is charged to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetrySource {
    /// The share earned by this daemon's requests, in this slot.
    Earned(u64),
    /// The slack that this daemon grants, in this slot.
    OwnSlack(u64),
    /// The slack that another daemon has granted.
    GrantedSlack,
}

impl RetrySource {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Earned(_) => "earned",
            Self::OwnSlack(_) | Self::GrantedSlack => "slack",
        }
    }
}

/// Permission for one retry, given back on drop unless it was used.
pub struct RetryPermit {
    budgets: Rc<RetryBudgets>,
    service: Rc<str>,
    source: RetrySource,
    taken_at: Time,
    used: Cell<bool>,
}

impl RetryPermit {
    /// A permission taken from `budgets` at `taken_at`.
    pub(super) fn new(
        budgets: Rc<RetryBudgets>,
        service: Rc<str>,
        source: RetrySource,
        taken_at: Time,
    ) -> Self {
        Self { budgets, service, source, taken_at, used: Cell::new(false) }
    }

    /// What the retry is charged to.
    pub fn source(&self) -> RetrySource {
        self.source
    }

    /// Returns true if the retry may be sent now.
    pub fn is_usable(&self, now: Time) -> bool {
        !self.used.get() && now.since(self.taken_at) < self.budgets.bounds().send_within()
    }

    /// Records that the retry is sent.
    pub fn mark_used(&self) {
        self.used.set(true);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.used.get() {
            self.budgets.give_back(&self.service, self.source);
        }
    }
}
