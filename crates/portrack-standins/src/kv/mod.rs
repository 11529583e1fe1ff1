//! A key-value service with the part of etcd v3's JSON gateway that portrack uses.

mod faults;
mod http;
mod lapse;
mod state;

pub use faults::Fault;
pub use http::KeyValue;
pub use lapse::lapse_always;
pub use state::{Changed, Held, Store};
