//! Settings: the bootstrap file of a daemon, and the tree that operators change.

mod adapter;
mod book;
mod bootstrap;
mod bucket;
mod change;
mod effective;
mod error;
mod file;
mod keys;
mod parse;
mod path;
mod plain;
mod resolve;
mod rule;
mod secrets;
mod store;

pub use adapter::{AdapterSpec, VersionSpec};
pub use book::{Applied, Book};
pub use bootstrap::{Bootstrap, LogSettings, PeerSettings, PlatformSettings};
pub use bucket::{BUCKETS, Entry, EntryBody, FORMAT, adapter_key, decode, encode, tree_key};
pub use change::{Change, Edit};
pub use effective::Effective;
pub use error::SettingsError;
pub use file::{Difference, SettingsFile};
pub use keys::{KEYS, KeySpec, Overrides};
pub(crate) use parse::parse_toml;
pub use path::{Level, PathError, TreePath};
pub use plain::PlainService;
pub use resolve::{Explanation, Place};
pub use rule::{Route, Rule};
pub use secrets::{Operator, Operators};
pub use store::{Accepted, ChangeError, Store};
