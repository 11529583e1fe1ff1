//! Choosing the server of a request of a small service: one daemon of each region knows which slots of
//! its servers are taken.
//!
//! In come requests for a slot, how the requests at the servers ended, and which servers there are; out
//! go a server, a wait of bounded length, or a refusal with the time to come back. A server must never
//! get more than its slots and a little more; a request that cannot be in time is refused at once.
//! [`Dispatcher`] is a state machine without sockets; [`SlotService`] asks and answers by datagrams.

mod dispatcher;
mod slots;
mod whom;

pub use dispatcher::{Dispatcher, ServerSlots, SlotAnswer, SlotEnd, SlotReply, SlotRequest};
pub use slots::{SlotDeps, SlotGuard, SlotMessage, SlotRequirements, SlotService};
pub use whom::{DispatcherRoute, dispatchers_for};
