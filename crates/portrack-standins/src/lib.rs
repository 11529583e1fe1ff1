//! Stand-ins for the systems that portrack meets, for tests, the demonstration and use by hand.
//!
//! Each listens on loopback, records what was done to it, and can be told to misbehave. They are
//! no simulator: nothing here stands for a node, a network or a fault between daemons.

pub mod engine;
pub mod expect;
pub mod kv;
pub mod nodes;
pub mod service;
pub mod weights;
pub mod world;

mod host;

pub use host::host;
