//! A grant that a request has.

use super::grants::Grants;
use super::message::{GrantAnswer, GrantEnd, GrantMessage};
use crate::types::Time;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// A grant to a server that names a limit is used within this, or asked for anew: a node that stood still would send all
/// that it had been granted at once.
const GRANT_LASTS: Duration = Duration::from_millis(1_000);

/// A grant, or a place among those that wait for one; given back when dropped.
pub struct GrantGuard {
    grants: Rc<Grants>,
    /// Who gave it.
    pub granter: SocketAddr,
    server: u32,
    ask: u32,
    /// The service that reads the prompt, and its tokens.
    reader: (Rc<str>, u32),
    alone: Cell<bool>,
    granted_at: Cell<Time>,
    sent_at: Cell<Time>,
    /// What is told of it when it is dropped; `None` if all is told.
    end: Cell<Option<GrantEnd>>,
}

impl GrantGuard {
    pub(super) fn new(
        grants: Rc<Grants>,
        granter: SocketAddr,
        server: u32,
        ask: u32,
        reader: (Rc<str>, u32),
    ) -> Self {
        let (granted_at, sent_at) = (Cell::default(), Cell::default());
        let (alone, end) = (Cell::new(false), Cell::new(Some(GrantEnd::Unsent)));
        Self { grants, granter, server, ask, reader, alone, granted_at, sent_at, end }
    }

    /// It is granted now.
    pub(super) fn granted(&self, now: Time) {
        self.granted_at.set(now);
    }

    /// True if a request may still be sent on it: the server's limit has been given to others since.
    pub fn is_fresh(&self, now: Time) -> bool {
        now.since(self.granted_at.get()) < GRANT_LASTS
    }

    /// The server was reading nothing else when it was granted.
    pub(super) fn reads_alone(&self, alone: bool) {
        self.alone.set(alone);
    }

    /// The request is being sent: from here on it may have arrived.
    pub fn sent(&self, now: Time) {
        self.sent_at.set(now);
        self.end.set(Some(GrantEnd::Failed));
    }

    /// Takes note of how the request ended.
    pub fn ended(&self, end: GrantEnd) {
        if self.end.get().is_some() {
            self.end.set(Some(end));
        }
    }

    /// The answer begins: the prompt is read.
    pub fn begun(&self, now: Time) {
        if self.end.get().is_none() {
            return;
        }
        let took = now.since(self.sent_at.get());
        if self.alone.get() && self.reader.1 > 0 {
            self.grants.note_read(&self.reader.0, self.reader.1, took);
        }
        self.ended(GrantEnd::Begun(took.as_millis() as u32));
        self.tell();
    }

    /// Nothing is to be told: the granter has refused it.
    pub(super) fn refused(&self) {
        self.end.set(None);
    }

    fn tell(&self) {
        if let Some(end) = self.end.take() {
            self.grants.send(self.granter, GrantMessage::Ended(self.server, self.ask, end));
        }
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        self.grants.asks.close(self.ask);
        self.tell();
    }
}

/// A request that waits for its turn.
pub struct WaitingGrant {
    pub(super) guard: GrantGuard,
    pub(super) answers: UnboundedReceiver<GrantAnswer>,
    /// How long it was told to wait.
    pub expected: Duration,
}
