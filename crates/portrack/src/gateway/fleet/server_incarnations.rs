//! Which life of a server an entry is of. A server that starts again may keep its id.

use super::backend::Backend;
use std::cmp::Ordering;
use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

/// Servers that are gone and whose newest life is remembered: more than twice a fleet of 1,500. Without
/// it a late entry of a former life is taken for a new server.
pub const MAX_REMOVED_INCARNATIONS: usize = 4_096;

/// What an entry is to what is known of its server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryStatus {
    /// Nothing is known of the server.
    First,
    /// It is of the life that is known, and not older than what is known of it.
    Same,
    /// The server has started again since.
    Restarted {
        /// The start of the life before.
        before: Option<u64>,
    },
    /// It is of a former life, or was written before what is known.
    Stale,
}

#[derive(Debug, Clone)]
struct Life {
    born: Option<u64>,
    orders_taken: u64,
    draining: bool,
    /// The number of its removal, if the server is gone.
    gone: Option<u64>,
}

/// The newest known life of each server.
#[derive(Debug, Clone, Default)]
pub struct ServerIncarnations {
    newest: BTreeMap<Rc<str>, Life>,
    /// Servers that went, the earliest first, each with the number of its removal.
    gone: VecDeque<(u64, Rc<str>)>,
    removals: u64,
}

impl ServerIncarnations {
    /// Takes an entry in, unless it is older than what is known. A server that once said it is leaving
    /// stays so for the rest of its life.
    pub fn take(&mut self, backend: &mut Backend) -> EntryStatus {
        let known = self.newest.get(&backend.id);
        let entry_life = known.map_or(EntryStatus::First, |life| life.entry_life(backend));
        match entry_life {
            EntryStatus::Stale => return entry_life,
            EntryStatus::Same => backend.draining |= known.is_some_and(|life| life.draining),
            EntryStatus::First | EntryStatus::Restarted { .. } => {}
        }
        let life = Life {
            born: backend.born,
            orders_taken: backend.orders_taken,
            draining: backend.draining,
            gone: None,
        };
        self.newest.insert(backend.id.clone(), life);
        entry_life
    }

    /// A server is gone. Its newest life is remembered if its entries tell lives apart, or if it was leaving: its entry
    /// may lapse while it lives, and come back as that of a server which takes work.
    pub fn gone(&mut self, id: &str) {
        let Some((id, life)) = self.newest.get_key_value(id) else { return };
        let (id, told) = (id.clone(), life.born.is_some() || life.draining);
        if !told {
            self.newest.remove(&id);
            return;
        }
        self.removals += 1;
        if let Some(life) = self.newest.get_mut(&id) {
            life.gone = Some(self.removals);
        }
        self.gone.push_back((self.removals, id));
        self.forget_earliest();
    }

    fn forget_earliest(&mut self) {
        while self.gone.len() > MAX_REMOVED_INCARNATIONS {
            let Some((removal, id)) = self.gone.pop_front() else { return };
            if self.newest.get(&id).is_some_and(|life| life.gone == Some(removal)) {
                self.newest.remove(&id);
            }
        }
    }

    /// The start of the newest life of a server, if it tells that.
    pub fn born(&self, id: &str) -> Option<u64> {
        self.newest.get(id)?.born
    }

    /// How many servers are remembered, those that are gone included.
    pub fn len(&self) -> usize {
        self.newest.len()
    }

    /// True if nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.newest.is_empty()
    }
}

impl Life {
    /// What an entry is to this life.
    fn entry_life(&self, backend: &Backend) -> EntryStatus {
        match (self.born, backend.born) {
            // Servers that do not tell lives apart have a new id with each.
            (None, None) => EntryStatus::Same,
            (Some(_), None) => EntryStatus::Stale,
            (None, Some(_)) => EntryStatus::Restarted { before: None },
            (Some(known), Some(told)) => match told.cmp(&known) {
                Ordering::Greater => EntryStatus::Restarted { before: self.born },
                Ordering::Less => EntryStatus::Stale,
                Ordering::Equal if backend.orders_taken < self.orders_taken => EntryStatus::Stale,
                Ordering::Equal => EntryStatus::Same,
            },
        }
    }
}
