//! A key-value service that speaks the JSON gateway of etcd v3, as far as portrack calls it.

mod faults;
mod http;
mod state;

pub use faults::Fault;
pub use http::KeyValue;
pub use state::{Changed, Held, Store};
