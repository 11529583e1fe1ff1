//! What servers load and drop, and which daemon may order each of them.
//!
//! In come wishes, uses, reports and claims; out go orders, one at a time to each server, and notices of
//! what came of them. Two daemons never order the same server within the quiet time, and an adapter in
//! use is never dropped.

pub(in crate::gateway) mod adapter_demand;
pub(in crate::gateway) mod claim_holders;
pub(in crate::gateway) mod claim_record;
pub(in crate::gateway) mod claim_records;
pub(in crate::gateway) mod claiming;
pub(in crate::gateway) mod claims;
pub(in crate::gateway) mod fetch_limit;
pub(in crate::gateway) mod load_budget;
pub(in crate::gateway) mod order_call;
pub(in crate::gateway) mod order_executor;
pub(in crate::gateway) mod planned_server;
pub(in crate::gateway) mod planner;
pub(in crate::gateway) mod unclaimed_servers;
