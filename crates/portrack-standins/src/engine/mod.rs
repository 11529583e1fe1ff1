//! A stand-in model engine with adapter slots and continuous batching.

mod config;
mod http;
mod record;
mod state;
mod step;
mod stream;

pub use config::EngineConfig;
pub use http::Engine;
pub use record::{EngineRecord, OrderSeen, RunSeen};
