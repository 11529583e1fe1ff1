//! Soak tests: real daemon processes against stand-ins of the platform, with version announcements, kills
//! and restarts.

mod callers;
mod crashes;
mod fleet;
mod invariants;
mod keys;
#[allow(dead_code, reason = "the test target `growth` uses more of it")]
mod links;
mod retries;
mod returns;
mod seeds;
mod series;
mod servers;
mod software;
mod streams;
mod versions;
mod words;
