//! Serves a large number of LoRA adapters on a shared pool of model engines.
//!
//! All decisions are made by state machines that use no sockets or clocks. A [`Node`] combines them:
//!
//! ```
//! use portrack::membership::Peer;
//! use portrack::node::{Effect, Input, Tunables};
//! use portrack::{Node, Time};
//!
//! let me = Peer {
//!     node: "a1".parse()?,
//!     hall: "a".parse()?,
//!     region: "west".parse()?,
//!     address: "127.0.0.1:7000".parse()?,
//! };
//! let mut node = Node::new(me, 1, Tunables::default(), 7, Time(0));
//! let effects: Vec<Effect> = node.on(Time(50), Input::Tick);
//! assert!(effects.is_empty(), "a node without peers has nothing to do");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A [`daemon`] passes events from sockets to a node and carries out the resulting effects.

pub mod audit;
pub mod daemon;
pub mod engine;
pub mod gateway;
pub mod http;
pub mod http1;
pub mod limits;
pub mod loads;
pub mod membership;
mod metrics;
pub mod node;
pub mod once;
pub mod owner;
pub mod placement;
pub mod reserve;
pub mod router;
pub mod settings;
pub mod store;
pub mod types;
pub mod wire;

pub use node::Node;
pub use settings::Bootstrap;
pub use types::{Refusal, Time};
