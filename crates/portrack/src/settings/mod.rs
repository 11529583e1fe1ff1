//! Settings: the bootstrap file of a daemon, and the settings tree that operators change.

mod adapter;
mod book;
mod bootstrap;
mod change;
mod effective;
mod entry;
mod error;
mod file;
mod keys;
mod operators;
mod parse;
mod path;
mod plain;
mod resolve;
mod rule;
mod store;

pub use adapter::{AdapterSpec, VersionSpec};
pub use book::{Applied, Book};
pub use bootstrap::{Bootstrap, LogSettings, PeerSettings, PlatformSettings};
pub use change::{Change, Edit};
pub use effective::Effective;
pub use entry::{BUCKETS, Entry, EntryBody, FORMAT, adapter_key, decode, encode, tree_key};
pub use error::SettingsError;
pub use file::{Difference, SettingsFile};
pub use keys::{KEYS, KeySpec, Overrides};
pub use operators::{Operator, Operators};
pub(crate) use parse::parse_toml;
pub use path::{Level, PathError, TreePath};
pub use plain::PlainService;
pub use resolve::{Explanation, Place};
pub use rule::{Route, Rule};
pub use store::{Accepted, ChangeError, Store};
