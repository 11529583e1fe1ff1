//! Which two members kept a key, now and within the memory window.

use crate::membership::ranked;
use crate::types::{NodeName, Time};
use std::collections::VecDeque;
use std::time::Duration;

/// The member lists of the last while.
#[derive(Debug, Clone, Default)]
pub struct PairHistory {
    lists: VecDeque<(Time, Vec<NodeName>)>,
}

fn pair(key: u128, list: &[NodeName]) -> (Option<&NodeName>, Option<&NodeName>) {
    let ranked = ranked(&format!("{key:032x}"), list);
    (ranked.first().copied(), ranked.get(1).copied())
}

impl PairHistory {
    /// Takes in the list of members that holds from `now` on; forgets what is past the window.
    pub fn note(&mut self, now: Time, list: Vec<NodeName>, window: Duration) {
        if self.lists.back().is_none_or(|(_, last)| *last != list) {
            self.lists.push_back((now, list));
        }
        while self.lists.get(1).is_some_and(|(began, _)| now.since(*began) >= window) {
            self.lists.pop_front();
        }
    }

    /// First and second keeper by the latest list.
    pub fn keepers(&self, key: u128) -> (Option<NodeName>, Option<NodeName>) {
        let Some((_, list)) = self.lists.back() else {
            return (None, None);
        };
        let (first, second) = pair(key, list);
        (first.cloned(), second.cloned())
    }

    /// True if `node` was one of the key's keepers for the whole window.
    pub fn kept_throughout(&self, key: u128, node: &NodeName, now: Time, window: Duration) -> bool {
        let old_enough = self.lists.front().is_some_and(|(began, _)| now.since(*began) >= window);
        let kept = |list: &[NodeName]| {
            let (first, second) = pair(key, list);
            first == Some(node) || second == Some(node)
        };
        old_enough && self.lists.iter().all(|(_, list)| kept(list))
    }
}
