//! Calls from this daemon to daemons that decide for others, and their answers.

use crate::gateway::fleet::daemons::UnresponsiveDaemons;
use crate::types::Time;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A daemon that does not answer within this time counts as unresponsive.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// How long an unresponsive daemon is not called.
const AVOIDED_FOR: Duration = Duration::from_millis(2_000);

/// Identifies a call by the calling daemon and its call number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    /// Address of the caller.
    pub from: SocketAddr,
    /// The caller's call number.
    pub call: u32,
}

/// Calls of this daemon that wait for an answer, by call number.
#[derive(Debug)]
pub struct PendingCalls<A> {
    waiting: RefCell<HashMap<u32, UnboundedSender<A>>>,
    last_call: Cell<u32>,
    unresponsive: UnresponsiveDaemons,
}

impl<A> Default for PendingCalls<A> {
    fn default() -> Self {
        Self {
            waiting: RefCell::default(),
            last_call: Cell::new(0),
            unresponsive: UnresponsiveDaemons::default(),
        }
    }
}

impl<A> PendingCalls<A> {
    /// Opens a call. Returns its number and the receiver of its answers.
    pub fn open(&self) -> (u32, UnboundedReceiver<A>) {
        let call = self.last_call.get().wrapping_add(1);
        self.last_call.set(call);
        let (sender, answers) = unbounded_channel();
        self.waiting.borrow_mut().insert(call, sender);
        (call, answers)
    }

    /// Opens a call that is closed when the first value is dropped, also if the caller stops waiting.
    pub fn open_until_dropped(&self) -> (OpenCall<'_, A>, UnboundedReceiver<A>) {
        let (number, answers) = self.open();
        (OpenCall { calls: self, number }, answers)
    }

    /// Makes a call that has one answer: `send` sends it, given its number. `None` on timeout. The call is
    /// closed even if the caller stops waiting.
    pub async fn call(&self, timeout: Duration, send: impl FnOnce(u32)) -> Option<A> {
        let (call, mut answers) = self.open_until_dropped();
        send(call.number());
        next_answer(&mut answers, timeout).await
    }

    /// Returns true if no call waits for an answer.
    pub fn is_empty(&self) -> bool {
        self.waiting.borrow().is_empty()
    }

    /// Closes a call; later answers are dropped.
    pub fn close(&self, call: u32) {
        self.waiting.borrow_mut().remove(&call);
    }

    /// Delivers an answer. The request may have been given up in the meantime; its guard reports
    /// that.
    pub fn answer(&self, call: u32, answer: A) {
        if let Some(waiting) = self.waiting.borrow().get(&call) {
            let _ = waiting.send(answer);
        }
    }

    /// Marks a daemon as unresponsive for a while.
    pub fn avoid(&self, now: Time, daemon: SocketAddr) {
        self.unresponsive.avoid(daemon, now + AVOIDED_FOR);
    }

    /// Returns whether a daemon is marked as unresponsive.
    pub fn is_avoided(&self, now: Time, daemon: SocketAddr) -> bool {
        self.unresponsive.contains(now, daemon)
    }
}

/// A call that is closed when this is dropped.
#[derive(Debug)]
pub struct OpenCall<'a, A> {
    calls: &'a PendingCalls<A>,
    number: u32,
}

impl<A> OpenCall<'_, A> {
    /// The number of the call.
    pub fn number(&self) -> u32 {
        self.number
    }
}

impl<A> Drop for OpenCall<'_, A> {
    fn drop(&mut self) {
        self.calls.close(self.number);
    }
}

/// Waits for the next answer; `None` on timeout.
pub async fn next_answer<A>(answers: &mut UnboundedReceiver<A>, timeout: Duration) -> Option<A> {
    actix_rt::time::timeout(timeout, answers.recv()).await.ok()?
}
