//! What servers say in their answers of how much they take, and what follows for all nodes together.
//!
//! In come the heads of answers, and what other daemons tell; out go the limit in force for each life of a server, servers
//! that leave, and messages.
//!
//! - A server in need names a limit: the requests a second that it takes from all daemons. Arrivals there are granted by
//!   one daemon (`arrivals/`). What binds less than what is believed is only believed on evidence that is certainly newer.
//! - A server that turns requests away may ask this node for rest. The node keeps it for itself: it says nothing of others.
//! - A server that leaves says so. It gets nothing more in that life, whatever its entry says.
//!
//! Every send is checked right before its first byte: what a server says may have been heard after it was chosen.

pub(in crate::gateway) mod announcements;
pub(in crate::gateway) mod backoff_hint;
pub(in crate::gateway) mod backoffs;
pub(in crate::gateway) mod bucket;
pub(in crate::gateway) mod leaving;
pub(in crate::gateway) mod limit;
pub(in crate::gateway) mod limit_state;
pub(in crate::gateway) mod limit_table;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod tracker;
