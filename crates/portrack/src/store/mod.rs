//! The stores that portrack meets: a key-value service and a list of nodes.

mod counted;
mod etcd;
mod feed;
mod kv;
mod nodes;
mod position;

pub use counted::CountedStore;
pub use etcd::Etcd;
pub use feed::{KvChange, KvChanges, KvOutcome, KvReadError, KvStore, KvTransaction};
pub use kv::{Kv, KvEntry, KvError, KvList, KvPut, LocalFuture};
pub use nodes::{NodeList, NodeListClient, NodeListError};
pub use position::{ObservedEras, ReportedEra, StoreEra, StorePosition};
