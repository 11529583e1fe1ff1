//! The daemon: sockets, timers and files around a [`Node`](crate::node::Node).

mod answer;
mod callers;
mod completion;
mod core;
mod engines;
mod error;
mod fetch;
mod key;
mod leases;
mod logging;
mod metrics;
mod operators;
mod peers;
mod plain;
mod prompt;
mod reservation;
mod resolve;
mod running;
mod sink;
mod status;
mod sync;

pub use error::StartError;
pub use leases::{HeldLock, LEASE_TTL, Leases, MAX_RENEWAL_AGE, RENEW_INTERVAL};
pub use logging::{init as init_logging, init_to as init_logging_to};
pub use running::{Running, start};
pub use status::{MemberStatus, OwnedStatus, StatusReport};
