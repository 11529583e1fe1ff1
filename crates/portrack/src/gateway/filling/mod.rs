//! Cold servers: spared while they are slow, and filled meanwhile with what they will need.
//!
//! In come which servers may be cold and which adapters are in demand; out go what a cold server costs a
//! request, and wishes for adapters whose home it is. What is held elsewhere stays there until the server
//! is warm, and filling never takes a fetch from a request that waits for one.

pub(in crate::gateway) mod cold;
pub(in crate::gateway) mod fill;
