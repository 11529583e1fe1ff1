//! Items that are retained although the copy from which the store was restored differs, until they
//! are written again or dropped.

use super::mirror::{Entry, Mirror, MirrorChange};
use crate::store::{KvEntry, StorePosition};
use serde::{Deserialize, Serialize};

/// A retained item, as it is sent to peers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedItem {
    /// The key.
    pub key: String,
    /// The revision of the value in the store, 0 if there is none.
    pub revision: u64,
    /// The value in the store.
    pub stored: Option<Vec<u8>>,
    /// The retained value.
    pub believed: Option<Vec<u8>>,
    /// The position at which the retained value was learned, in an earlier era.
    pub learned: StorePosition,
}

/// A key whose value differs after the store was restored from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestoreConflict<'a> {
    /// The key.
    pub key: &'a str,
    /// The value in the earlier era; `None` if the key was known to be removed.
    pub known: Option<&'a [u8]>,
    /// The value in the store; `None` if there is none.
    pub stored: Option<&'a [u8]>,
}

/// Decides whether the known value is retained for a while although the store's value differs.
pub type RetainFn<'a> = &'a dyn Fn(RestoreConflict<'_>) -> bool;

/// The store's value that a retained value overrides.
#[derive(Debug, Clone)]
pub(super) struct Overridden {
    pub(super) stored: Option<Vec<u8>>,
    /// The position at which the retained value was learned, in an earlier era.
    pub(super) learned: StorePosition,
}

impl Mirror {
    /// Decides between the value of a key in an earlier era and its value in the restored store.
    pub(super) fn resolve_conflict(
        &mut self,
        key: String,
        known: Option<Vec<u8>>,
        learned: StorePosition,
        found: Option<KvEntry>,
        retain: RetainFn<'_>,
    ) -> Option<MirrorChange> {
        let (revision, stored) = match found {
            Some(entry) => (entry.revision, Some(entry.value)),
            None => (0, None),
        };
        if known == stored {
            if known.is_some() {
                self.items.insert(key, Entry::new(revision, known));
            }
            return None;
        }
        let (known_value, stored_value) = (known.as_deref(), stored.as_deref());
        if learned.era.is_known()
            && retain(RestoreConflict { key: &key, known: known_value, stored: stored_value })
        {
            self.retain(
                key,
                Entry { revision, value: known, overridden: Some(Overridden { stored, learned }) },
            );
            return None;
        }
        let Some(value) = stored else { return Some(MirrorChange::Removed(key)) };
        self.items.insert(key.clone(), Entry::new(revision, Some(value.clone())));
        Some(MirrorChange::Put(KvEntry { key, revision, value }))
    }

    fn retain(&mut self, key: String, entry: Entry) {
        self.removed += usize::from(entry.value.is_none());
        self.retained += 1;
        self.items.insert(key, entry);
    }

    /// Drops all retained values and uses the store's values instead.
    pub fn drop_retained(&mut self) -> Vec<MirrorChange> {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, entry)| entry.overridden.is_some())
            .map(|(key, _)| key.clone())
            .collect();
        keys.into_iter().filter_map(|key| self.drop_retained_item(key)).collect()
    }

    fn drop_retained_item(&mut self, key: String) -> Option<MirrorChange> {
        let entry = self.items.remove(&key)?;
        let stored = entry.overridden.and_then(|overridden| overridden.stored);
        self.retained -= 1;
        self.removed -= usize::from(entry.value.is_none());
        let Some(value) = stored else { return Some(MirrorChange::Removed(key)) };
        let revision = entry.revision;
        self.items.insert(key.clone(), Entry::new(revision, Some(value.clone())));
        Some(MirrorChange::Put(KvEntry { key, revision, value }))
    }

    /// The retained items, for a peer.
    pub fn retained_items(&self) -> Vec<RetainedItem> {
        // Called for each frame of a feed, so the usual case returns early.
        if self.retained == 0 {
            return Vec::new();
        }
        let retained = self.items.iter().filter_map(|(key, entry)| {
            let overridden = entry.overridden.as_ref()?;
            Some(RetainedItem {
                key: key.clone(),
                revision: entry.revision,
                stored: overridden.stored.clone(),
                believed: entry.value.clone(),
                learned: overridden.learned,
            })
        });
        retained.collect()
    }

    /// Adopts the retained items of a peer in the same era, where the key has not been written
    /// since and nothing is retained here.
    pub fn adopt_retained(&mut self, items: Vec<RetainedItem>) -> Vec<MirrorChange> {
        items.into_iter().filter_map(|item| self.adopt_retained_item(item)).collect()
    }

    fn adopt_retained_item(&mut self, item: RetainedItem) -> Option<MirrorChange> {
        let before = self.items.get(&item.key);
        let (revision, value) =
            before.map_or((0, None), |entry| (entry.revision, entry.value.clone()));
        let is_own = before.is_some_and(|entry| entry.overridden.is_some());
        if is_own || revision != item.revision || value != item.stored {
            return None;
        }
        let RetainedItem { key, revision, stored, believed, learned } = item;
        let overridden = Some(Overridden { stored, learned });
        self.retain(key.clone(), Entry { revision, value: believed.clone(), overridden });
        match believed {
            Some(value) => Some(MirrorChange::Put(KvEntry { key, revision, value })),
            None => Some(MirrorChange::Removed(key)),
        }
    }
}
