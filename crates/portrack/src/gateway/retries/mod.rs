//! Retry budgets of services: how many arrivals beyond the first of each request the whole fleet may cause.
//!
//! The budget is a share of the requests plus a slack. Each daemon earns its own part of the share by the
//! requests that it handles, so no other daemon has to be known. The slack is granted by one daemon at a
//! time, which holds a lease of the store.

pub(in crate::gateway) mod account;
pub(in crate::gateway) mod bounds;
pub(in crate::gateway) mod budgets;
pub(in crate::gateway) mod holder;
mod holding;
pub(in crate::gateway) mod lease;
pub(in crate::gateway) mod message;
pub(in crate::gateway) mod permit;
pub(in crate::gateway) mod reason;
pub(in crate::gateway) mod slack;
pub(in crate::gateway) mod slots;
