//! HTTP/1.1 connections to backend servers: connection pool and response heads.
//!
//! Input is bytes; output is responses, or an error that tells whether the request may have run. A
//! connection with unread bytes is never reused.

pub(in crate::gateway) mod connection;
pub(in crate::gateway) mod connector;
pub(in crate::gateway) mod identity;
pub(in crate::gateway) mod inbound;
pub(in crate::gateway) mod links;
pub(in crate::gateway) mod pool;
pub(in crate::gateway) mod response;
