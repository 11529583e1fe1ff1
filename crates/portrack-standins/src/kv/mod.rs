//! A key-value service that speaks the JSON gateway of etcd v3, as far as portrack calls it.

mod faults;
mod http;
mod lapse;
mod state;

pub use faults::Fault;
pub use http::KeyValue;
pub use lapse::lapse_always;
pub use state::{Changed, Held, Store};
