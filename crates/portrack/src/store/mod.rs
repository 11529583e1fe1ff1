//! Clients of external stores: a key-value service and the platform's node list.

mod counted;
mod etcd;
mod kv;
mod kv_store;
mod nodes;
mod position;

pub use counted::CountedStore;
pub use etcd::Etcd;
pub use kv::{Kv, KvEntry, KvError, KvList, KvPut, LocalFuture};
pub use kv_store::{KvChange, KvChanges, KvOutcome, KvReadError, KvStore, KvTransaction};
pub use nodes::{NodeList, NodeListClient, NodeListError};
pub use position::{ObservedEras, ReportedEra, StoreEra, StorePosition};
