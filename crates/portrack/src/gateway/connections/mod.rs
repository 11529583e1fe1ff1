//! Connections to servers: kept ones, the heads and bodies of answers.
//!
//! In come bytes; out go answers, or what is known of a request without one. A connection with bytes left
//! over is never used again.

pub(in crate::gateway) mod body;
pub(in crate::gateway) mod connection;
pub(in crate::gateway) mod pool;
pub(in crate::gateway) mod response;
