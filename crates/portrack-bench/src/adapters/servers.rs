//! The servers and the weight store, as far as adapters go.

use super::trace::Request;
use std::collections::{HashMap, VecDeque};

/// Servers, and the adapters that each holds at most.
pub const SERVERS: usize = 12;
pub const PLACES: usize = 20;
/// Requests at once at one server.
pub const SLOTS: usize = 64;
/// Fetches that the weight store serves at full speed, and how long one takes then.
const FULL_SPEED: usize = 8;
const FETCH_MS: u64 = 250;
/// What a server held lately loads from its own copy.
const AT_HAND_MS: u64 = 28;
const AT_HAND: usize = 126;

/// An adapter at a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Held {
    /// It can be used from here on.
    pub ready_at: u64,
    /// Requests that use it.
    pub running: usize,
    /// When one began last.
    pub used_at: u64,
}

#[derive(Debug, Clone, Default)]
struct Server {
    held: HashMap<usize, Held>,
    copies: VecDeque<usize>,
    running: usize,
}

/// All servers.
#[derive(Debug, Clone)]
pub struct Servers {
    servers: Vec<Server>,
    runs: Vec<(u64, usize, usize)>,
    fetches: Vec<u64>,
    /// Loads from the weight store.
    pub fetched: usize,
    /// Loads from a server's own copy.
    pub loaded_at_hand: usize,
}

impl Default for Servers {
    fn default() -> Self {
        Self {
            servers: vec![Server::default(); SERVERS],
            runs: Vec::new(),
            fetches: Vec::new(),
            fetched: 0,
            loaded_at_hand: 0,
        }
    }
}

impl Servers {
    /// Ends the runs and fetches that are over.
    pub fn end_runs(&mut self, now: u64) {
        self.fetches.retain(|until| *until > now);
        let (over, on): (Vec<_>, Vec<_>) = self.runs.iter().partition(|(until, ..)| *until <= now);
        self.runs = on;
        for (_, server, adapter) in over {
            self.servers[server].running -= 1;
            if let Some(held) = self.servers[server].held.get_mut(&adapter) {
                held.running -= 1;
            }
        }
    }

    /// Runs a request at the least busy server that has its adapter, if one has a free slot.
    pub fn begin(&mut self, now: u64, request: &Request) -> Option<usize> {
        let ready = |server: &Server| {
            server.held.get(&request.adapter).is_some_and(|held| held.ready_at <= now)
        };
        let able = (0..SERVERS).filter(|n| ready(&self.servers[*n]) && self.running(*n) < SLOTS);
        let server = able.min_by_key(|n| self.running(*n))?;
        self.servers[server].running += 1;
        let held = self.servers[server].held.get_mut(&request.adapter)?;
        held.running += 1;
        held.used_at = now;
        self.runs.push((now + request.run_ms, server, request.adapter));
        Some(server)
    }

    /// Requests that run at a server.
    pub fn running(&self, server: usize) -> usize {
        self.servers[server].running
    }

    /// The adapters in use, with their servers.
    pub fn in_use(&self) -> impl Iterator<Item = (usize, usize)> + '_ {
        self.runs.iter().map(|(_, server, adapter)| (*server, *adapter))
    }

    /// True if an adapter is at a server or on its way there.
    pub fn has(&self, server: usize, adapter: usize) -> bool {
        self.servers[server].held.contains_key(&adapter)
    }

    /// True if an adapter is at some server or on its way.
    pub fn has_somewhere(&self, adapter: usize) -> bool {
        (0..SERVERS).any(|server| self.has(server, adapter))
    }

    /// True if a server has no free place.
    pub fn is_full(&self, server: usize) -> bool {
        self.servers[server].held.len() >= PLACES
    }

    /// The adapter at a server that was used least lately and is idle now.
    pub fn least_recent(&self, now: u64, server: usize) -> Option<usize> {
        let held = self.servers[server].held.iter();
        let idle = held.filter(|(_, held)| held.running == 0 && held.ready_at <= now);
        idle.min_by_key(|(adapter, held)| (held.used_at, **adapter)).map(|(adapter, _)| *adapter)
    }

    /// Drops an adapter; false if it is in use.
    pub fn evict(&mut self, server: usize, adapter: usize) -> bool {
        let held = &mut self.servers[server].held;
        if held.get(&adapter).is_some_and(|held| held.running > 0) {
            return false;
        }
        held.remove(&adapter);
        true
    }

    /// Begins a load, and tells how long it takes.
    pub fn load(&mut self, now: u64, server: usize, adapter: usize) -> u64 {
        let copies = &mut self.servers[server].copies;
        let known = copies.iter().position(|copy| *copy == adapter);
        let took = match known.and_then(|at| copies.remove(at)) {
            Some(_) => {
                self.loaded_at_hand += 1;
                AT_HAND_MS
            }
            None => {
                self.fetched += 1;
                let running = self.fetches.len() + 1;
                let took = FETCH_MS * running.max(FULL_SPEED) as u64 / FULL_SPEED as u64;
                self.fetches.push(now + took);
                took
            }
        };
        copies.push_back(adapter);
        if copies.len() > AT_HAND {
            copies.pop_front();
        }
        let held = Held { ready_at: now + took, running: 0, used_at: now };
        self.servers[server].held.insert(adapter, held);
        took
    }
}
