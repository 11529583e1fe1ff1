//! The grant that a request holds.

use super::grants::Grants;
use super::message::{GrantAnswer, GrantEnd, GrantMessage};
use crate::types::Time;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// A grant for a server that states a limit must be used within this or requested again. Otherwise
/// a suspended node would send everything that it was granted at once.
const GRANT_TTL: Duration = Duration::from_millis(1_000);

/// A grant or a queue position, returned when dropped.
pub struct GrantGuard {
    grants: Rc<Grants>,
    /// The daemon that gave the grant.
    pub granter: SocketAddr,
    server: u32,
    call: u32,
    /// The service, and the number of prompt tokens to prefill.
    prefill: (Rc<str>, u32),
    alone: Cell<bool>,
    granted_at: Cell<Time>,
    sent_at: Cell<Time>,
    /// The end to report on drop; `None` if it was reported already.
    end: Cell<Option<GrantEnd>>,
}

impl GrantGuard {
    pub(super) fn new(
        grants: Rc<Grants>,
        granter: SocketAddr,
        server: u32,
        call: u32,
        prefill: (Rc<str>, u32),
    ) -> Self {
        let (granted_at, sent_at) = (Cell::default(), Cell::default());
        let (alone, end) = (Cell::new(false), Cell::new(Some(GrantEnd::Unsent)));
        Self { grants, granter, server, call, prefill, alone, granted_at, sent_at, end }
    }

    /// Records the time of the grant.
    pub(super) fn granted(&self, now: Time) {
        self.granted_at.set(now);
    }

    /// Returns whether the grant may still be used. An old one may not: the server's limit has been
    /// granted to others since.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.granted_at.get()) < GRANT_TTL
    }

    /// Records whether the server had no other prefill to do when the grant was given.
    pub(super) fn set_prefill_alone(&self, alone: bool) {
        self.alone.set(alone);
    }

    /// Records that the request is being sent. From now on it may have arrived.
    pub fn sent(&self, now: Time) {
        self.sent_at.set(now);
        self.end.set(Some(GrantEnd::Failed));
    }

    /// Records how the request ended.
    pub fn ended(&self, end: GrantEnd) {
        if self.end.get().is_some() {
            self.end.set(Some(end));
        }
    }

    /// Records the start of the response: the prompt has been read.
    pub fn begun(&self, now: Time) {
        if self.end.get().is_none() {
            return;
        }
        let took = now.since(self.sent_at.get());
        if self.alone.get() && self.prefill.1 > 0 {
            self.grants.record_prefill(&self.prefill.0, self.prefill.1, took);
        }
        self.ended(GrantEnd::Begun(took.as_millis() as u32));
        self.report_end();
    }

    /// The granter refused the request, so there is nothing to report.
    pub(super) fn refused(&self) {
        self.end.set(None);
    }

    fn report_end(&self) {
        if let Some(end) = self.end.take() {
            self.grants.send(self.granter, GrantMessage::Ended(self.server, self.call, end));
        }
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        self.grants.calls.close(self.call);
        self.report_end();
    }
}

/// A request that waits for a grant.
pub struct WaitingGrant {
    pub(super) guard: GrantGuard,
    pub(super) answers: UnboundedReceiver<GrantAnswer>,
    /// The announced wait.
    pub expected: Duration,
}
