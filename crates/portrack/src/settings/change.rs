//! A change of the settings: one value of one entry.

use super::bucket::{Entry, EntryBody, FORMAT, MAX_ENTRY, adapter_key, encode, tree_key};
use super::{AdapterSpec, KEYS, KeySpec, PlainService, TreePath};
use crate::audit::{AuditRecord, ChangeId};
use crate::types::{AdapterName, ServiceName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The key of the entry with all plain services, below the prefix.
const SERVICES_KEY: &str = "services";
/// The longest reason kept, in bytes.
const MAX_WHY: usize = 500;

/// What is to be changed; `None` removes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Edit {
    /// A key of a tree node.
    Set {
        /// The tree node.
        path: TreePath,
        /// The key.
        key: String,
        /// Its value.
        value: Option<u64>,
    },
    /// A plain service.
    Service {
        /// Its name.
        name: ServiceName,
        /// What it is.
        spec: Option<PlainService>,
    },
    /// An adapter with its versions and rules.
    Adapter {
        /// Its name.
        name: AdapterName,
        /// What it is.
        spec: Option<AdapterSpec>,
    },
}

/// An edit with its author.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Names the change; sending it twice changes once.
    pub id: ChangeId,
    /// The operator's reason.
    #[serde(default)]
    pub why: String,
    /// The value that the operator saw, as JSON. Left out, any value is replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<String>,
    /// The edit.
    pub edit: Edit,
}

impl Edit {
    /// The key of the entry it changes, below the prefix.
    pub fn entry_key(&self) -> String {
        match self {
            Self::Set { path, .. } => tree_key(path),
            Self::Service { .. } => SERVICES_KEY.to_owned(),
            Self::Adapter { name, .. } => adapter_key(name),
        }
    }

    /// What it changes, for people.
    pub fn what(&self) -> String {
        match self {
            Self::Set { path, key, .. } => format!("{path} {key}"),
            Self::Service { name, .. } => format!("service {name}"),
            Self::Adapter { name, .. } => format!("adapter {name}"),
        }
    }

    /// The value it wants, as JSON.
    pub fn after(&self) -> String {
        let json = match self {
            Self::Set { value, .. } => serde_json::to_string(value),
            Self::Service { spec, .. } => serde_json::to_string(spec),
            Self::Adapter { spec, .. } => serde_json::to_string(spec),
        };
        json.expect("settings have string keys only")
    }

    /// The value that an entry has in its place, as JSON.
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
        json.expect("settings have string keys only")
    }

    /// What is wrong with it by itself, if anything.
    pub fn problem(&self) -> Option<String> {
        match self {
            Self::Set { path, key, value } => set_problem(path, key, *value),
            Self::Service { spec, .. } => spec.as_ref().and_then(PlainService::problem),
            Self::Adapter { spec, .. } => spec.as_ref().and_then(AdapterSpec::problem),
        }
    }

    /// The entry's body after the edit.
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
    /// What is wrong with it, if anything.
    pub fn problem(&self) -> Option<String> {
        if self.why.len() > MAX_WHY {
            return Some(format!("the reason has more than {MAX_WHY} bytes"));
        }
        self.edit.problem()
    }

    /// The new entry and the record that goes with it.
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
        if value.len() > MAX_ENTRY {
            return Err(format!("the entry would have {} bytes, over {MAX_ENTRY}", value.len()));
        }
        Ok((value, record))
    }
}
