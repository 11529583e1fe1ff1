//! What is believed against the copy that the store came back from, until it is written again or given up.

use super::mirror::{Held, Mirror, MirrorChange};
use crate::store::{KvEntry, StorePosition};
use serde::{Deserialize, Serialize};

/// An item that is believed against what the store holds, as peers hand it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetainedItem {
    /// The key.
    pub key: String,
    /// The revision of what the store holds, 0 for nothing.
    pub revision: u64,
    /// What the store holds.
    pub stored: Option<Vec<u8>>,
    /// What is believed.
    pub believed: Option<Vec<u8>>,
    /// Where that was learned, in a former era.
    pub learned: StorePosition,
}

/// Two values of a key that differ after the store came back from a copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RestoreConflict<'a> {
    /// The key.
    pub key: &'a str,
    /// What was known in the former era; `None` if it was known to be gone.
    pub known: Option<&'a [u8]>,
    /// What the store holds; `None` for nothing.
    pub stored: Option<&'a [u8]>,
}

/// Tells whether what was known is believed for a while against what the store holds.
pub type RetainFn<'a> = &'a dyn Fn(RestoreConflict<'_>) -> bool;

/// What the store holds, where something else is believed.
#[derive(Debug, Clone)]
pub(super) struct Against {
    pub(super) stored: Option<Vec<u8>>,
    /// Where the value that is believed was learned, in a former era.
    pub(super) learned: StorePosition,
}

impl Mirror {
    /// Decides what is believed of a key that was known in a former era.
    pub(super) fn settle(
        &mut self,
        key: String,
        known: Option<Vec<u8>>,
        learned: StorePosition,
        there: Option<KvEntry>,
        keeps: RetainFn<'_>,
    ) -> Option<MirrorChange> {
        let (revision, stored) = match there {
            Some(held) => (held.revision, Some(held.value)),
            None => (0, None),
        };
        if known == stored {
            if known.is_some() {
                self.items.insert(key, Held::new(revision, known));
            }
            return None;
        }
        let (was, is) = (known.as_deref(), stored.as_deref());
        if learned.era.is_known() && keeps(RestoreConflict { key: &key, known: was, stored: is }) {
            self.keep(
                key,
                Held { revision, value: known, against: Some(Against { stored, learned }) },
            );
            return None;
        }
        let Some(value) = stored else { return Some(MirrorChange::Removed(key)) };
        self.items.insert(key.clone(), Held::new(revision, Some(value.clone())));
        Some(MirrorChange::Put(KvEntry { key, revision, value }))
    }

    fn keep(&mut self, key: String, held: Held) {
        self.removed += usize::from(held.value.is_none());
        self.kept += 1;
        self.items.insert(key, held);
    }

    /// Believes the store from now on where something else was believed against its copy.
    pub fn believe_store(&mut self) -> Vec<MirrorChange> {
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, held)| held.against.is_some())
            .map(|(key, _)| key.clone())
            .collect();
        keys.into_iter().filter_map(|key| self.give_up(key)).collect()
    }

    fn give_up(&mut self, key: String) -> Option<MirrorChange> {
        let held = self.items.remove(&key)?;
        let stored = held.against.and_then(|against| against.stored);
        self.kept -= 1;
        self.removed -= usize::from(held.value.is_none());
        let Some(value) = stored else { return Some(MirrorChange::Removed(key)) };
        let revision = held.revision;
        self.items.insert(key.clone(), Held::new(revision, Some(value.clone())));
        Some(MirrorChange::Put(KvEntry { key, revision, value }))
    }

    /// Items that are believed against the store's copy, for a peer.
    pub fn kept_items(&self) -> Vec<RetainedItem> {
        // Asked for with each frame of a feed.
        if self.kept == 0 {
            return Vec::new();
        }
        let kept = self.items.iter().filter_map(|(key, held)| {
            let against = held.against.as_ref()?;
            Some(RetainedItem {
                key: key.clone(),
                revision: held.revision,
                stored: against.stored.clone(),
                believed: held.value.clone(),
                learned: against.learned,
            })
        });
        kept.collect()
    }

    /// Believes what a peer of the same era believes against the store's copy, where nothing was written since and
    /// nothing is known here.
    pub fn adopt(&mut self, kept: Vec<RetainedItem>) -> Vec<MirrorChange> {
        kept.into_iter().filter_map(|item| self.adopt_one(item)).collect()
    }

    fn adopt_one(&mut self, item: RetainedItem) -> Option<MirrorChange> {
        let before = self.items.get(&item.key);
        let (revision, value) =
            before.map_or((0, None), |held| (held.revision, held.value.clone()));
        let is_own = before.is_some_and(|held| held.against.is_some());
        if is_own || revision != item.revision || value != item.stored {
            return None;
        }
        let RetainedItem { key, revision, stored, believed, learned } = item;
        let against = Some(Against { stored, learned });
        self.keep(key.clone(), Held { revision, value: believed.clone(), against });
        match believed {
            Some(value) => Some(MirrorChange::Put(KvEntry { key, revision, value })),
            None => Some(MirrorChange::Removed(key)),
        }
    }
}
