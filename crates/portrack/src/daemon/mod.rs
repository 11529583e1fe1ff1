//! The daemon: sockets, timers and files around a [`Node`](crate::node::Node).

mod answer;
mod callers;
mod completion;
mod core;
mod engines;
mod error;
mod fetch;
mod inflight;
mod key;
mod leases;
mod logging;
mod metrics;
mod operators;
mod peers;
mod place;
mod plain;
mod prompt;
mod resolve;
mod running;
mod sink;
mod status;
mod sync;

pub use error::StartError;
pub use leases::{HeldLock, LEASE_TTL, Leases, ORDER_WITHIN, RENEW_EVERY};
pub use logging::{init as init_logging, init_to as init_logging_to};
pub use running::{Running, start};
pub use status::{MemberStatus, OwnedStatus, StatusReport};
