//! Requests under which servers end are held back, by all nodes.
//!
//! A caller's next try is a new request, at any node: a mark tells the nodes that two tries are the same.
//! In come connections to servers that break, answers that came whole, and what other nodes and the store
//! tell; out goes whether a request may be sent. [`SuspectRequests`] decides, [`QuarantineState`] tells other nodes,
//! [`Quarantine`] does both on behalf of requests.
//!
//! - A node whose request was lost asks whether the server lives. If it has ended, the nodes that count for
//!   that request are told; in small fleets that is all of them.
//! - After three ends without an answer between them the request is refused everywhere, for longer each time. The
//!   store keeps that beyond restarts; a node that cannot reach it goes by what other nodes tell.
//! - When the time is over, one node claims the next, longer hold in the store, and tries the request
//!   once. If it is served, the hold is removed.
//!
//! [`SuspectRequests`]: suspect_requests::SuspectRequests
//! [`QuarantineState`]: state::QuarantineState
//! [`Quarantine`]: coordinator::Quarantine

pub(in crate::gateway) mod coordinator;
pub(in crate::gateway) mod ends;
pub(in crate::gateway) mod fingerprint;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod record;
mod recording;
pub(in crate::gateway) mod state;
pub(in crate::gateway) mod suspect_requests;
mod telling;
