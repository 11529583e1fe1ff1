//! Serves very many LoRA adapters over a shared pool of model engines.
//!
//! The decisions are state machines without sockets or clocks. A [`Node`] joins them:
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
//! assert!(effects.is_empty(), "a node that knows nobody has nothing to do");
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! A [`daemon`] carries events from sockets into a node, and its effects out again.

pub mod audit;
pub mod daemon;
pub mod engine;
pub mod gateway;
pub mod http;
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
