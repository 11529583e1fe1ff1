//! Keeps a daemon's copy of the store up to date, from the store itself or from other daemons.
//!
//! Inputs are responses of the store, and frames, items and reports of other daemons. Outputs are
//! changes of the mirror, a proof of its freshness, and the choice of a source. No item of the
//! mirror goes back to an older revision, and every update carries the age of its proof. Freshness
//! reported by other daemons only determines which of them to query; it is not accepted as proof.

pub(in crate::gateway) mod attempts;
pub(in crate::gateway) mod catch_up;
pub(in crate::gateway) mod era;
pub(in crate::gateway) mod era_delta;
pub(in crate::gateway) mod follower_feed;
pub(in crate::gateway) mod frames;
pub(in crate::gateway) mod large_values;
pub(in crate::gateway) mod mirror;
pub(in crate::gateway) mod pacing;
mod partial_updates;
mod peer_connection;
pub(in crate::gateway) mod peer_feed;
pub(in crate::gateway) mod peer_freshness;
pub(in crate::gateway) mod report;
pub(in crate::gateway) mod restore;
pub(in crate::gateway) mod retained;
pub(in crate::gateway) mod retention;
mod running_attempts;
pub(in crate::gateway) mod source_selector;
pub(in crate::gateway) mod staleness;
pub(in crate::gateway) mod store_watch;
pub(in crate::gateway) mod timings;
pub(in crate::gateway) mod update_server;
