//! Decides which adapters and base models servers load and unload, and which daemon may send orders
//! to each server.
//!
//! Inputs are load requests, usage reports, server reports and claims. Outputs are orders, one at a
//! time per server, and notices of their results. Two daemons never order the same server within
//! the quiet period of each other, and an adapter in use is never unloaded.

pub(in crate::gateway) mod adapter_demand;
pub(in crate::gateway) mod claim_holders;
pub(in crate::gateway) mod claim_record;
pub(in crate::gateway) mod claim_records;
pub(in crate::gateway) mod claiming;
pub(in crate::gateway) mod claims;
pub(in crate::gateway) mod fetch_limit;
pub(in crate::gateway) mod late_orders;
pub(in crate::gateway) mod load_budget;
pub(in crate::gateway) mod order_call;
pub(in crate::gateway) mod order_executor;
pub(in crate::gateway) mod planned_server;
pub(in crate::gateway) mod planner;
pub(in crate::gateway) mod unclaimed_servers;
