//! Selects the server for a request, and the server at which an adapter should be loaded.
//!
//! Inputs are the request, the adapters that servers hold and the servers' load. The result is a
//! server with the adapter version it must have, a request to load an adapter, or a refusal. A
//! request is never sent to a draining server, to a server outside its allowed regions, or for a
//! retired version.

pub(in crate::gateway) mod adapter_locations;
pub(in crate::gateway) mod candidates;
pub(in crate::gateway) mod choose;
pub(in crate::gateway) mod crowding;
pub(in crate::gateway) mod decay;
pub(in crate::gateway) mod demand;
mod grant_wait;
pub(in crate::gateway) mod load;
pub(in crate::gateway) mod load_reports;
pub(in crate::gateway) mod load_target;
pub(in crate::gateway) mod replicas;
pub(in crate::gateway) mod server_choice;
