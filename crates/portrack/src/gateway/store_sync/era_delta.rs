//! Moves daemons that are still in the store's previous era into the current one without a complete
//! snapshot.

use super::mirror::{Entry, Mirror, MirrorChange, MirrorItem, MirrorUpdate};
use super::retained::RetainFn;
use crate::gateway::quarantine::record::HoldRecord;
use crate::store::{KvEntry, KvList, StorePosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Takes a daemon at a position of the previous era into the current era: everything it holds stays
/// valid, except for the items that are sent along and the keys that are removed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraDelta {
    /// The position that the daemon must be at.
    pub from: StorePosition,
    /// Keys that the daemon may hold and that are removed.
    pub gone: Vec<String>,
}

/// What is remembered of the previous era, for daemons that are still in it.
#[derive(Debug, Clone)]
pub(super) struct PreviousEra {
    position: StorePosition,
    /// All removals after this revision are listed in `gone`.
    removals_known_from: u64,
    /// The revision of the next era's first list.
    next_list_revision: u64,
    /// The revisions of the items whose value was the same in that list.
    unchanged: BTreeMap<String, u64>,
    /// Keys that the list lacked, with the revisions of their removal; `u64::MAX` for keys that
    /// still existed.
    gone: Vec<(String, u64)>,
}

/// Returns true for items that are written on condition of their revision and change seldom enough
/// to be sent each time. A claim whose revision is unknown is refused once, and learns the revision
/// from the refusal.
fn needs_revision(key: &str) -> bool {
    HoldRecord::request(key).is_some()
}

impl Mirror {
    /// Summarises this era, given the first list of the next one. Returns `None` if other daemons
    /// may not have the same state.
    pub(super) fn summarise(&self, list: &KvList) -> Option<PreviousEra> {
        if !self.era.is_known() || self.retained > 0 {
            return None;
        }
        let listed: BTreeMap<&str, &[u8]> =
            list.entries.iter().map(|entry| (entry.key.as_str(), entry.value.as_slice())).collect();
        let (mut unchanged, mut gone) = (BTreeMap::new(), Vec::new());
        for (key, entry) in &self.items {
            match (listed.get(key.as_str()), entry.value.as_deref()) {
                (None, Some(_)) => gone.push((key.clone(), u64::MAX)),
                (None, None) => gone.push((key.clone(), entry.revision)),
                (Some(value), known) if known == Some(*value) => {
                    unchanged.insert(key.clone(), entry.revision);
                }
                (Some(_), _) => {}
            }
        }
        Some(PreviousEra {
            position: self.position(),
            removals_known_from: self.removals_known_from.unwrap_or(0),
            next_list_revision: list.revision,
            unchanged,
            gone,
        })
    }

    /// The update for a daemon that is in the previous era, at a position that this daemon has been
    /// at.
    pub(super) fn era_delta_since(&self, known: StorePosition) -> Option<MirrorUpdate> {
        let previous = self.previous.as_ref()?;
        let is_covered = known.era == previous.position.era
            && (previous.removals_known_from..=previous.position.revision)
                .contains(&known.revision);
        // Removals in the current era are only included while all of them are remembered.
        let removals_are_complete = self.removals_known_from == Some(previous.next_list_revision);
        if !is_covered || !removals_are_complete {
            return None;
        }
        let peer_has = |key: &str, entry: &Entry| {
            let unchanged = previous.unchanged.get(key).is_some_and(|at| *at <= known.revision);
            unchanged && entry.revision <= previous.next_list_revision && !needs_revision(key)
        };
        let gone = previous.gone.iter().filter(|(_, at)| *at > known.revision);
        let mut gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        let mut items = Vec::new();
        for (key, entry) in self.items.iter().filter(|(key, entry)| !peer_has(key, entry)) {
            match entry.stored() {
                Some(value) => items.push(MirrorItem {
                    key: key.clone(),
                    revision: entry.revision,
                    value: Some(value.clone()),
                }),
                None => gone.push(key.clone()),
            }
        }
        let era_delta = Some(EraDelta { from: known, gone });
        Some(MirrorUpdate { position: self.position(), is_snapshot: false, items, era_delta })
    }

    /// Enters a newer era by applying a peer's delta. Returns `None` if the delta does not build on
    /// this copy.
    pub fn apply_era_delta(
        &mut self,
        position: StorePosition,
        delta: EraDelta,
        items: Vec<MirrorItem>,
        retain: RetainFn<'_>,
    ) -> Option<Vec<MirrorChange>> {
        if self.position() != delta.from || self.retained > 0 || position.era <= self.era {
            return None;
        }
        let sent: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let gone: BTreeSet<&str> = delta.gone.iter().map(String::as_str).collect();
        let is_unchanged = |key: &str| !sent.contains(key) && !gone.contains(key);
        let known = self.items.iter().filter(|(key, _)| is_unchanged(key));
        // The delta does not contain the revisions of these items. Revision 1 is older than any
        // later change.
        let known = known.filter_map(|(key, entry)| {
            Some(KvEntry { key: key.clone(), revision: 1, value: entry.value.clone()? })
        });
        let mut entries: Vec<KvEntry> = known.collect();
        entries.extend(items.into_iter().filter_map(|item| {
            Some(KvEntry { key: item.key, revision: item.revision, value: item.value? })
        }));
        let StorePosition { era, revision } = position;
        Some(self.begin_era(KvList { era, revision, entries }, retain))
    }
}
