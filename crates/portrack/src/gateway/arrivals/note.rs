//! What a request's log line tells of its grant.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

/// The grant of one request.
#[derive(Debug, Default)]
pub struct GrantTimings {
    /// Who gave it.
    pub granter: Cell<Option<SocketAddr>>,
    waited: Cell<Duration>,
    told: Cell<Duration>,
}

impl GrantTimings {
    /// It waited so long, on top of earlier tries.
    pub fn waited(&self, wait: Duration) {
        self.waited.set(self.waited.get() + wait);
    }

    /// It was told to wait so long.
    pub fn told(&self, wait: Duration) {
        self.told.set(self.told.get().max(wait));
    }

    /// How long it waited, in milliseconds.
    pub fn waited_ms(&self) -> u64 {
        self.waited.get().as_millis() as u64
    }

    /// The longest wait it was told of, in milliseconds.
    pub fn told_ms(&self) -> u64 {
        self.told.get().as_millis() as u64
    }

    /// Who gave it, for logs; empty for nobody.
    pub fn granter_name(&self) -> String {
        self.granter.get().map(|granter| granter.to_string()).unwrap_or_default()
    }
}
