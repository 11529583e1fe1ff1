//! Validated names of nodes, data halls, engines, adapters and the like.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

/// The longest name accepted, in bytes.
pub const MAX_NAME_LEN: usize = 96;

/// Error from parsing a name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NameError {
    /// The text is empty or longer than `MAX_NAME_LEN`.
    Length(usize),
    /// The text contains a character other than ASCII letters, digits, `-`, `_` and `.`.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length(n) => write!(f, "a name has 1 to {MAX_NAME_LEN} bytes, this one has {n}"),
            Self::Character(c) => write!(f, "a name has letters, digits, '-', '_', '.', not {c:?}"),
        }
    }
}

impl std::error::Error for NameError {}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() || text.len() > MAX_NAME_LEN {
        return Err(NameError::Length(text.len()));
    }
    let allowed = |c: &char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    match text.chars().find(|c| !allowed(c)) {
        Some(c) => Err(NameError::Character(c)),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;
            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;
            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// A node of the system. Each runs one daemon and is an entry node.
    NodeName
);
name_type!(
    /// A data hall.
    HallName
);
name_type!(
    /// A region: data halls with a network latency of about a millisecond between them.
    RegionName
);
name_type!(
    /// A model engine.
    EngineName
);
name_type!(
    /// A plain service.
    ServiceName
);
name_type!(
    /// An adapter, without its version.
    AdapterName
);
name_type!(
    /// A version of an adapter.
    VersionName
);
name_type!(
    /// A base model.
    BaseName
);
