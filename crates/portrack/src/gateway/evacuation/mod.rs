//! Data halls that operators have evacuated: their servers get nothing new until they are taken back.
//!
//! In come the store's keys with the age of the evidence; out go whether a server may get a request, and
//! wishes for copies elsewhere of what only such servers hold. Nothing is sent to a hall later than the
//! bound after the store's acknowledgement, nothing new is loaded there, and what runs there is left alone.

pub(in crate::gateway) mod changes;
pub(in crate::gateway) mod copying;
pub(in crate::gateway) mod halls;
