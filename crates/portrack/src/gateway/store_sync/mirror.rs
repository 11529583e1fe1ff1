//! A copy of the followed part of the store, item by item; nothing in it goes back within an era of the store.

use super::era_delta::{EraDelta, FormerEra};
use super::retained::{Against, RetainFn};
use crate::store::{KvChange, KvEntry, KvList, StoreEra, StorePosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Removed keys remembered, so that an old copy from a peer does not bring them back.
const REMOVED_KEPT: usize = 4_096;

/// What a change did to the mirror.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MirrorChange {
    /// A key has a newer value.
    Put(KvEntry),
    /// A key is gone.
    Removed(String),
}

/// One item as peers hand it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MirrorItem {
    /// The key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The value; `None` for a key that was removed.
    pub value: Option<Vec<u8>>,
}

/// What a daemon has to learn to know as much as this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MirrorUpdate {
    /// The position up to which it then knows everything.
    pub position: StorePosition,
    /// `items` are all there are: what is not among them is gone.
    pub whole: bool,
    /// Keys with their values.
    pub items: Vec<MirrorItem>,
    /// How a daemon that is in the era before comes into this one.
    pub step: Option<EraDelta>,
}

/// What is known of a key.
#[derive(Debug, Clone)]
pub(super) struct Held {
    pub(super) revision: u64,
    /// The value that is believed; `None` for a key that was removed.
    pub(super) value: Option<Vec<u8>>,
    /// What the store holds instead, if the value is believed against it.
    pub(super) against: Option<Against>,
}

impl Held {
    pub(super) fn new(revision: u64, value: Option<Vec<u8>>) -> Self {
        Self { revision, value, against: None }
    }

    /// What the store holds.
    pub(super) fn stored(&self) -> Option<&Vec<u8>> {
        match &self.against {
            Some(against) => against.stored.as_ref(),
            None => self.value.as_ref(),
        }
    }
}

/// Keys with their newest known values.
#[derive(Debug, Clone, Default)]
pub struct Mirror {
    pub(super) era: StoreEra,
    pub(super) items: BTreeMap<String, Held>,
    /// How many items are those of keys that were removed.
    pub(super) removed: usize,
    pub(super) revision: u64,
    /// Removals after this revision are all remembered.
    pub(super) removals_from: Option<u64>,
    /// How many items are believed against the store's copy.
    pub(super) kept: usize,
    pub(super) former: Option<FormerEra>,
}

impl Mirror {
    /// The store's position up to which this copy is known to be whole.
    pub fn position(&self) -> StorePosition {
        StorePosition::new(self.era, self.revision)
    }

    /// The store's revision up to which this copy is known to be whole.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The era of all of it.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// How many items are believed against the store's copy.
    pub fn kept(&self) -> usize {
        self.kept
    }

    /// Takes a change of an era in, if it is newer than what is held.
    pub fn apply(&mut self, era: StoreEra, change: KvChange) -> Option<MirrorChange> {
        if era != self.era {
            return None;
        }
        let (key, revision, value) = match change {
            KvChange::Put(held) => (held.key, held.revision, Some(held.value)),
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
        if before.is_some_and(|held| held.revision >= revision) {
            return None;
        }
        let was_there = before.is_some_and(|held| held.value.is_some());
        if before.is_some() && !was_there {
            self.removed -= 1;
        }
        if before.is_some_and(|held| held.against.is_some()) {
            self.kept -= 1;
        }
        self.items.insert(key.clone(), Held::new(revision, value.clone()));
        let Some(value) = value else {
            self.removed += 1;
            self.forget_oldest_removed();
            return was_there.then_some(MirrorChange::Removed(key));
        };
        Some(MirrorChange::Put(KvEntry { key, revision, value }))
    }

    fn forget_oldest_removed(&mut self) {
        if self.removed <= REMOVED_KEPT {
            return;
        }
        let removed = self.items.iter().filter(|(_, held)| held.value.is_none());
        let oldest = removed.min_by_key(|(_, held)| held.revision).map(|(key, _)| key.clone());
        if let Some(key) = oldest {
            let forgotten = self.items.remove(&key);
            let revision = forgotten.as_ref().map_or(0, |held| held.revision);
            self.kept -= usize::from(forgotten.is_some_and(|held| held.against.is_some()));
            self.removals_from = self.removals_from.map(|from| from.max(revision));
            self.removed -= 1;
        }
    }

    /// Takes a whole reading of a prefix in: what it does not list is gone. One of a former era changes nothing;
    /// for one of a newer era `keeps` tells what is believed against it.
    pub fn apply_all(
        &mut self,
        prefix: &str,
        list: KvList,
        keeps: RetainFn<'_>,
    ) -> Vec<MirrorChange> {
        if list.era < self.era {
            return Vec::new();
        }
        if list.era > self.era {
            return self.begin_era(list, keeps);
        }
        let listed: BTreeSet<&str> = list.entries.iter().map(|held| held.key.as_str()).collect();
        let gone: Vec<String> = self
            .items
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, held)| {
                let missing = !listed.contains(key.as_str());
                let was_stored =
                    held.against.as_ref().is_none_or(|against| against.stored.is_some());
                held.value.is_some() && held.revision <= list.revision && missing && was_stored
            })
            .map(|(key, _)| key.clone())
            .collect();
        self.removals_from.get_or_insert(list.revision);
        let mut changed: Vec<MirrorChange> =
            gone.into_iter().filter_map(|key| self.replace(key, list.revision, None)).collect();
        let listed = list.entries.into_iter();
        changed.extend(listed.filter_map(|h| self.replace(h.key, h.revision, Some(h.value))));
        changed
    }

    /// Takes in the first reading of an era. All that was known has no place in it: an item is as old as the store
    /// says from now on, also one that is believed against it.
    pub(super) fn begin_era(&mut self, list: KvList, keeps: RetainFn<'_>) -> Vec<MirrorChange> {
        let former = std::mem::take(self);
        self.former = former.remembered(&list);
        self.era = list.era;
        self.revision = list.revision;
        self.removals_from = Some(list.revision);
        let mut changes = Vec::new();
        let mut stored: BTreeMap<String, KvEntry> =
            list.entries.into_iter().map(|held| (held.key.clone(), held)).collect();
        for (key, known) in former.items {
            let there = stored.remove(&key);
            let learned = match &known.against {
                Some(against) => against.learned,
                None => StorePosition::new(former.era, known.revision),
            };
            changes.extend(self.settle(key, known.value, learned, there, keeps));
        }
        for held in stored.into_values() {
            changes.extend(self.replace(held.key, held.revision, Some(held.value)));
        }
        changes
    }

    /// Notes that the copy is whole up to a position.
    pub fn whole_up_to(&mut self, position: StorePosition) {
        if position.era == self.era {
            self.revision = self.revision.max(position.revision);
        }
    }

    /// All keys with what is believed of them.
    pub fn all(&self) -> impl Iterator<Item = MirrorItem> + '_ {
        self.items.iter().map(|(key, held)| MirrorItem {
            key: key.clone(),
            revision: held.revision,
            value: held.value.clone(),
        })
    }

    /// What changed in the store after a revision, for a peer; what is believed against it is told apart.
    pub fn items_after(&self, revision: u64) -> Vec<MirrorItem> {
        let newer = self.items.iter().filter(|(_, held)| held.revision > revision);
        let item = |(key, held): (&String, &Held)| MirrorItem {
            key: key.clone(),
            revision: held.revision,
            value: held.stored().cloned(),
        };
        newer.map(item).collect()
    }

    /// What a daemon that knows everything up to a position has to learn. It gets everything if it knows another era,
    /// or may still believe in keys whose removal is not remembered here.
    pub fn news_after(&self, known: StorePosition) -> MirrorUpdate {
        let is_behind = self.removals_from.is_none_or(|from| known.revision < from);
        let whole = is_behind || known.era != self.era;
        if let Some(news) = self.news_of_step(known) {
            return news;
        }
        let mut items = self.items_after(if whole { 0 } else { known.revision });
        if whole {
            items.retain(|item| item.value.is_some());
        }
        MirrorUpdate { position: self.position(), whole, items, step: None }
    }

    /// Applies a peer's items that are all there are under a prefix at a position.
    pub fn apply_whole(
        &mut self,
        prefix: &str,
        position: StorePosition,
        items: Vec<MirrorItem>,
        keeps: RetainFn<'_>,
    ) -> Vec<MirrorChange> {
        let held = |item: MirrorItem| {
            Some(KvEntry { key: item.key, revision: item.revision, value: item.value? })
        };
        let entries = items.into_iter().filter_map(held).collect();
        let StorePosition { era, revision } = position;
        self.apply_all(prefix, KvList { era, revision, entries }, keeps)
    }

    /// Takes a peer's items of an era in.
    pub fn apply_items(&mut self, era: StoreEra, items: Vec<MirrorItem>) -> Vec<MirrorChange> {
        if era != self.era {
            return Vec::new();
        }
        let applied =
            items.into_iter().filter_map(|item| self.replace(item.key, item.revision, item.value));
        applied.collect()
    }
}
