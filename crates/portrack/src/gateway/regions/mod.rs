//! Where servers are, seen from this daemon: what the way to another region costs, who may serve a
//! request at all, which regions are silent, and how many bytes go there.
//!
//! In come data halls, the regions of the settings and the regions that routes and organisations allow;
//! out go costs, yes or no, and counters. Where the settings name one region or none, nothing here
//! changes a decision. A server outside the allowed regions of a request must never be let through.

pub(in crate::gateway) mod allowed;
pub(in crate::gateway) mod locality;
pub(in crate::gateway) mod silence;
pub(in crate::gateway) mod traffic;
