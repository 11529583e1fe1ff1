//! Cluster membership: heartbeats, failure detection, and rendezvous hashing over live nodes.

mod member;
mod rendezvous;
mod scope;
mod table;
mod timing;

pub use member::{Health, Member, Peer};
pub use rendezvous::{highest, ranked};
pub use scope::Scope;
pub use table::Membership;
pub use timing::Timing;
