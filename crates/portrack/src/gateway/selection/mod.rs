//! Which server takes a request, and which server an adapter is wished for at.
//!
//! In come a request, what servers hold and how busy they are; out go a server with the version that it
//! must have, a wish for an adapter, or a refusal. A request never goes to a server that is leaving or
//! outside its allowed regions, nor to a version that is out of use.

pub(in crate::gateway) mod adapter_locations;
pub(in crate::gateway) mod candidates;
pub(in crate::gateway) mod choose;
pub(in crate::gateway) mod crowding;
pub(in crate::gateway) mod decay;
pub(in crate::gateway) mod demand;
mod granted;
pub(in crate::gateway) mod load;
pub(in crate::gateway) mod load_reports;
pub(in crate::gateway) mod load_target;
pub(in crate::gateway) mod placing;
pub(in crate::gateway) mod replicas;
