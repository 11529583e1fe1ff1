//! Grant details for a request's log line.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

/// The grant of one request.
#[derive(Debug, Default)]
pub struct GrantTimings {
    /// The daemon that gave the grant.
    pub granter: Cell<Option<SocketAddr>>,
    waited: Cell<Duration>,
    expected: Cell<Duration>,
}

impl GrantTimings {
    /// Adds a wait to those of earlier tries.
    pub fn add_wait(&self, wait: Duration) {
        self.waited.set(self.waited.get() + wait);
    }

    /// Records an announced wait.
    pub fn expect_wait(&self, wait: Duration) {
        self.expected.set(self.expected.get().max(wait));
    }

    /// Total wait in milliseconds.
    pub fn waited_ms(&self) -> u64 {
        self.waited.get().as_millis() as u64
    }

    /// The longest announced wait in milliseconds.
    pub fn told_ms(&self) -> u64 {
        self.expected.get().as_millis() as u64
    }

    /// Address of the granter for logs; empty if there is none.
    pub fn granter_name(&self) -> String {
        self.granter.get().map(|granter| granter.to_string()).unwrap_or_default()
    }
}
