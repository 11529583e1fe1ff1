//! The path of a request, from the caller's socket to its final answer.
//!
//! In come requests as bytes; out go a server's answer word by word, or a refusal with the time to come
//! back. A request that must not be repeated is sent to a second server only if the first certainly did
//! not run it; a refusal that says "not run" is true.

pub(in crate::gateway) mod caller;
pub(in crate::gateway) mod events;
pub(in crate::gateway) mod exchange;
pub(in crate::gateway) mod handler;
pub(in crate::gateway) mod held;
pub(in crate::gateway) mod host;
pub(in crate::gateway) mod ingress;
pub(in crate::gateway) mod job;
pub(in crate::gateway) mod relay;
pub(in crate::gateway) mod retries;
pub(in crate::gateway) mod routes;
pub(in crate::gateway) mod timings;
