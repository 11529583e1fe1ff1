//! Decides which values are retained for a while when the store is restored from a copy that
//! differs.
//!
//! Revisions cannot tell which of two values is newer, so the decision depends on the kind of item.
//! Where it is open, what is forbidden stays forbidden, and what is known is retained until its
//! writer has had time to write it again.

use super::retained::RestoreConflict;
use crate::gateway::dialect::{Dialect, Item, ItemKey};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::orders::claim_record::{ClaimKey, ClaimRecord};
use crate::gateway::quarantine::record::HoldRecord;
use crate::store::StoreEra;
use std::time::Duration;

/// How long known values are retained at most after the store was restored. Operators and servers
/// write again what was lost: servers with their next heartbeat, operators within some seconds.
pub const RETENTION_PERIOD: Duration = Duration::from_secs(10);

/// Returns true if the value known before the store was restored into `era` is retained although
/// the store's value differs.
pub fn should_retain(dialect: &dyn Dialect, era: StoreEra, conflict: RestoreConflict<'_>) -> bool {
    let RestoreConflict { key, known, stored } = conflict;
    match ClaimKey::parse(key) {
        Some(ClaimKey::Server(_)) => return retains_claim(era, known, stored),
        // Only the store knows which leases are alive.
        Some(ClaimKey::Live(_)) => return false,
        None => {}
    }
    if HoldRecord::request(key).is_some() {
        return retains_hold(known, stored);
    }
    match (dialect.key(key), known, stored) {
        (ItemKey::Config | ItemKey::AdapterVersion, Some(known), Some(stored)) => {
            parse_version(dialect, key, known) > parse_version(dialect, key, stored)
        }
        (ItemKey::Backend(_), Some(known), Some(stored)) => {
            retains_backend(parse_backend(dialect, key, known), parse_backend(dialect, key, stored))
        }
        (ItemKey::Config | ItemKey::AdapterVersion, known, _) => known.is_some(),
        // A removed server is accepted again with its next entry, but not with an entry from before
        // its removal.
        (ItemKey::Backend(_), _, _) => true,
        (ItemKey::EvacuatedHall(_), known, stored) => known.is_some() && stored.is_none(),
        (ItemKey::Unknown, _, _) => false,
    }
}

/// A record written in the new era is newer than anything known before.
fn retains_claim(era: StoreEra, known: Option<&[u8]>, stored: Option<&[u8]>) -> bool {
    let is_new =
        stored.and_then(ClaimRecord::read).is_some_and(|record| record.eras.written == era);
    known.is_some() && !is_new
}

/// A request that was cleared stays cleared, and of two holds the later one applies.
fn retains_hold(known: Option<&[u8]>, stored: Option<&[u8]>) -> bool {
    let number = |bytes: &[u8]| HoldRecord::read(bytes).map_or(0, |record| record.number);
    match (known, stored) {
        (Some(known), Some(stored)) => number(known) > number(stored),
        (Some(_), None) | (None, _) => true,
    }
}

fn parse_version(dialect: &dyn Dialect, key: &str, value: &[u8]) -> Option<u64> {
    match dialect.item(key, value).ok()?? {
        Item::Config(config) => Some(config.version),
        Item::AdapterVersion(_, version) => Some(version),
        Item::Backend(_) | Item::EvacuatedHall(_) => None,
    }
}

fn parse_backend(dialect: &dyn Dialect, key: &str, value: &[u8]) -> Option<Backend> {
    match dialect.item(key, value).ok()?? {
        Item::Backend(backend) => Some(*backend),
        Item::Config(_) | Item::AdapterVersion(..) | Item::EvacuatedHall(_) => None,
    }
}

/// A later incarnation is newer, and a server that is draining keeps draining for the rest of its
/// incarnation.
fn retains_backend(known: Option<Backend>, stored: Option<Backend>) -> bool {
    let (Some(known), Some(stored)) = (known, stored) else { return false };
    known.born > stored.born || (known.born == stored.born && known.draining && !stored.draining)
}
