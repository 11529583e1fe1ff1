//! Adapters, their versions and the rules about them.

use super::Rule;
use crate::types::{BaseName, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// One version of an adapter. Immutable once accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Where the weight store keeps it.
    pub weights: String,
}

/// An adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The base model it belongs to.
    pub base: BaseName,
    /// Its versions.
    pub versions: BTreeMap<VersionName, VersionSpec>,
    /// Which requests each version may serve; a version without a rule serves none.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

impl AdapterSpec {
    /// What is wrong with it, if anything.
    pub fn problem(&self) -> Option<String> {
        if self.versions.is_empty() {
            return Some("an adapter needs at least one version".into());
        }
        let unknown = self.rules.iter().find(|r| !self.versions.contains_key(&r.version));
        if let Some(rule) = unknown {
            return Some(format!("a rule names version {}, which does not exist", rule.version));
        }
        let empty = self.versions.iter().find(|(_, spec)| spec.weights.trim().is_empty());
        empty.map(|(version, _)| format!("version {version} names no weights"))
    }
}
