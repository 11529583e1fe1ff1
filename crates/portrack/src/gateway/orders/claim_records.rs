//! Which machine orders which server, as the store tells it. Read from the watch that every daemon
//! follows anyway, so that nobody has to try a claim to learn that a server is taken.

use super::claim_record::{ClaimKey, ClaimRecord, RecordEras};
use crate::gateway::store_sync::mirror::{MirrorChange, MirrorItem};
use crate::store::KvEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A record as it was last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRecord {
    /// The revision of its last change.
    pub revision: u64,
    /// What it says.
    pub record: ClaimRecord,
}

/// The claims of all machines.
#[derive(Debug, Clone, Default)]
pub struct ClaimRecords {
    records: BTreeMap<Rc<str>, SeenRecord>,
    live: BTreeSet<String>,
}

impl ClaimRecords {
    /// Everything that concerns claims among some items.
    pub fn from_items(items: impl Iterator<Item = MirrorItem>) -> Self {
        let mut records = Self::default();
        for MirrorItem { key, revision, value } in items {
            if let Some(value) = value {
                records.apply(&MirrorChange::Put(KvEntry { key, revision, value }));
            }
        }
        records
    }

    /// The latest era in which a record was written, and the earliest that records tell of; none if none tells one.
    pub fn eras(&self) -> RecordEras {
        let eras = self.records.values().map(|seen| seen.record.eras);
        let told: Vec<RecordEras> = eras.filter(|eras| eras.written.is_known()).collect();
        RecordEras {
            written: told.iter().map(|eras| eras.written).max().unwrap_or_default(),
            first: told.iter().map(|eras| eras.first).min().unwrap_or_default(),
        }
    }

    /// Applies a change of the store if it concerns claims; false if it does not.
    pub fn apply(&mut self, change: &MirrorChange) -> bool {
        let key = match change {
            MirrorChange::Put(held) => &held.key,
            MirrorChange::Removed(key) => key,
        };
        match (ClaimKey::parse(key), change) {
            (None, _) => return false,
            (Some(ClaimKey::Live(machine)), MirrorChange::Put(_)) => {
                self.live.insert(machine.to_owned());
            }
            (Some(ClaimKey::Live(machine)), MirrorChange::Removed(_)) => {
                self.live.remove(machine);
            }
            (Some(ClaimKey::Server(server)), MirrorChange::Put(held)) => {
                let record = ClaimRecord::read(&held.value);
                let revision = held.revision;
                self.observe(server, record.map(|record| SeenRecord { revision, record }));
            }
            (Some(ClaimKey::Server(server)), MirrorChange::Removed(_)) => {
                self.observe(server, None)
            }
        }
        true
    }

    /// Records what a call found; a record older than the one known changes nothing.
    pub fn observe(&mut self, server: &str, seen: Option<SeenRecord>) {
        let Some(seen) = seen else {
            self.records.remove(server);
            return;
        };
        let known = self.records.get(server).map_or(0, |known| known.revision);
        if seen.revision >= known {
            self.records.insert(server.into(), seen);
        }
    }

    /// A server's record.
    pub fn record(&self, server: &str) -> Option<&SeenRecord> {
        self.records.get(server)
    }

    /// The machine whose claim on a server stands: it has not resigned and its lease lives.
    pub fn holder(&self, server: &str) -> Option<&str> {
        let record = &self.records.get(server)?.record;
        let stands = !record.resigned && self.live.contains(&record.machine);
        stands.then_some(record.machine.as_str())
    }
}
