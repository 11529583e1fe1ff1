//! Inheritance: which value holds where, and where it comes from.

use super::{Book, Effective, KEYS, Overrides, TreePath};
use serde::{Deserialize, Serialize};

/// Where a value is asked for.
pub type Place = TreePath;

/// A value and its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The key.
    pub key: String,
    /// The value in force.
    pub value: u64,
    /// Its unit.
    pub unit: String,
    /// The tree node that sets it, or `default`.
    pub from: String,
    /// Every node that sets it, from the root on, with its value.
    pub chain: Vec<(String, u64)>,
}

impl Book {
    /// The nodes that hold at a place, from the most general to the most particular: by deepest
    /// level, then by number of levels named.
    fn covering(&self, place: &Place) -> Vec<(&TreePath, &Overrides)> {
        let mut nodes: Vec<_> = self.tree().iter().filter(|(path, _)| path.covers(place)).collect();
        nodes.sort_by_key(|(path, _)| (path.level(), path.depth()));
        nodes
    }

    /// All settings at a place.
    pub fn effective(&self, place: &Place) -> Effective {
        Effective::of(self.covering(place).into_iter().map(|(_, set)| set))
    }

    /// Where the value of a key comes from; none if there is no such key.
    pub fn explain(&self, place: &Place, key: &str) -> Option<Explanation> {
        let spec = KEYS.iter().find(|spec| spec.name == key)?;
        let covering = self.covering(place).into_iter();
        let setting = covering.filter_map(|(path, set)| Some((path.to_string(), set.get(key)?)));
        let chain: Vec<(String, u64)> = setting.collect();
        let (from, value) =
            chain.last().cloned().unwrap_or_else(|| ("default".to_owned(), spec.default));
        let (key, unit) = (key.to_owned(), spec.unit.to_owned());
        Some(Explanation { key, value, unit, from, chain })
    }
}
