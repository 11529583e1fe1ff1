//! Regions as seen from this daemon: the network cost to a server, the regions in which a request
//! may be served, which regions are silent, and the traffic between regions.
//!
//! Inputs are data halls, the regions in the settings, and the regions that routes and
//! organisations allow; outputs are costs, permissions and counters. If the settings name at most
//! one region, this module changes no decision. A server outside the allowed regions of a request
//! must never be permitted.

pub(in crate::gateway) mod allowed;
pub(in crate::gateway) mod locality;
pub(in crate::gateway) mod silence;
pub(in crate::gateway) mod traffic;
