//! What a daemon may send to a cold server without a grant.

use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Between two such requests to one server: a second, and what the way to it may differ.
const APART: Duration = Duration::from_millis(1_250);
/// A daemon that was known is counted for so long: one that is cut off must not take itself for one of
/// a few.
const KNOWN_FOR: Duration = Duration::from_secs(3_600);
/// Daemons that are counted at most.
const MOST_KNOWN: usize = 2_048;

/// This daemon's own share at each server.
#[derive(Debug, Clone)]
pub struct FallbackShares {
    started_at: Time,
    known: HashMap<SocketAddr, Time>,
    sent: HashMap<u32, Time>,
}

impl FallbackShares {
    /// Of a daemon that does not know what it sent before it started.
    pub fn new(started_at: Time) -> Self {
        Self { started_at, known: HashMap::new(), sent: HashMap::new() }
    }

    /// Takes in which daemons there are, silent ones among them.
    pub fn update_daemons(&mut self, now: Time, daemons: impl Iterator<Item = SocketAddr>) {
        self.known.retain(|_, at| now.since(*at) < KNOWN_FOR);
        for daemon in daemons {
            if self.known.len() < MOST_KNOWN || self.known.contains_key(&daemon) {
                self.known.insert(daemon, now);
            }
        }
    }

    /// True if this daemon is one of the first `some` that may send to a server without a grant.
    pub fn is_sharer(&self, server: u32, me: SocketAddr, some: usize) -> bool {
        let place = |daemon: &SocketAddr| {
            (xxh3_64_with_seed(daemon.to_string().as_bytes(), server.into()), *daemon)
        };
        let mine = place(&me);
        let others = self.known.keys().filter(|daemon| **daemon != me);
        others.filter(|daemon| place(daemon) < mine).count() < some
    }

    /// Takes the share of a server, if it is free.
    pub fn take(&mut self, now: Time, server: u32) -> bool {
        self.sent.retain(|_, at| now.since(*at) < APART);
        let free = now.since(self.started_at) >= APART && !self.sent.contains_key(&server);
        if free {
            self.sent.insert(server, now);
        }
        free
    }
}
