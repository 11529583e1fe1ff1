//! Holds back requests that crash servers, on all nodes.
//!
//! A caller's retry is a new request, possibly at another node: its [`RequestFingerprint`] tells
//! nodes that two attempts are the same request. Inputs are broken connections to servers, complete
//! responses, and what other nodes and the store report; the output is whether a request may be
//! sent. [`SuspectRequests`] decides, [`QuarantineState`] exchanges messages with other nodes, and
//! [`Quarantine`] does both on behalf of requests.
//!
//! - A node that loses a request checks whether the server is alive. If it has ended, the nodes
//!   responsible for that request are notified; in small fleets, these are all nodes.
//! - After three ends without a response in between, all nodes refuse the request, longer each
//!   time. The store keeps the hold across restarts; a node that cannot reach the store relies on
//!   messages from other nodes.
//! - When the hold is over, one node claims the next, longer hold in the store and tries the
//!   request once. If it is served, the hold is removed.
//!
//! [`RequestFingerprint`]: fingerprint::RequestFingerprint
//! [`SuspectRequests`]: suspect_requests::SuspectRequests
//! [`QuarantineState`]: state::QuarantineState
//! [`Quarantine`]: coordinator::Quarantine

mod announcements;
pub(in crate::gateway) mod coordinator;
pub(in crate::gateway) mod ends;
pub(in crate::gateway) mod fingerprint;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod parts;
pub(in crate::gateway) mod record;
mod recording;
pub(in crate::gateway) mod state;
pub(in crate::gateway) mod suspect_requests;
