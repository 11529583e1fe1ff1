//! Evacuation of data halls: the servers of a hall that operators have evacuated get no new work
//! until the hall is reinstated.
//!
//! Inputs are the store's keys and the age of the evidence; outputs are whether a server may get a
//! request, and load requests elsewhere for adapters that only such servers hold. Nothing is sent
//! to an evacuated hall later than the bound after the store has acknowledged the evacuation,
//! nothing new is loaded there, and running requests are not interrupted.

pub(in crate::gateway) mod changes;
pub(in crate::gateway) mod copying;
pub(in crate::gateway) mod halls;
