//! Server selection for small services: in each region, one daemon, the dispatcher, tracks which slots
//! of the region's servers are taken.
//!
//! Input is requests for a slot, the outcomes of requests at the servers, and the list of servers;
//! output is a server, a wait of bounded length, or a refusal with a retry delay. A server must never
//! get many more requests than it has slots, and a request that cannot be answered in time is refused
//! at once. [`Dispatcher`] is a state machine without I/O; [`SlotService`] sends and receives the
//! datagrams.

mod dispatcher;
mod routing;
mod service;

pub use dispatcher::{Dispatcher, ServerSlots, SlotAnswer, SlotEnd, SlotReply, SlotRequest};
pub use routing::{DispatcherRoute, dispatchers_for};
pub use service::{SlotDeps, SlotGuard, SlotMessage, SlotRequirements, SlotService};
