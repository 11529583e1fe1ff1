//! Reachability of servers from this node.
//!
//! Input is the outcome of each attempt to connect; output is which servers this node cannot reach. That
//! says nothing about the servers: only this node's link may be down.

use crate::types::Time;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Links that have not been tried for this long are forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

/// The link to one server.
#[derive(Debug, Clone, Copy)]
struct Link {
    reached_at: Option<Time>,
    /// When the first attempt since then failed.
    failing_since: Option<Time>,
    tried_at: Time,
}

/// A change of the link to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkChange {
    /// The first failed attempt, with the time since the server was last reached, if it ever was.
    Lost(Option<Duration>),
    /// The server was reached again after failed attempts; with the time since the first of them.
    Restored(Duration),
}

/// The links from this node to the servers, by server id.
#[derive(Debug, Default)]
pub struct ServerLinks {
    links: RefCell<HashMap<Rc<str>, Link>>,
}

impl ServerLinks {
    /// Records that a server was reached.
    pub fn reached(&self, now: Time, server: &Rc<str>) -> Option<LinkChange> {
        let link = Link { reached_at: Some(now), failing_since: None, tried_at: now };
        let before = self.links.borrow_mut().insert(server.clone(), link)?;
        before.failing_since.map(|since| LinkChange::Restored(now.since(since)))
    }

    /// Records that a server could not be reached.
    pub fn failed(&self, now: Time, server: &Rc<str>) -> Option<LinkChange> {
        let mut links = self.links.borrow_mut();
        let unknown = Link { reached_at: None, failing_since: None, tried_at: now };
        let link = links.entry(server.clone()).or_insert(unknown);
        link.tried_at = now;
        if link.failing_since.is_some() {
            return None;
        }
        link.failing_since = Some(now);
        Some(LinkChange::Lost(link.reached_at.map(|at| now.since(at))))
    }

    /// Returns true if the last attempt to reach a server failed.
    pub fn is_failing(&self, server: &str) -> bool {
        self.links.borrow().get(server).is_some_and(|link| link.failing_since.is_some())
    }

    /// Number of servers whose last attempt failed.
    pub fn failing_count(&self) -> usize {
        self.links.borrow().values().filter(|link| link.failing_since.is_some()).count()
    }

    /// Forgets a removed server.
    pub fn forget(&self, server: &str) {
        self.links.borrow_mut().remove(server);
    }

    /// Forgets links that have not been tried for long.
    pub fn sweep(&self, now: Time) {
        self.links.borrow_mut().retain(|_, link| now.since(link.tried_at) < FORGOTTEN_AFTER);
    }
}
