//! Which two members are the keepers of a key, now and over the past window.

use crate::membership::ranked;
use crate::types::{HallName, NodeName, Time};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The halls of the region with the available nodes of each. An unreachable hall stays in the map
/// without nodes: no other hall decides on its keys.
pub type Halls = BTreeMap<HallName, Vec<NodeName>>;

/// The member lists of the past window.
#[derive(Debug, Clone, Default)]
pub struct PairHistory {
    lists: VecDeque<(Time, Halls)>,
    recorded_at: Time,
}

/// A node that recorded no list for longer than this may have been declared dead meanwhile. Shorter
/// than the silence after which a member is suspected.
const MAX_RECORD_GAP: Duration = Duration::from_secs(2);

/// Returns the first and the second keeper: the two highest-ranked nodes of the key's home hall.
fn keeper_pair(key: u128, halls: &Halls) -> (Option<&NodeName>, Option<&NodeName>) {
    let key = format!("{key:032x}");
    let Some(home) = ranked(&key, halls.keys()).first().copied() else { return (None, None) };
    let ranked = ranked(&key, &halls[home]);
    (ranked.first().copied(), ranked.get(1).copied())
}

impl PairHistory {
    /// Records the list that is valid from `now` on. Drops lists older than the window, and all lists
    /// if the last one was recorded more than `MAX_RECORD_GAP` ago.
    pub fn record(&mut self, now: Time, halls: Halls, window: Duration) {
        if now.since(self.recorded_at) > MAX_RECORD_GAP {
            self.lists.clear();
        }
        self.recorded_at = now;
        if self.lists.back().is_none_or(|(_, last)| *last != halls) {
            self.lists.push_back((now, halls));
        }
        while self.lists.get(1).is_some_and(|(began, _)| now.since(*began) >= window) {
            self.lists.pop_front();
        }
    }

    /// Returns the first and the second keeper by the latest list.
    pub fn keepers(&self, key: u128) -> (Option<NodeName>, Option<NodeName>) {
        let Some((_, halls)) = self.lists.back() else { return (None, None) };
        let (first, second) = keeper_pair(key, halls);
        (first.cloned(), second.cloned())
    }

    /// Whether `node` was one of the key's keepers for the whole window.
    pub fn was_keeper_throughout(
        &self,
        key: u128,
        node: &NodeName,
        now: Time,
        window: Duration,
    ) -> bool {
        let old_enough = self.lists.front().is_some_and(|(began, _)| now.since(*began) >= window);
        let kept = |halls: &Halls| {
            let (first, second) = keeper_pair(key, halls);
            first == Some(node) || second == Some(node)
        };
        old_enough && self.lists.iter().all(|(_, halls)| kept(halls))
    }
}
