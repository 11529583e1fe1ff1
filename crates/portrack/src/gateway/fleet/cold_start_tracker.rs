//! Which servers may be slow from their start. In doubt a server is cold.
//!
//! In doubt are servers that are not known, whose entry may be an old one, that broke off, or that got
//! nothing for a while.

use super::backend::Backend;
use super::config::ColdStart;
use crate::types::Time;
use std::collections::HashMap;
use std::rc::Rc;

/// The name, in logs, of news that a daemon caught up with from another one.
pub const SOURCE_PEER: &str = "peer";
/// The same of what a server's report told before its entry did.
pub const SOURCE_REPORT: &str = "report";

/// How a server's entry was learned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntrySource {
    /// From the store, or from a daemon that watches it: what the entry says holds now.
    Direct,
    /// From a daemon that may know an older one, or from a server's report, which tells its life and not
    /// how cold it is.
    Indirect,
}

impl EntrySource {
    /// By the name that a source of news has in logs.
    pub fn of(source: &str) -> Self {
        match source {
            SOURCE_PEER | SOURCE_REPORT => Self::Indirect,
            _ => Self::Direct,
        }
    }
}

/// What is known of one server.
#[derive(Debug, Clone, Copy)]
struct Evidence {
    /// The life that it is of.
    born: Option<u64>,
    /// From then on the server may have turned cold without a word of it; `None` for no such moment.
    doubted_at: Option<Time>,
    /// It is cold until then, by its own word.
    told_until: Time,
}

/// The servers that are cold, as far as known.
#[derive(Debug, Clone, Default)]
pub struct ColdStartTracker {
    servers: HashMap<Rc<str>, Evidence>,
}

impl ColdStartTracker {
    /// Takes a server's entry in. What it says of the remaining time is counted from now: it was
    /// written before, so the server is cold no longer than that. A server that is new here, or has
    /// started again, is in doubt where the entry may be an old one. What the
    /// store tells is current, so a daemon that starts need not take all servers for cold.
    pub fn on_entry(&mut self, now: Time, backend: &Backend, source: EntrySource) {
        let told_until = now + backend.cold_for;
        let doubted_at = (source == EntrySource::Indirect).then_some(now);
        let fresh = Evidence { born: backend.born, doubted_at, told_until };
        let evidence = self.servers.entry(backend.id.clone()).or_insert(fresh);
        if evidence.born != backend.born {
            *evidence = fresh;
        }
        evidence.told_until = evidence.told_until.max(told_until);
    }

    /// A server may have turned cold by now, as after a time in which it got nothing.
    pub fn assume_cold(&mut self, now: Time, server: &str) {
        if let Some(evidence) = self.servers.get_mut(server) {
            evidence.doubted_at = Some(now);
        }
    }

    /// A server is gone.
    pub fn gone(&mut self, server: &str) {
        self.servers.remove(server);
    }

    /// Until when a server has to be taken for cold, if servers of its service are slow from their
    /// start. One that is not known is cold.
    pub fn cold_until(&self, now: Time, server: &str, start: &ColdStart) -> Time {
        let Some(evidence) = self.servers.get(server) else { return now + start.duration };
        let doubted = evidence.doubted_at.map(|at| at + start.duration);
        doubted.map_or(evidence.told_until, |until| until.max(evidence.told_until))
    }

    /// True if a server has to be taken for cold.
    pub fn is_cold(&self, now: Time, server: &str, start: Option<&ColdStart>) -> bool {
        start.is_some_and(|start| now < self.cold_until(now, server, start))
    }
}
