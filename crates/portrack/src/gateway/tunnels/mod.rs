//! Connections to servers through other daemons.
//!
//! A daemon that cannot reach a server asks another one to open a connection there and to copy bytes both
//! ways. Everything else stays with the daemon that has the request: the other one reads none of it, never
//! asks a third one, and says before the first byte whether it has reached the server.

pub(in crate::gateway) mod carriers;
pub(in crate::gateway) mod connecting;
pub(in crate::gateway) mod copying;
pub(in crate::gateway) mod framing;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod pauses;
pub(in crate::gateway) mod probing;
pub(in crate::gateway) mod serving;
