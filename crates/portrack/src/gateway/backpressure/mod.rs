//! Backpressure: how much work servers accept according to their responses, and what all nodes
//! together make of it.
//!
//! It is fed with the heads of responses and with reports of other daemons, and produces the limit
//! in force for each incarnation of a server, the servers that are leaving, and messages.
//!
//! - An overloaded server advertises a limit, the requests per second that it accepts from all
//!   daemons together. One daemon grants the arrivals there (`arrivals/`). A looser limit than the
//!   known one counts only if the observation is certainly newer.
//! - A server that rejects requests may ask this node to back off. The node does not pass that on:
//!   it says nothing about other nodes.
//! - A server that is leaving reports it, and gets nothing more in that incarnation, whatever its
//!   entry says.
//!
//! Every request is checked right before its first byte is sent: the report may have arrived after
//! the server was chosen.

pub(in crate::gateway) mod announcements;
pub(in crate::gateway) mod backoff_hint;
pub(in crate::gateway) mod backoffs;
pub(in crate::gateway) mod bucket;
pub(in crate::gateway) mod leaving;
pub(in crate::gateway) mod limit;
pub(in crate::gateway) mod limit_state;
pub(in crate::gateway) mod limit_table;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod tracker;
