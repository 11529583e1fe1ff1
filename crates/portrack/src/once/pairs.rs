//! Which two members kept a key, now and within the memory window.

use crate::membership::ranked;
use crate::types::{HallName, NodeName, Time};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// The halls of the region with the nodes of each that can be given work. A hall that cannot be
/// reached stays in the list, without nodes: its keys are not settled by anybody else.
pub type Halls = BTreeMap<HallName, Vec<NodeName>>;

/// The member lists of the last while.
#[derive(Debug, Clone, Default)]
pub struct PairHistory {
    lists: VecDeque<(Time, Halls)>,
    noted_at: Time,
}

/// A node that did not look for longer than this may have been taken for dead meanwhile. Shorter
/// than the silence after which a member is suspected.
const MAX_GAP: Duration = Duration::from_secs(2);

/// First and second keeper: the two highest nodes of the key's home hall.
fn pair(key: u128, halls: &Halls) -> (Option<&NodeName>, Option<&NodeName>) {
    let key = format!("{key:032x}");
    let Some(home) = ranked(&key, halls.keys()).first().copied() else { return (None, None) };
    let ranked = ranked(&key, &halls[home]);
    (ranked.first().copied(), ranked.get(1).copied())
}

impl PairHistory {
    /// Takes in the list that holds from `now` on; forgets what is past the window, and everything
    /// after a pause.
    pub fn note(&mut self, now: Time, halls: Halls, window: Duration) {
        if now.since(self.noted_at) > MAX_GAP {
            self.lists.clear();
        }
        self.noted_at = now;
        if self.lists.back().is_none_or(|(_, last)| *last != halls) {
            self.lists.push_back((now, halls));
        }
        while self.lists.get(1).is_some_and(|(began, _)| now.since(*began) >= window) {
            self.lists.pop_front();
        }
    }

    /// First and second keeper by the latest list.
    pub fn keepers(&self, key: u128) -> (Option<NodeName>, Option<NodeName>) {
        let Some((_, halls)) = self.lists.back() else { return (None, None) };
        let (first, second) = pair(key, halls);
        (first.cloned(), second.cloned())
    }

    /// True if `node` was one of the key's keepers for the whole window.
    pub fn kept_throughout(&self, key: u128, node: &NodeName, now: Time, window: Duration) -> bool {
        let old_enough = self.lists.front().is_some_and(|(began, _)| now.since(*began) >= window);
        let kept = |halls: &Halls| {
            let (first, second) = pair(key, halls);
            first == Some(node) || second == Some(node)
        };
        old_enough && self.lists.iter().all(|(_, halls)| kept(halls))
    }
}
