//! The decision logic of one daemon, without I/O.
//!
//! The daemon, the fuzzers and the benchmarks feed a [`Node`] with [`Input`]s and execute its
//! [`Effect`]s. A node has no clock, no socket and no global source of randomness.

mod claims;
mod effect;
mod engines;
mod input;
mod machine;
mod members;
mod ownership;
mod permits;
mod releases;
mod reported_loads;
mod requests;
mod takeovers;
mod tunables;

pub use effect::{Effect, EngineTask};
pub use input::Input;
pub use machine::Node;
pub use tunables::Tunables;
