//! Changes of the settings. A change affects one value of one entry.

use super::entry::{Entry, EntryBody, FORMAT, MAX_ENTRY_BYTES, adapter_key, encode, tree_key};
use super::{AdapterSpec, KEYS, KeySpec, PlainService, TreePath};
use crate::audit::{AuditRecord, ChangeId};
use crate::types::{AdapterName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the entry with all plain services, relative to the prefix.
const SERVICES_KEY: &str = "services";
/// Maximum length of the operator's reason, in bytes.
const MAX_REASON_LEN: usize = 500;

/// An edit of one value; `None` removes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Edit {
    /// Sets a key of a tree node.
    Set {
        /// The tree node.
        path: TreePath,
        /// The key.
        key: String,
        /// Its value.
        value: Option<u64>,
    },
    /// Sets a plain service.
    Service {
        /// Its name.
        name: ServiceName,
        /// Its definition.
        spec: Option<PlainService>,
    },
    /// Sets an adapter with its versions and rules.
    Adapter {
        /// Its name.
        name: AdapterName,
        /// Its definition.
        spec: Option<AdapterSpec>,
    },
}

/// An edit with its id, reason and precondition.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifies the change, so that repeating it has no further effect.
    pub id: ChangeId,
    /// The operator's reason.
    #[serde(default)]
    pub why: String,
    /// The value that the edit may replace, as JSON. If `None`, any value is replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<String>,
    /// The edit.
    pub edit: Edit,
}

impl Edit {
    /// Key of the affected entry, relative to the prefix.
    pub fn entry_key(&self) -> String {
        match self {
            Self::Set { path, .. } => tree_key(path),
            Self::Service { .. } => SERVICES_KEY.to_owned(),
            Self::Adapter { name, .. } => adapter_key(name),
        }
    }

    /// Human-readable name of the affected setting.
    pub fn what(&self) -> String {
        match self {
            Self::Set { path, key, .. } => format!("{path} {key}"),
            Self::Service { name, .. } => format!("service {name}"),
            Self::Adapter { name, .. } => format!("adapter {name}"),
        }
    }

    /// The new value, as JSON.
    pub fn after(&self) -> String {
        let json = match self {
            Self::Set { value, .. } => serde_json::to_string(value),
            Self::Service { spec, .. } => serde_json::to_string(spec),
            Self::Adapter { spec, .. } => serde_json::to_string(spec),
        };
        json.expect("settings can be encoded as JSON")
    }

    /// The current value of the affected setting in an entry, as JSON.
    pub fn current(&self, body: Option<&EntryBody>) -> String {
        let json = match (self, body) {
            (Self::Set { key, .. }, Some(EntryBody::Node { set, .. })) => {
                serde_json::to_string(&set.get(key))
            }
            (Self::Service { name, .. }, Some(EntryBody::Services(all))) => {
                serde_json::to_string(&all.get(name))
            }
            (Self::Adapter { name, .. }, Some(EntryBody::Adapters(all))) => {
                serde_json::to_string(&all.get(name))
            }
            _ => Ok("null".to_owned()),
        };
        json.expect("settings can be encoded as JSON")
    }

    /// Validates the edit and returns the problem found, if any.
    pub fn problem(&self) -> Option<String> {
        match self {
            Self::Set { path, key, value } => set_problem(path, key, *value),
            Self::Service { spec, .. } => spec.as_ref().and_then(PlainService::problem),
            Self::Adapter { spec, .. } => spec.as_ref().and_then(AdapterSpec::problem),
        }
    }

    /// Returns the entry's body after the edit.
    fn apply(&self, body: Option<EntryBody>) -> EntryBody {
        match self {
            Self::Set { path, key, value } => {
                let mut set = match body {
                    Some(EntryBody::Node { set, .. }) => set,
                    _ => Box::default(),
                };
                set.put(key, *value);
                EntryBody::Node { path: path.clone(), set }
            }
            Self::Service { name, spec } => {
                let mut all = match body {
                    Some(EntryBody::Services(all)) => all,
                    _ => BTreeMap::new(),
                };
                put(&mut all, name, spec);
                EntryBody::Services(all)
            }
            Self::Adapter { name, spec } => {
                let mut all = match body {
                    Some(EntryBody::Adapters(all)) => all,
                    _ => BTreeMap::new(),
                };
                put(&mut all, name, spec);
                EntryBody::Adapters(all)
            }
        }
    }
}

fn put<K: Ord + Clone, V: Clone>(all: &mut BTreeMap<K, V>, name: &K, value: &Option<V>) {
    match value {
        Some(value) => all.insert(name.clone(), value.clone()),
        None => all.remove(name),
    };
}

fn set_problem(path: &TreePath, key: &str, value: Option<u64>) -> Option<String> {
    let Some(spec) = KEYS.iter().find(|spec| spec.name == key) else {
        let known: Vec<&str> = KEYS.iter().map(|spec| spec.name).collect();
        return Some(format!("{path}: unknown key {key:?}; known are {}", known.join(", ")));
    };
    let value = value?;
    if (spec.min..=spec.max).contains(&value) {
        return None;
    }
    let KeySpec { min, max, unit, .. } = spec;
    Some(format!("{path}: {key} must lie between {min} and {max} {unit}, not {value}"))
}

impl Change {
    /// Validates the change and returns the problem found, if any.
    pub fn problem(&self) -> Option<String> {
        if self.why.len() > MAX_REASON_LEN {
            return Some(format!("the reason has more than {MAX_REASON_LEN} bytes"));
        }
        self.edit.problem()
    }

    /// Builds the encoded new entry and its audit record.
    pub fn build(
        &self,
        who: &str,
        at_unix_ms: u64,
        old: Option<Entry>,
    ) -> Result<(Vec<u8>, AuditRecord), String> {
        let body = old.map(|entry| entry.body);
        let record = AuditRecord {
            id: self.id,
            who: who.to_owned(),
            at_unix_ms,
            why: self.why.clone(),
            what: self.edit.what(),
            before: self.edit.current(body.as_ref()),
            after: self.edit.after(),
        };
        let body = self.edit.apply(body);
        let value = encode(&Entry { format: FORMAT, change: record.clone(), body });
        if value.len() > MAX_ENTRY_BYTES {
            return Err(format!(
                "the entry would have {} bytes, over {MAX_ENTRY_BYTES}",
                value.len()
            ));
        }
        Ok((value, record))
    }
}
