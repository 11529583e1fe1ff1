//! The settings in force in a daemon.

use super::entry::{EntryBody, decode};
use super::{AdapterSpec, Overrides, PlainService, TreePath};
use crate::types::{AdapterName, ServiceName};
use crate::wire::{FetchEntry, SettingsMark};
use std::collections::BTreeMap;
use xxhash_rust::xxh3::xxh3_64;

/// Result of applying an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Applied {
    /// The entry is in force.
    Newer,
    /// The entry is not newer than the one in force.
    Older,
    /// The entry is invalid; the one in force stays.
    Refused(String),
}

#[derive(Debug, Clone)]
struct StoredEntry {
    revision: u64,
    value: Vec<u8>,
    body: EntryBody,
}

/// All entries, each at the highest valid revision seen.
#[derive(Debug, Clone, Default)]
pub struct Book {
    entries: BTreeMap<String, StoredEntry>,
    tree: BTreeMap<TreePath, Overrides>,
    services: BTreeMap<ServiceName, PlainService>,
    adapters: BTreeMap<AdapterName, AdapterSpec>,
    mark: SettingsMark,
    refused: BTreeMap<String, u64>,
}

impl Book {
    /// Applies an entry if its revision is higher than the one in force.
    pub fn apply(&mut self, entry: FetchEntry) -> Applied {
        let held = self.entries.get(&entry.key);
        if held.is_some_and(|held| held.revision >= entry.revision) {
            return Applied::Older;
        }
        let body = match decode_and_validate(&entry.value) {
            Ok(body) => body,
            Err(why) => {
                self.refused.insert(entry.key, entry.revision);
                return Applied::Refused(why);
            }
        };
        let FetchEntry { key, revision, value } = entry;
        let old = self.entries.get(&key).map(|held| held.body.clone());
        if let Some(old) = old {
            self.remove(&old);
        }
        self.insert(&body);
        self.refused.remove(&key);
        self.update_digest(&key, revision);
        self.entries.insert(key, StoredEntry { revision, value, body });
        Applied::Newer
    }

    fn remove(&mut self, body: &EntryBody) {
        match body {
            EntryBody::Node { path, .. } => {
                self.tree.remove(path);
            }
            EntryBody::Services(_) => self.services.clear(),
            EntryBody::Adapters(all) => {
                for name in all.keys() {
                    self.adapters.remove(name);
                }
            }
        }
    }

    fn insert(&mut self, body: &EntryBody) {
        match body {
            EntryBody::Node { path, set } => {
                self.tree.insert(path.clone(), set.as_ref().clone());
            }
            EntryBody::Services(all) => self.services.clone_from(all),
            EntryBody::Adapters(all) => {
                let all = all.iter().map(|(name, spec)| (name.clone(), spec.clone()));
                self.adapters.extend(all);
            }
        }
    }

    /// Updates the digest, an exclusive or over the hashes of all entries, which makes the update
    /// incremental.
    fn update_digest(&mut self, key: &str, revision: u64) {
        if let Some(held) = self.entries.get(key) {
            self.mark.digest ^= entry_hash(key, held.revision);
        }
        self.mark.digest ^= entry_hash(key, revision);
        self.mark.revision = self.mark.revision.max(revision);
    }

    /// Digest and highest revision of the settings in force.
    pub fn mark(&self) -> SettingsMark {
        self.mark
    }

    /// True if no entry is in force.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Keys and revisions of the entries that were refused.
    pub fn refused(&self) -> &BTreeMap<String, u64> {
        &self.refused
    }

    /// Key hashes and revisions of all entries, for a fetch from another daemon.
    pub fn have(&self) -> Vec<(u64, u64)> {
        let all = self.entries.iter();
        all.map(|(key, held)| (xxh3_64(key.as_bytes()), held.revision)).collect()
    }

    /// The entries that are newer than those of another daemon.
    pub fn newer_than(&self, have: &[(u64, u64)]) -> Vec<FetchEntry> {
        let have: BTreeMap<u64, u64> = have.iter().copied().collect();
        let newer = |key: &str, held: &StoredEntry| {
            have.get(&xxh3_64(key.as_bytes())).is_none_or(|theirs| *theirs < held.revision)
        };
        let entries = self.entries.iter().filter(|(key, held)| newer(key, held));
        let entries = entries.map(|(key, held)| FetchEntry {
            key: key.clone(),
            revision: held.revision,
            value: held.value.clone(),
        });
        entries.collect()
    }

    /// The tree's nodes.
    pub fn tree(&self) -> &BTreeMap<TreePath, Overrides> {
        &self.tree
    }

    /// The plain services.
    pub fn services(&self) -> &BTreeMap<ServiceName, PlainService> {
        &self.services
    }

    /// The adapters.
    pub fn adapters(&self) -> &BTreeMap<AdapterName, AdapterSpec> {
        &self.adapters
    }
}

fn entry_hash(key: &str, revision: u64) -> u64 {
    xxh3_64(format!("{key}\0{revision}").as_bytes())
}

/// Decodes and validates an entry. Entries are validated before they are written as well, but
/// possibly by another build.
fn decode_and_validate(value: &[u8]) -> Result<EntryBody, String> {
    let body = decode(value)?.body;
    let problem = match &body {
        EntryBody::Node { .. } => None,
        EntryBody::Services(all) => all.values().find_map(PlainService::problem),
        EntryBody::Adapters(all) => all.values().find_map(AdapterSpec::problem),
    };
    match problem {
        Some(why) => Err(why),
        None => Ok(body),
    }
}
