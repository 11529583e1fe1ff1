//! portrack
pub mod owner;
pub mod placement;
pub mod types;
