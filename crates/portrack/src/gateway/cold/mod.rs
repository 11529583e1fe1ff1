//! Sends fewer requests to servers that have just started and are still slow.
//!
//! The input is which servers may be cold; the output is the cost of a request at such a server in
//! addition to its load. A cold server is selected less often, in proportion to its lower
//! throughput, and being idle does not make it a better target for loads.

pub(in crate::gateway) mod server;
