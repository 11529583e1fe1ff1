//! Decides which incarnation of a server an entry belongs to. A server that restarts may keep its
//! id.

use super::backend::Backend;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Number of removed servers whose latest incarnation is remembered: more than twice a fleet of
/// 1,500. Without it a late entry of an earlier incarnation would be taken for a new server.
pub const MAX_REMOVED_INCARNATIONS: usize = 4_096;

/// How an entry compares with the latest recorded entry of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStatus {
    /// The server is unknown.
    First,
    /// The entry is of the recorded incarnation, and no older than the recorded entry.
    Same,
    /// The server has restarted.
    Restarted {
        /// Start time of the previous incarnation.
        before: Option<u64>,
    },
    /// The entry is of an earlier incarnation, or was written before the recorded entry.
    Stale,
}

#[derive(Debug, Clone)]
struct Incarnation {
    born: Option<u64>,
    orders_taken: u64,
    draining: bool,
    /// It has stated when it will be taken away, whatever it runs then.
    is_taken_away: bool,
    /// The removal number, if the server was removed.
    removal: Option<u64>,
}

/// The latest known incarnation of each server.
#[derive(Debug, Clone, Default)]
pub struct ServerIncarnations {
    newest: BTreeMap<Rc<str>, Incarnation>,
    /// Removed servers with their removal numbers, the earliest first.
    removed: VecDeque<(u64, Rc<str>)>,
    removals: u64,
}

impl ServerIncarnations {
    /// Records an entry unless it is stale. A server that once reported that it is leaving stays so
    /// for the rest of its incarnation.
    pub fn record(&mut self, backend: &mut Backend) -> EntryStatus {
        let known = self.newest.get(&backend.id);
        let status =
            known.map_or(EntryStatus::First, |incarnation| incarnation.entry_status(backend));
        match status {
            EntryStatus::Stale => return status,
            EntryStatus::Same => {
                backend.draining |= known.is_some_and(|incarnation| incarnation.draining)
            }
            EntryStatus::First | EntryStatus::Restarted { .. } => {}
        }
        let was_taken_away = status == EntryStatus::Same
            && known.is_some_and(|incarnation| incarnation.is_taken_away);
        let incarnation = Incarnation {
            born: backend.born,
            orders_taken: backend.orders_taken,
            draining: backend.draining,
            is_taken_away: backend.leaves_in.is_some() || was_taken_away,
            removal: None,
        };
        self.newest.insert(backend.id.clone(), incarnation);
        status
    }

    /// Records that a server was removed. Its latest incarnation is remembered if its entries
    /// report a start time, or if it was leaving: an entry may lapse while its server is alive, and
    /// come back as that of a server that accepts work.
    pub fn remove(&mut self, id: &str) {
        let Some((id, incarnation)) = self.newest.get_key_value(id) else { return };
        let (id, is_remembered) = (id.clone(), incarnation.born.is_some() || incarnation.draining);
        if !is_remembered {
            self.newest.remove(&id);
            return;
        }
        self.removals += 1;
        if let Some(incarnation) = self.newest.get_mut(&id) {
            incarnation.removal = Some(self.removals);
        }
        self.removed.push_back((self.removals, id));
        self.evict_earliest();
    }

    fn evict_earliest(&mut self) {
        while self.removed.len() > MAX_REMOVED_INCARNATIONS {
            let Some((removal, id)) = self.removed.pop_front() else { return };
            if self.newest.get(&id).is_some_and(|incarnation| incarnation.removal == Some(removal))
            {
                self.newest.remove(&id);
            }
        }
    }

    /// Start time of the latest incarnation of a server, if it reports one.
    pub fn born(&self, id: &str) -> Option<u64> {
        self.newest.get(id)?.born
    }

    /// Whether the latest incarnation of a server has stated when it will be taken away, whatever it runs then.
    pub fn is_taken_away(&self, id: &str) -> bool {
        self.newest.get(id).is_some_and(|incarnation| incarnation.is_taken_away)
    }

    /// Number of remembered servers, including removed ones.
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// Returns true if no server is known.
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }
}

impl Incarnation {
    /// Compares an entry with this incarnation.
    fn entry_status(&self, backend: &Backend) -> EntryStatus {
        match (self.born, backend.born) {
            // Servers that do not report a start time get a new id with each start.
            (None, None) => EntryStatus::Same,
            (Some(_), None) => EntryStatus::Stale,
            (None, Some(_)) => EntryStatus::Restarted { before: None },
            (Some(known), Some(reported)) => match reported.cmp(&known) {
                Ordering::Greater => EntryStatus::Restarted { before: self.born },
                Ordering::Less => EntryStatus::Stale,
                Ordering::Equal if backend.orders_taken < self.orders_taken => EntryStatus::Stale,
                Ordering::Equal => EntryStatus::Same,
            },
        }
    }
}
