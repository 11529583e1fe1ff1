//! A copy of the followed part of the store, item by item. Within one era of the store no item ever
//! goes back to an older revision.

use super::era_delta::{EraDelta, PreviousEra};
use super::retained::{Overridden, RetainFn};
use crate::store::{KvChange, KvEntry, KvList, StoreEra, StorePosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of removed keys that are remembered, so that an old copy from a peer does not restore
/// them.
const MAX_REMOVED_KEYS: usize = 4_096;

/// The effect of an update on the mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// A key has a newer value.
    Put(KvEntry),
    /// A key was removed.
    Removed(String),
}

/// One item, as it is sent to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorItem {
    /// The key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The value; `None` for a removed key.
    pub value: Option<Vec<u8>>,
}

/// Everything that a peer lacks to reach this daemon's position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MirrorUpdate {
    /// The position up to which the peer's copy is complete afterwards.
    pub position: StorePosition,
    /// `items` is a complete snapshot: keys that it lacks have been removed.
    pub is_snapshot: bool,
    /// Keys with their values.
    pub items: Vec<MirrorItem>,
    /// How a peer in the previous era gets into this era.
    pub era_delta: Option<EraDelta>,
}

/// The state of a key.
#[derive(Debug, Clone)]
pub(super) struct Entry {
    pub(super) revision: u64,
    /// The value in use; `None` for a removed key.
    pub(super) value: Option<Vec<u8>>,
    /// What the store holds instead, if the value is retained from an earlier era.
    pub(super) overridden: Option<Overridden>,
}

impl Entry {
    pub(super) fn new(revision: u64, value: Option<Vec<u8>>) -> Self {
        Self { revision, value, overridden: None }
    }

    /// The value in the store.
    pub(super) fn stored(&self) -> Option<&Vec<u8>> {
        match &self.overridden {
            Some(overridden) => overridden.stored.as_ref(),
            None => self.value.as_ref(),
        }
    }
}

/// Keys with their newest known values.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    pub(super) era: StoreEra,
    pub(super) items: BTreeMap<String, Entry>,
    /// Number of items that stand for removed keys.
    pub(super) removed: usize,
    pub(super) revision: u64,
    /// All removals after this revision are remembered.
    pub(super) removals_known_from: Option<u64>,
    /// Number of items that are retained although the store's copy differs.
    pub(super) retained: usize,
    pub(super) previous: Option<PreviousEra>,
}

impl Mirror {
    /// The store's position up to which this copy is complete.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }

    /// The store's revision up to which this copy is complete.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The era of all items.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Number of items that are retained although the store's copy differs.
    pub fn kept(&self) -> usize {
        self.retained
    }

    /// What the store holds at a key, if that is known in an era.
    pub fn item(&self, era: StoreEra, key: &str) -> Option<MirrorItem> {
        let entry = self.items.get(key).filter(|_| era == self.era)?;
        let (key, value) = (key.to_owned(), entry.stored().cloned());
        Some(MirrorItem { key, revision: entry.revision, value })
    }

    /// Applies a change of an era if it is newer than the item here.
    pub fn apply(&mut self, era: StoreEra, change: KvChange) -> Option<MirrorChange> {
        if era != self.era {
            return None;
        }
        let (key, revision, value) = match change {
            KvChange::Put(entry) => (entry.key, entry.revision, Some(entry.value)),
            KvChange::Deleted { key, revision } => (key, revision, None),
        };
        self.replace(key, revision, value)
    }

    fn replace(
        &mut self,
        key: String,
        revision: u64,
        value: Option<Vec<u8>>,
    ) -> Option<MirrorChange> {
        let before = self.items.get(&key);
        if before.is_some_and(|entry| entry.revision >= revision) {
            return None;
        }
        let existed = before.is_some_and(|entry| entry.value.is_some());
        if before.is_some() && !existed {
            self.removed -= 1;
        }
        if before.is_some_and(|entry| entry.overridden.is_some()) {
            self.retained -= 1;
        }
        self.items.insert(key.clone(), Entry::new(revision, value.clone()));
        let Some(value) = value else {
            self.removed += 1;
            self.forget_oldest_removal();
            return existed.then_some(MirrorChange::Removed(key));
        };
        Some(MirrorChange::Put(KvEntry { key, revision, value }))
    }

    fn forget_oldest_removal(&mut self) {
        if self.removed <= MAX_REMOVED_KEYS {
            return;
        }
        let removed = self.items.iter().filter(|(_, entry)| entry.value.is_none());
        let oldest = removed.min_by_key(|(_, entry)| entry.revision).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            let forgotten = self.items.remove(&key);
            let revision = forgotten.as_ref().map_or(0, |entry| entry.revision);
            self.retained -= usize::from(forgotten.is_some_and(|entry| entry.overridden.is_some()));
            self.removals_known_from = self.removals_known_from.map(|from| from.max(revision));
            self.removed -= 1;
        }
    }

    /// Applies a complete list of a prefix: keys that it lacks are removed. A list of an earlier
    /// era changes nothing; for a list of a newer era `retain` decides which differing values are
    /// retained.
    pub fn apply_list(
        &mut self,
        prefix: &str,
        list: KvList,
        retain: RetainFn<'_>,
    ) -> Vec<MirrorChange> {
        if list.era < self.era {
            return Vec::new();
        }
        if list.era > self.era {
            return self.begin_era(list, retain);
        }
        let listed: BTreeSet<&str> = list.entries.iter().map(|entry| entry.key.as_str()).collect();
        let missing_keys: Vec<String> = self
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, entry)| {
                let is_missing = !listed.contains(key.as_str());
                let was_stored =
                    entry.overridden.as_ref().is_none_or(|overridden| overridden.stored.is_some());
                entry.value.is_some() && entry.revision <= list.revision && is_missing && was_stored
            })
            .map(|(key, _)| key.clone())
            .collect();
        self.removals_known_from.get_or_insert(list.revision);
        let mut changed: Vec<MirrorChange> = missing_keys
            .into_iter()
            .filter_map(|key| self.replace(key, list.revision, None))
            .collect();
        let listed = list.entries.into_iter();
        changed.extend(
            listed.filter_map(|entry| self.replace(entry.key, entry.revision, Some(entry.value))),
        );
        changed
    }

    /// Replaces everything with the first list of a new era. Revisions of the earlier era mean
    /// nothing in it, so each item gets the store's current revision, also a retained one.
    pub(super) fn begin_era(&mut self, list: KvList, retain: RetainFn<'_>) -> Vec<MirrorChange> {
        let previous = std::mem::take(self);
        self.previous = previous.summarise(&list);
        self.era = list.era;
        self.revision = list.revision;
        self.removals_known_from = Some(list.revision);
        let mut changes = Vec::new();
        let mut stored: BTreeMap<String, KvEntry> =
            list.entries.into_iter().map(|entry| (entry.key.clone(), entry)).collect();
        for (key, known) in previous.items {
            let found = stored.remove(&key);
            let learned = match &known.overridden {
                Some(overridden) => overridden.learned,
                None => StorePosition::new(previous.era, known.revision),
            };
            changes.extend(self.resolve_conflict(key, known.value, learned, found, retain));
        }
        for entry in stored.into_values() {
            changes.extend(self.replace(entry.key, entry.revision, Some(entry.value)));
        }
        changes
    }

    /// Records that the copy is complete up to a position.
    pub fn mark_complete(&mut self, position: StorePosition) {
        if position.era == self.era {
            self.revision = self.revision.max(position.revision);
        }
    }

    /// All keys with the values in use.
    pub fn all(&self) -> impl Iterator<Item = MirrorItem> + '_ {
        self.items.iter().map(|(key, entry)| MirrorItem {
            key: key.clone(),
            revision: entry.revision,
            value: entry.value.clone(),
        })
    }

    /// What changed in the store after a revision, for a peer. Retained values are not among it;
    /// they are sent separately.
    pub fn items_after(&self, revision: u64) -> Vec<MirrorItem> {
        let newer = self.items.iter().filter(|(_, entry)| entry.revision > revision);
        let item = |(key, entry): (&String, &Entry)| MirrorItem {
            key: key.clone(),
            revision: entry.revision,
            value: entry.stored().cloned(),
        };
        newer.map(item).collect()
    }

    /// The update for a peer whose copy is complete up to a position. The peer gets a snapshot if
    /// it is in another era, or may still have keys whose removal is no longer remembered here.
    pub fn update_since(&self, known: StorePosition) -> MirrorUpdate {
        let is_behind = self.removals_known_from.is_none_or(|from| known.revision < from);
        let is_snapshot = is_behind || known.era != self.era;
        if let Some(update) = self.era_delta_since(known) {
            return update;
        }
        let mut items = self.items_after(if is_snapshot { 0 } else { known.revision });
        if is_snapshot {
            items.retain(|item| item.value.is_some());
        }
        MirrorUpdate { position: self.position(), is_snapshot, items, era_delta: None }
    }

    /// Applies a peer's complete snapshot of a prefix at a position.
    pub fn apply_snapshot(
        &mut self,
        prefix: &str,
        position: StorePosition,
        items: Vec<MirrorItem>,
        retain: RetainFn<'_>,
    ) -> Vec<MirrorChange> {
        let to_entry = |item: MirrorItem| {
            Some(KvEntry { key: item.key, revision: item.revision, value: item.value? })
        };
        let entries = items.into_iter().filter_map(to_entry).collect();
        let StorePosition { era, revision } = position;
        self.apply_list(prefix, KvList { era, revision, entries }, retain)
    }

    /// Applies a peer's items of an era.
    pub fn apply_items(&mut self, era: StoreEra, items: Vec<MirrorItem>) -> Vec<MirrorChange> {
        if era != self.era {
            return Vec::new();
        }
        let applied =
            items.into_iter().filter_map(|item| self.replace(item.key, item.revision, item.value));
        applied.collect()
    }
}
