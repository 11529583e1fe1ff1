//! A play of real daemon processes, each behind a link of its own, in which the configuration grows during a cut. It is a
//! test target of its own so that nothing else runs beside it: what it measures is time.

#[allow(dead_code, reason = "shared with the soak")]
#[path = "../soak/callers.rs"]
mod callers;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "../soak/fleet.rs"]
mod fleet;
mod growth;
#[allow(dead_code, reason = "shared with the soak")]
#[path = "../soak/invariants.rs"]
mod invariants;
#[path = "../soak/links.rs"]
mod links;
#[path = "../soak/seeds.rs"]
mod seeds;
