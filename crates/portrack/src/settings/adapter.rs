//! Definitions of adapters, with their versions and rules.

use super::Rule;
use crate::types::{BaseName, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Definition of an adapter version. Immutable once accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionSpec {
    /// Location of its weights in the weight store.
    pub weights: String,
}

/// Definition of an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterSpec {
    /// The base model it belongs to.
    pub base: BaseName,
    /// Its versions.
    pub versions: BTreeMap<VersionName, VersionSpec>,
    /// Rules that allow versions to serve requests; a version without a rule serves none.
    #[serde(default)]
    pub rules: Vec<Rule>,
}

impl AdapterSpec {
    /// Validates the definition and returns the problem found, if any.
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
