//! Who is there: heartbeats, suspicion, death, and the choice of one among the live.

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
