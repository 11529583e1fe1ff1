//! Paths in the settings tree.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// Maximum length of a name in a path, in bytes.
const MAX_SEGMENT: usize = 64;

/// A level of the tree, from the root to the leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// The whole fleet.
    Fleet,
    /// A data hall.
    Hall,
    /// A hardware generation.
    Class,
    /// A service.
    Service,
}

/// A node of the tree, such as `fleet/hall:a/class:old/service:chat`. Levels may be left out:
/// `fleet/service:chat` applies in every hall.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TreePath {
    /// The data hall, if the path names one.
    pub hall: Option<String>,
    /// The node class, if the path names one.
    pub class: Option<String>,
    /// The service, if the path names one.
    pub service: Option<String>,
}

/// Error from parsing a path.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PathError {
    /// The path does not begin with `fleet`.
    Root,
    /// A part is not `hall:NAME`, `class:NAME` or `service:NAME`, in this order.
    Segment(String),
}

impl fmt::Display for PathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Root => f.write_str("a path begins with 'fleet'"),
            Self::Segment(part) => write!(
                f,
                "{part:?} does not fit: after 'fleet' come hall:NAME, class:NAME and \
                 service:NAME, each at most once and in this order"
            ),
        }
    }
}

impl std::error::Error for PathError {}

impl TreePath {
    /// The root.
    pub fn fleet() -> Self {
        Self::default()
    }

    /// The deepest level named.
    pub fn level(&self) -> Level {
        if self.service.is_some() {
            Level::Service
        } else if self.class.is_some() {
            Level::Class
        } else if self.hall.is_some() {
            Level::Hall
        } else {
            Level::Fleet
        }
    }

    /// Number of levels named below the root.
    pub fn depth(&self) -> usize {
        [&self.hall, &self.class, &self.service].into_iter().flatten().count()
    }

    /// True if settings of this node apply at `place`.
    pub fn covers(&self, place: &Self) -> bool {
        let fits = |mine: &Option<String>, its: &Option<String>| mine.is_none() || mine == its;
        fits(&self.hall, &place.hall)
            && fits(&self.class, &place.class)
            && fits(&self.service, &place.service)
    }
}

impl FromStr for TreePath {
    type Err = PathError;
    fn from_str(text: &str) -> Result<Self, PathError> {
        let mut parts = text.split('/');
        if parts.next() != Some("fleet") {
            return Err(PathError::Root);
        }
        let mut path = Self::default();
        let mut last = Level::Fleet;
        for part in parts {
            let bad = || PathError::Segment(part.to_owned());
            let (level, name) = part.split_once(':').ok_or_else(bad)?;
            let level = match level {
                "hall" => Level::Hall,
                "class" => Level::Class,
                "service" => Level::Service,
                _ => return Err(bad()),
            };
            let named = !name.is_empty() && name.len() <= MAX_SEGMENT;
            let plain = name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
            if level <= last || !named || !plain {
                return Err(bad());
            }
            last = level;
            let name = Some(name.to_owned());
            match level {
                Level::Hall => path.hall = name,
                Level::Class => path.class = name,
                Level::Service | Level::Fleet => path.service = name,
            }
        }
        Ok(path)
    }
}

impl TryFrom<String> for TreePath {
    type Error = PathError;
    fn try_from(text: String) -> Result<Self, PathError> {
        text.parse()
    }
}

impl From<TreePath> for String {
    fn from(path: TreePath) -> Self {
        path.to_string()
    }
}

impl fmt::Display for TreePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("fleet")?;
        let named = [("hall", &self.hall), ("class", &self.class), ("service", &self.service)];
        for (level, name) in named {
            if let Some(name) = name {
                write!(f, "/{level}:{name}")?;
            }
        }
        Ok(())
    }
}
