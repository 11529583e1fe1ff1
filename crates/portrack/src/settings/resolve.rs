//! Inheritance in the settings tree: resolves values and explains their origin.

use super::{Book, Effective, KEYS, Overrides, TreePath};
use serde::{Deserialize, Serialize};

/// The place for which a value is resolved.
pub type Place = TreePath;

/// A resolved value and its origin.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// The key.
    pub key: String,
    /// The effective value.
    pub value: u64,
    /// Its unit.
    pub unit: String,
    /// The tree node that sets it, or `default`.
    pub from: String,
    /// Every node that sets it, from the most general to the most specific, with its value.
    pub chain: Vec<(String, u64)>,
}

impl Book {
    /// The nodes that apply at a place, from the most general to the most specific: ordered by their
    /// deepest level, then by the number of levels that they name.
    fn covering(&self, place: &Place) -> Vec<(&TreePath, &Overrides)> {
        let mut nodes: Vec<_> = self.tree().iter().filter(|(path, _)| path.covers(place)).collect();
        nodes.sort_by_key(|(path, _)| (path.level(), path.depth()));
        nodes
    }

    /// All effective settings at a place.
    pub fn effective(&self, place: &Place) -> Effective {
        Effective::of(self.covering(place).into_iter().map(|(_, set)| set))
    }

    /// Explains the origin of a key's value; `None` if the key does not exist.
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
