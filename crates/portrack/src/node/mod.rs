//! One daemon's decisions, joined: everything between sockets, without them.
//!
//! The daemon, the fuzzers and any bench feed a [`Node`] with [`Input`]s and carry out its
//! [`Effect`]s. A node holds no clock, no socket and no global randomness.

mod claims;
mod effect;
mod engines;
mod input;
mod machine;
mod members;
mod ownership;
mod permits;
mod releases;
mod requests;
mod takeovers;
mod told;
mod tunables;

pub use effect::{Effect, EngineTask};
pub use input::Input;
pub use machine::Node;
pub use tunables::Tunables;
