//! Baselines: the least recently used adapter makes way at once, wherever a request is sent.

use super::Policy;
use super::servers::{SERVERS, Servers};
use super::trace::Request;
use portrack::membership::ranked;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Which server loads a missing adapter.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Its first in rendezvous order, always.
    Home,
    /// The one with the fewest requests.
    LeastBusy,
    /// Any.
    Random,
}

/// Least recently used.
pub struct Lru {
    choice: Choice,
    rng: SmallRng,
    wanted: Vec<(usize, usize)>,
}

impl Lru {
    /// A baseline by its choice of servers.
    pub fn new(choice: Choice) -> Self {
        Self { choice, rng: SmallRng::seed_from_u64(1), wanted: Vec::new() }
    }
}

/// The name of a server in rendezvous order.
pub fn server_name(server: usize) -> String {
    format!("s{server}")
}

impl Policy for Lru {
    fn name(&self) -> &'static str {
        match self.choice {
            Choice::Home => "LRU, static rendezvous",
            Choice::LeastBusy => "LRU, least connections",
            Choice::Random => "LRU, random",
        }
    }

    fn missed(&mut self, _now: u64, request: &Request, servers: &Servers) {
        let adapter = request.adapter;
        let waits = self.wanted.iter().any(|(_, wanted)| *wanted == adapter);
        if waits || servers.has_somewhere(adapter) {
            return;
        }
        let names: Vec<String> = (0..SERVERS).map(server_name).collect();
        let server = match self.choice {
            Choice::Home => {
                let order = ranked(&format!("a{adapter}"), names.iter().map(String::as_str));
                names.iter().position(|name| *name == order[0]).unwrap_or(0)
            }
            Choice::LeastBusy => {
                (0..SERVERS).min_by_key(|server| servers.running(*server)).unwrap_or(0)
            }
            Choice::Random => self.rng.random_range(0..SERVERS),
        };
        self.wanted.push((server, adapter));
    }

    fn used(&mut self, _now: u64, _server: usize, _request: &Request) {}

    fn step(&mut self, now: u64, servers: &mut Servers) {
        self.wanted.retain(|(server, adapter)| {
            if servers.is_full(*server) {
                let Some(victim) = servers.least_recent(now, *server) else { return true };
                servers.evict(*server, victim);
            }
            servers.load(now, *server, *adapter);
            false
        });
    }
}
