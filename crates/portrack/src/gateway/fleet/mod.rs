//! The daemon's view of the fleet: other daemons, backend servers and the configuration.
//!
//! It is built from items of the store and datagrams of other daemons, and produces messages to
//! them. A configuration is never replaced by an older one, a server that reported that it is
//! leaving stays so for its incarnation, and an earlier incarnation of a server never replaces a
//! later one.

pub(in crate::gateway) mod backend;
pub(in crate::gateway) mod cold_start_tracker;
pub(in crate::gateway) mod config;
pub(in crate::gateway) mod daemons;
pub(in crate::gateway) mod gossip;
pub(in crate::gateway) mod heartbeats;
pub(in crate::gateway) mod incarnation;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod messenger;
pub(in crate::gateway) mod peers;
pub(in crate::gateway) mod recipients;
pub(in crate::gateway) mod regions;
pub(in crate::gateway) mod server_incarnations;
pub(in crate::gateway) mod trailing_field;
pub(in crate::gateway) mod versions;
pub(in crate::gateway) mod view;
