//! What is believed of a key for a while, if the store comes back from a copy that says something else.
//!
//! Its revisions cannot tell which of two values is newer, so each kind of item does it in its own way. Where
//! that leaves it open, what is forbidden stays so, and what is known stays known until its writer has had the time to write it
//! again.

use super::retained::RestoreConflict;
use crate::gateway::dialect::{Dialect, Item, ItemKey};
use crate::gateway::fleet::backend::Backend;
use crate::gateway::orders::claim_record::{ClaimKey, ClaimRecord};
use crate::gateway::quarantine::record::HoldRecord;
use crate::store::StoreEra;
use std::time::Duration;

/// After the store came back, what is known is believed against its copy for so long at most. Operators and servers
/// write again what was lost, servers with their next heartbeat, operators within some seconds.
pub const RETENTION_PERIOD: Duration = Duration::from_secs(10);

/// Tells whether what was known before the store came back in `era` is believed against what it holds.
pub fn should_retain(
    dialect: &dyn Dialect,
    era: StoreEra,
    difference: RestoreConflict<'_>,
) -> bool {
    let RestoreConflict { key, known, stored } = difference;
    match ClaimKey::parse(key) {
        Some(ClaimKey::Server(_)) => return keeps_claim(era, known, stored),
        // Only the store can tell whose leases live.
        Some(ClaimKey::Live(_)) => return false,
        None => {}
    }
    if HoldRecord::request(key).is_some() {
        return keeps_hold(known, stored);
    }
    match (dialect.key(key), known, stored) {
        (ItemKey::Config | ItemKey::AdapterVersion, Some(known), Some(stored)) => {
            version(dialect, key, known) > version(dialect, key, stored)
        }
        (ItemKey::Backend(_), Some(known), Some(stored)) => {
            keeps_backend(backend(dialect, key, known), backend(dialect, key, stored))
        }
        (ItemKey::Config | ItemKey::AdapterVersion, known, _) => known.is_some(),
        // One that went is taken back with its next entry, and not with one from before it went.
        (ItemKey::Backend(_), _, _) => true,
        (ItemKey::EvacuatedHall(_), known, stored) => known.is_some() && stored.is_none(),
        (ItemKey::Unknown, _, _) => false,
    }
}

/// A record of the new era is newer than all that was known.
fn keeps_claim(era: StoreEra, known: Option<&[u8]>, stored: Option<&[u8]>) -> bool {
    let is_new =
        stored.and_then(ClaimRecord::read).is_some_and(|record| record.eras.written == era);
    known.is_some() && !is_new
}

/// A request that was cleared stays so, and of two holds the later one counts.
fn keeps_hold(known: Option<&[u8]>, stored: Option<&[u8]>) -> bool {
    let number = |bytes: &[u8]| HoldRecord::read(bytes).map_or(0, |record| record.number);
    match (known, stored) {
        (Some(known), Some(stored)) => number(known) > number(stored),
        (Some(_), None) | (None, _) => true,
    }
}

fn version(dialect: &dyn Dialect, key: &str, value: &[u8]) -> Option<u64> {
    match dialect.item(key, value).ok()?? {
        Item::Config(config) => Some(config.version),
        Item::AdapterVersion(_, version) => Some(version),
        Item::Backend(_) | Item::EvacuatedHall(_) => None,
    }
}

fn backend(dialect: &dyn Dialect, key: &str, value: &[u8]) -> Option<Backend> {
    match dialect.item(key, value).ok()?? {
        Item::Backend(backend) => Some(*backend),
        Item::Config(_) | Item::AdapterVersion(..) | Item::EvacuatedHall(_) => None,
    }
}

/// A later life is newer, and a server that leaves does so for the rest of its life.
fn keeps_backend(known: Option<Backend>, stored: Option<Backend>) -> bool {
    let (Some(known), Some(stored)) = (known, stored) else { return false };
    known.born > stored.born || (known.born == stored.born && known.draining && !stored.draining)
}
