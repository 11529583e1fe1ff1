//! Limits the requests that a daemon sends to a cold server without a grant.

use crate::types::Time;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum interval between such requests to one server: one second plus variation in network
/// latency.
const MIN_INTERVAL: Duration = Duration::from_millis(1_250);
/// How long a daemon counts after it was last known. A partitioned daemon must not believe that it
/// is one of only a few.
const KNOWN_FOR: Duration = Duration::from_secs(3_600);
/// Maximum number of daemons counted.
const MAX_KNOWN: usize = 2_048;

/// This daemon's own share at each server.
#[derive(Debug, Clone)]
pub struct FallbackShares {
    started_at: Time,
    known: HashMap<SocketAddr, Time>,
    sent: HashMap<u32, Time>,
}

impl FallbackShares {
    /// Creates the shares of a daemon that does not know what it sent before it started.
    pub fn new(started_at: Time) -> Self {
        Self { started_at, known: HashMap::new(), sent: HashMap::new() }
    }

    /// Updates the known daemons, including silent ones.
    pub fn update_daemons(&mut self, now: Time, daemons: impl Iterator<Item = SocketAddr>) {
        self.known.retain(|_, at| now.since(*at) < KNOWN_FOR);
        for daemon in daemons {
            if self.known.len() < MAX_KNOWN || self.known.contains_key(&daemon) {
                self.known.insert(daemon, now);
            }
        }
    }

    /// Returns whether this daemon is one of the first `count` daemons, which may send to a server
    /// without a grant.
    pub fn is_sharer(&self, server: u32, me: SocketAddr, count: usize) -> bool {
        let rank = |daemon: &SocketAddr| {
            (xxh3_64_with_seed(daemon.to_string().as_bytes(), server.into()), *daemon)
        };
        let own = rank(&me);
        let others = self.known.keys().filter(|daemon| **daemon != me);
        others.filter(|daemon| rank(daemon) < own).count() < count
    }

    /// Takes the share at a server if it is available.
    pub fn take(&mut self, now: Time, server: u32) -> bool {
        self.sent.retain(|_, at| now.since(*at) < MIN_INTERVAL);
        let free = now.since(self.started_at) >= MIN_INTERVAL && !self.sent.contains_key(&server);
        if free {
            self.sent.insert(server, now);
        }
        free
    }
}
