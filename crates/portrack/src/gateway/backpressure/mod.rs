//! What servers say in their answers of how much they take, and what follows for all nodes together.
//!
//! A server in need names a limit: the requests a second that it takes from all daemons. In come the heads of answers,
//! and what other daemons tell; out go the limit in force for each life of a server, and messages. Arrivals at a server
//! that names a limit are granted by one daemon (`arrivals/`); every send there is checked right before its first byte.
//! What binds less than what is believed is only believed on evidence that is certainly newer.

pub(in crate::gateway) mod belief;
pub(in crate::gateway) mod beliefs;
pub(in crate::gateway) mod bucket;
pub(in crate::gateway) mod keeper;
pub(in crate::gateway) mod limit;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod rest;
pub(in crate::gateway) mod telling;
