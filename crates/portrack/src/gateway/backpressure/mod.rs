//! What servers say in their answers of how much they take.

pub mod belief;
pub mod heard;
pub mod limit;
