//! Questions of this daemon's requests to daemons that decide for others, and their answers.

use crate::gateway::fleet::daemons::UnresponsiveDaemons;
use crate::types::Time;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// A daemon that says nothing for so long is taken for gone.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);
/// A daemon that did not answer is not asked for so long.
const SHUNNED_FOR: Duration = Duration::from_millis(2_000);

/// A request that asks, by its daemon and that daemon's count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CallId {
    /// Who asks.
    pub from: SocketAddr,
    /// Its count of requests.
    pub call: u32,
}

/// The questions that wait for an answer, by this daemon's count.
#[derive(Debug)]
pub struct PendingCalls<A> {
    waiting: RefCell<HashMap<u32, UnboundedSender<A>>>,
    asked: Cell<u32>,
    shunned: UnresponsiveDaemons,
}

impl<A> Default for PendingCalls<A> {
    fn default() -> Self {
        Self {
            waiting: RefCell::default(),
            asked: Cell::new(0),
            shunned: UnresponsiveDaemons::default(),
        }
    }
}

impl<A> PendingCalls<A> {
    /// The count of a new question, and where its answers come.
    pub fn open(&self) -> (u32, UnboundedReceiver<A>) {
        let ask = self.asked.get().wrapping_add(1);
        self.asked.set(ask);
        let (answered, answers) = unbounded_channel();
        self.waiting.borrow_mut().insert(ask, answered);
        (ask, answers)
    }

    /// No answer to a question is waited for any more.
    pub fn close(&self, ask: u32) {
        self.waiting.borrow_mut().remove(&ask);
    }

    /// Hands an answer on. The request may have been given up meanwhile; its guard tells so.
    pub fn answer(&self, ask: u32, answer: A) {
        if let Some(waiting) = self.waiting.borrow().get(&ask) {
            let _ = waiting.send(answer);
        }
    }

    /// Leaves a daemon alone for a while that did not answer.
    pub fn avoid(&self, now: Time, daemon: SocketAddr) {
        self.shunned.avoid(daemon, now + SHUNNED_FOR);
    }

    /// True if a daemon is left alone.
    pub fn is_avoided(&self, now: Time, daemon: SocketAddr) -> bool {
        self.shunned.contains(now, daemon)
    }
}

/// The next answer; `None` if none comes in time.
pub async fn next_answer<A>(answers: &mut UnboundedReceiver<A>, patience: Duration) -> Option<A> {
    actix_rt::time::timeout(patience, answers.recv()).await.ok()?
}
