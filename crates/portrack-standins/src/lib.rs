//! Stand-ins for the systems that portrack depends on, for tests, the demonstration and manual use.
//!
//! Each listens on loopback, records the calls it receives and can inject faults. They simulate
//! neither nodes nor the network, nor faults between daemons.

pub mod engine;
pub mod expect;
pub mod heads;
pub mod kv;
pub mod nodes;
pub mod raw;
pub mod service;
pub mod weights;
pub mod world;

mod host;

pub use host::host;
