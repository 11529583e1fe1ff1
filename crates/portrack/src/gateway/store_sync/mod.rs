//! How a daemon learns what changes in the store, from the store itself or from other daemons.
//!
//! In come answers of the store, and frames, items and reports of other daemons; out go changes of the
//! mirror, proof of how fresh it is, and whom to follow. Nothing in the mirror goes back, news carries the
//! age of its evidence, and what others tell of their age decides whom to ask but proves nothing.

pub(in crate::gateway) mod catching_up;
pub(in crate::gateway) mod era;
pub(in crate::gateway) mod era_delta;
pub(in crate::gateway) mod follower_feed;
pub(in crate::gateway) mod following;
pub(in crate::gateway) mod frames;
pub(in crate::gateway) mod mirror;
pub(in crate::gateway) mod pacing;
pub(in crate::gateway) mod peer_freshness;
pub(in crate::gateway) mod report;
pub(in crate::gateway) mod retained;
pub(in crate::gateway) mod retention;
pub(in crate::gateway) mod returning;
pub(in crate::gateway) mod source_selector;
pub(in crate::gateway) mod staleness;
pub(in crate::gateway) mod sync;
pub(in crate::gateway) mod timings;
