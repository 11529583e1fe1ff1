//! What is known of the fleet: other daemons, backend servers, the configuration.
//!
//! In come items of the store and datagrams of other daemons; out go the view of the fleet and messages.
//! A configuration never goes back, a server that said it is leaving stays so for its life, and a former
//! life of a server never comes back.

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
