//! portrack
pub mod loads;
pub mod membership;
pub mod once;
pub mod owner;
pub mod placement;
pub mod reserve;
pub mod router;
pub mod types;
pub mod wire;
