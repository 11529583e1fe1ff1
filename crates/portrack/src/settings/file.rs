//! Settings files that operators apply.

use super::error::ReadSnafu;
use super::parse::parse_toml;
use super::{AdapterSpec, Edit, KEYS, Overrides, PlainService, SettingsError, TreePath};
use crate::types::{AdapterName, ServiceName};
use serde::Deserialize;
use snafu::ResultExt;
use std::collections::BTreeMap;
use std::path::Path;

/// Contents of a settings file. Settings that it does not contain stay unchanged.
#[derive(Debug, Clone, Default, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SettingsFile {
    /// Keys of tree nodes.
    #[serde(default)]
    pub tree: BTreeMap<TreePath, Overrides>,
    /// Plain services.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, PlainService>,
    /// Adapters.
    #[serde(default)]
    pub adapters: BTreeMap<AdapterName, AdapterSpec>,
}

/// A difference between a file and the settings in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// The edit that resolves it.
    pub edit: Edit,
    /// The value in force, as JSON.
    pub before: String,
}

impl SettingsFile {
    /// Reads and validates a file.
    pub fn read(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file).context(ReadSnafu { file })?;
        Self::parse(file, &text)
    }

    /// Parses and validates the text of a file; `file` is only used in errors.
    pub fn parse(file: &Path, text: &str) -> Result<Self, SettingsError> {
        let parsed: Self = parse_toml(file, text)?;
        for edit in parsed.edits() {
            if let Some(message) = edit.problem() {
                let key = edit.what();
                let line = line_of_edit(text, &edit);
                return Err(SettingsError::Invalid { file: file.into(), line, key, message });
            }
        }
        Ok(parsed)
    }

    /// All settings in the file, as edits.
    fn edits(&self) -> Vec<Edit> {
        let mut edits = Vec::new();
        for (path, set) in &self.tree {
            for key in KEYS {
                let Some(value) = set.get(key.name) else { continue };
                let (path, key) = (path.clone(), key.name.to_owned());
                edits.push(Edit::Set { path, key, value: Some(value) });
            }
        }
        for (name, spec) in &self.services {
            edits.push(Edit::Service { name: name.clone(), spec: Some(spec.clone()) });
        }
        for (name, spec) in &self.adapters {
            edits.push(Edit::Adapter { name: name.clone(), spec: Some(spec.clone()) });
        }
        edits
    }

    /// Differences between the file and the settings in force. `current` returns the value in force
    /// for the setting that an edit affects, as JSON.
    pub fn differences(&self, current: impl Fn(&Edit) -> String) -> Vec<Difference> {
        let with_before = |edit: Edit| {
            let before = current(&edit);
            Difference { edit, before }
        };
        let all = self.edits().into_iter().map(with_before);
        all.filter(|difference| difference.before != difference.edit.after()).collect()
    }
}

/// The line of the key that an edit comes from, or of its table if it has no key.
fn line_of_edit(text: &str, edit: &Edit) -> usize {
    let (table, key) = match edit {
        Edit::Set { path, key, .. } => (path.to_string(), Some(key.as_str())),
        Edit::Service { name, .. } => (name.to_string(), None),
        Edit::Adapter { name, .. } => (name.to_string(), None),
    };
    let mut lines = text.lines().enumerate();
    let names = |line: &str| line.trim_start().starts_with('[') && line.contains(&table);
    let Some((at, _)) = lines.by_ref().find(|(_, line)| names(line)) else { return 1 };
    let Some(key) = key else { return at + 1 };
    let sets = |line: &str| line.trim_start().starts_with(key);
    lines.find(|(_, line)| sets(line)).map_or(at, |(at, _)| at) + 1
}
