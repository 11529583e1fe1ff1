//! How daemons that are still in the store's former era come into the next one without everything being sent.

use super::mirror::{Held, Mirror, MirrorChange, MirrorItem, MirrorUpdate};
use super::retained::RetainFn;
use crate::gateway::quarantine::record::HoldRecord;
use crate::store::{KvEntry, KvList, StorePosition};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How a daemon at a position of the era before comes into this one without everything being sent: all that it
/// knows holds, but for the items that are told and the keys that are gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EraDelta {
    /// The position at which that daemon is.
    pub from: StorePosition,
    /// Keys that it may know and that are gone.
    pub gone: Vec<String>,
}

/// What is remembered of the era before, for daemons that are still in it.
#[derive(Debug, Clone)]
pub(super) struct FormerEra {
    position: StorePosition,
    /// Removals after this revision are all among `gone`.
    removals_from: u64,
    /// The revision of the first reading of the era that followed.
    followed_at: u64,
    /// The revisions that items had whose value was the same in that reading.
    unchanged: BTreeMap<String, u64>,
    /// Keys that it did not list, with the revisions of their removal; the latest for those that were there.
    gone: Vec<(String, u64)>,
}

/// True for items that are changed on condition of their revision and seldom enough to tell it each time. A claim
/// whose revision is not known is refused once, and learns it from that.
fn needs_revision(key: &str) -> bool {
    HoldRecord::request(key).is_some()
}

impl Mirror {
    /// What a new era's first reading leaves of this one; `None` if that may not be what others know.
    pub(super) fn remembered(&self, list: &KvList) -> Option<FormerEra> {
        if !self.era.is_known() || self.kept > 0 {
            return None;
        }
        let listed: BTreeMap<&str, &[u8]> =
            list.entries.iter().map(|held| (held.key.as_str(), held.value.as_slice())).collect();
        let (mut unchanged, mut gone) = (BTreeMap::new(), Vec::new());
        for (key, held) in &self.items {
            match (listed.get(key.as_str()), held.value.as_deref()) {
                (None, Some(_)) => gone.push((key.clone(), u64::MAX)),
                (None, None) => gone.push((key.clone(), held.revision)),
                (Some(value), known) if known == Some(*value) => {
                    unchanged.insert(key.clone(), held.revision);
                }
                (Some(_), _) => {}
            }
        }
        Some(FormerEra {
            position: self.position(),
            removals_from: self.removals_from.unwrap_or(0),
            followed_at: list.revision,
            unchanged,
            gone,
        })
    }

    /// What a daemon has to learn that is in the era before, at a position that this one has been at.
    pub(super) fn news_of_step(&self, known: StorePosition) -> Option<MirrorUpdate> {
        let former = self.former.as_ref()?;
        let is_covered = known.era == former.position.era
            && (former.removals_from..=former.position.revision).contains(&known.revision);
        // Removals of the new era are told only as long as all are remembered.
        let are_remembered = self.removals_from == Some(former.followed_at);
        if !is_covered || !are_remembered {
            return None;
        }
        let is_known = |key: &str, held: &Held| {
            let unchanged = former.unchanged.get(key).is_some_and(|at| *at <= known.revision);
            unchanged && held.revision <= former.followed_at && !needs_revision(key)
        };
        let gone = former.gone.iter().filter(|(_, at)| *at > known.revision);
        let mut gone: Vec<String> = gone.map(|(key, _)| key.clone()).collect();
        let mut items = Vec::new();
        for (key, held) in self.items.iter().filter(|(key, held)| !is_known(key, held)) {
            match held.stored() {
                Some(value) => items.push(MirrorItem {
                    key: key.clone(),
                    revision: held.revision,
                    value: Some(value.clone()),
                }),
                None => gone.push(key.clone()),
            }
        }
        let step = Some(EraDelta { from: known, gone });
        Some(MirrorUpdate { position: self.position(), whole: false, items, step })
    }

    /// Comes into a newer era by what a peer told of it; `None` if that was not meant for what is known here.
    pub fn take_step(
        &mut self,
        position: StorePosition,
        step: EraDelta,
        items: Vec<MirrorItem>,
        keeps: RetainFn<'_>,
    ) -> Option<Vec<MirrorChange>> {
        if self.position() != step.from || self.kept > 0 || position.era <= self.era {
            return None;
        }
        let told: BTreeSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let gone: BTreeSet<&str> = step.gone.iter().map(String::as_str).collect();
        let holds = |key: &str| !told.contains(key) && !gone.contains(key);
        let known = self.items.iter().filter(|(key, _)| holds(key));
        // Where these were last changed is not told: before anything that comes now.
        let known = known.filter_map(|(key, held)| {
            Some(KvEntry { key: key.clone(), revision: 1, value: held.value.clone()? })
        });
        let mut entries: Vec<KvEntry> = known.collect();
        entries.extend(items.into_iter().filter_map(|item| {
            Some(KvEntry { key: item.key, revision: item.revision, value: item.value? })
        }));
        let StorePosition { era, revision } = position;
        Some(self.begin_era(KvList { era, revision, entries }, keeps))
    }
}
