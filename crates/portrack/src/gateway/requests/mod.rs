//! Handling of a request, from the caller's socket to its final response.
//!
//! Input is requests as bytes; output is the response of a server as it arrives, or a refusal with a
//! retry delay. A request that must not be repeated is sent to a second server only if the first one
//! certainly did not run it, and a refusal that says "not run" is always true.

pub(in crate::gateway) mod caller;
pub(in crate::gateway) mod completeness;
pub(in crate::gateway) mod events;
pub(in crate::gateway) mod exchange;
pub(in crate::gateway) mod handler;
pub(in crate::gateway) mod ingress;
pub(in crate::gateway) mod job;
pub(in crate::gateway) mod quarantine_check;
pub(in crate::gateway) mod relay;
pub(in crate::gateway) mod retrying;
pub(in crate::gateway) mod routes;
pub(in crate::gateway) mod scanner;
pub(in crate::gateway) mod sending;
pub(in crate::gateway) mod serving;
pub(in crate::gateway) mod timings;
