//! Seeds and settings to run the policies with.

use portrack::settings::{KEYS, Overrides};
use std::str::FromStr;

/// A setting for portrack's policy, parsed from `KEY=VALUE`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    key: String,
    value: u64,
}

impl FromStr for Setting {
    type Err = String;
    fn from_str(text: &str) -> Result<Self, String> {
        let (key, value) = text.split_once('=').ok_or("expected KEY=VALUE")?;
        let spec = KEYS.iter().find(|spec| spec.name == key);
        let spec = spec.ok_or_else(|| format!("unknown key {key:?}"))?;
        let value = value.parse().map_err(|e| format!("{key}: {e}"))?;
        if !(spec.min..=spec.max).contains(&value) {
            return Err(format!("{key} must lie between {} and {}", spec.min, spec.max));
        }
        Ok(Self { key: key.to_owned(), value })
    }
}

/// Seeds and settings of a benchmark run.
#[derive(Debug, Clone, Default)]
pub struct Trial {
    /// Traces of each shape.
    pub seeds: u64,
    /// Settings for portrack's policy; they override those of the load shape.
    pub settings: Vec<Setting>,
}

impl Trial {
    /// The settings for portrack's policy.
    pub fn overrides(&self, stall_weight: u64) -> Overrides {
        let mut set = Overrides::default();
        set.put("stall_weight", Some(stall_weight));
        for setting in &self.settings {
            set.put(&setting.key, Some(setting.value));
        }
        set
    }
}
