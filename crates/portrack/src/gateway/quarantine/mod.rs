//! Requests under which servers end.
//!
//! A caller's next try is a new request, at any node. A mark tells the nodes that two tries are the same.

pub(in crate::gateway) mod mark;
