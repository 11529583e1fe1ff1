//! The claim records of all servers, read from the store watch that every daemon follows anyway, so
//! that no daemon has to attempt a claim to learn that a server is taken.

use super::claim_record::{ClaimKey, ClaimRecord, RecordEras};
use crate::gateway::store_sync::mirror::{MirrorChange, MirrorItem};
use crate::store::KvEntry;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// A record as last seen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SeenRecord {
    /// The revision of its last change.
    pub revision: u64,
    /// The record.
    pub record: ClaimRecord,
}

/// The claims of all machines.
#[derive(Debug, Clone, Default)]
pub struct ClaimRecords {
    records: BTreeMap<Rc<str>, SeenRecord>,
    live_machines: BTreeSet<String>,
}

impl ClaimRecords {
    /// Builds the table from those items that belong to claims.
    pub fn from_items(items: impl Iterator<Item = MirrorItem>) -> Self {
        let mut records = Self::default();
        for MirrorItem { key, revision, value } in items {
            if let Some(value) = value {
                records.apply(&MirrorChange::Put(KvEntry { key, revision, value }));
            }
        }
        records
    }

    /// Returns the latest era in which a record was written and the earliest era that records name;
    /// both unknown if no record names one.
    pub fn eras(&self) -> RecordEras {
        let eras = self.records.values().map(|seen| seen.record.eras);
        let known_eras: Vec<RecordEras> = eras.filter(|eras| eras.written.is_known()).collect();
        RecordEras {
            written: known_eras.iter().map(|eras| eras.written).max().unwrap_or_default(),
            first: known_eras.iter().map(|eras| eras.first).min().unwrap_or_default(),
        }
    }

    /// Applies a store change; returns false if it does not belong to claims.
    pub fn apply(&mut self, change: &MirrorChange) -> bool {
        let key = match change {
            MirrorChange::Put(held) => &held.key,
            MirrorChange::Removed(key) => key,
        };
        match (ClaimKey::parse(key), change) {
            (None, _) => return false,
            (Some(ClaimKey::Live(machine)), MirrorChange::Put(_)) => {
                self.live_machines.insert(machine.to_owned());
            }
            (Some(ClaimKey::Live(machine)), MirrorChange::Removed(_)) => {
                self.live_machines.remove(machine);
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

    /// Stores the record that a call returned. One older than the known record is ignored.
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

    /// Returns a server's record.
    pub fn record(&self, server: &str) -> Option<&SeenRecord> {
        self.records.get(server)
    }

    /// Returns the machine that holds a server: it has not resigned and its lease is alive.
    pub fn holder(&self, server: &str) -> Option<&str> {
        let record = &self.records.get(server)?.record;
        let is_held = !record.resigned && self.live_machines.contains(&record.machine);
        is_held.then_some(record.machine.as_str())
    }
}
