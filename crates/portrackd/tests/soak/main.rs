//! Soak tests: real daemon processes against stand-ins of the platform, with version announcements, kills
//! and restarts.

mod callers;
mod crashes;
mod fleet;
mod growth;
mod invariants;
mod keys;
mod links;
mod retries;
mod returns;
mod series;
mod servers;
mod software;
mod streams;
mod versions;
mod words;
