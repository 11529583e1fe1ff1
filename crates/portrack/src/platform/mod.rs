//! The platform's services: key-value service and node list.

mod etcd;
mod kv;
mod nodes;

pub use etcd::Etcd;
pub use kv::{Kv, KvError, KvHeld, KvList, KvPut, LocalFuture};
pub use nodes::{NodeList, NodeListClient, NodeListError};
