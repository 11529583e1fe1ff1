//! An adapter at a specific version.

use super::{AdapterName, NameError, VersionName};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// `adapter@version`. Immutable; engines load adapters under this name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AdapterVersion {
    /// The adapter.
    pub adapter: AdapterName,
    /// The version.
    pub version: VersionName,
}

/// Error from parsing `adapter@version`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseAdapterError {
    /// The `@` is missing.
    NoVersion,
    /// One of the two names is invalid.
    Name(NameError),
}

impl fmt::Display for ParseAdapterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoVersion => f.write_str("expected adapter@version"),
            Self::Name(e) => e.fmt(f),
        }
    }
}

impl std::error::Error for ParseAdapterError {}

impl FromStr for AdapterVersion {
    type Err = ParseAdapterError;
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (adapter, version) = text.split_once('@').ok_or(ParseAdapterError::NoVersion)?;
        let adapter = adapter.parse().map_err(ParseAdapterError::Name)?;
        let version = version.parse().map_err(ParseAdapterError::Name)?;
        Ok(Self { adapter, version })
    }
}

impl fmt::Display for AdapterVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.adapter, self.version)
    }
}
