//! How a daemon learns what changes in the store, from the store itself or from other daemons.
//!
//! In come answers of the store, and frames and items of other daemons; out go changes of the mirror and
//! proof of how fresh it is. Nothing in the mirror goes back, and news carries the age of its evidence.

pub(in crate::gateway) mod following;
pub(in crate::gateway) mod frames;
pub(in crate::gateway) mod hall_feed;
pub(in crate::gateway) mod mirror;
pub(in crate::gateway) mod pacing;
pub(in crate::gateway) mod sync;
