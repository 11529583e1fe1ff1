//! Cold servers are spared while they are slow.
//!
//! In come which servers may be cold; out goes what one costs a request besides its load. It is chosen as
//! much less than a warm one as it bears less, and is no better home for being idle.

pub(in crate::gateway) mod server;
