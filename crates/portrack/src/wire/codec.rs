//! Encodes and decodes datagrams.
//!
//! A datagram consists of a version byte, an authentication tag and the envelope in postcard.

use super::error::{MalformedSnafu, WireError};
use super::key::{KeyRing, TAG_LEN};
use super::{Envelope, Message};
use crate::types::{Instance, NodeName};
use snafu::{ResultExt, ensure};
use xxhash_rust::xxh3::xxh3_64;

/// The protocol version.
pub const VERSION: u8 = 1;
/// Largest datagram in bytes: one Ethernet frame less the overhead of tunnels.
pub const MAX_DATAGRAM: usize = 1_400;

const HEADER_LEN: usize = 1 + TAG_LEN;

/// Hash of the cluster name, carried in every datagram.
pub fn cluster_hash(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) >> 32) as u32
}

/// Encodes and signs an envelope.
pub fn seal(ring: &KeyRing, envelope: &Envelope) -> Result<Vec<u8>, WireError> {
    let body = postcard::to_allocvec(envelope).context(MalformedSnafu)?;
    let datagram = seal_bytes(ring, &body);
    let size = datagram.len();
    ensure!(size <= MAX_DATAGRAM, super::error::TooLargeSnafu { size, limit: MAX_DATAGRAM });
    Ok(datagram)
}

/// Verifies and decodes a datagram addressed to `me`.
pub fn open(
    ring: &KeyRing,
    cluster: u32,
    me: &NodeName,
    datagram: &[u8],
) -> Result<(Instance, u64, Message), WireError> {
    let size = datagram.len();
    ensure!(size <= MAX_DATAGRAM, super::error::TooLargeSnafu { size, limit: MAX_DATAGRAM });
    let body = open_bytes(ring, datagram)?;
    let envelope: Envelope = postcard::from_bytes(body).context(MalformedSnafu)?;
    ensure!(envelope.cluster == cluster, super::error::ClusterSnafu);
    ensure!(envelope.to == *me, super::error::ReceiverSnafu);
    Ok((envelope.from, envelope.seq, envelope.body))
}

pub(super) fn seal_bytes(ring: &KeyRing, body: &[u8]) -> Vec<u8> {
    let mut sealed = Vec::with_capacity(HEADER_LEN + body.len());
    sealed.push(VERSION);
    sealed.extend_from_slice(&ring.sign(body));
    sealed.extend_from_slice(body);
    sealed
}

pub(super) fn open_bytes<'a>(ring: &KeyRing, sealed: &'a [u8]) -> Result<&'a [u8], WireError> {
    ensure!(sealed.len() > HEADER_LEN, super::error::TruncatedSnafu);
    let version = sealed[0];
    ensure!(version == VERSION, super::error::VersionSnafu { version });
    let (tag, body) = sealed[1..].split_at(TAG_LEN);
    ensure!(ring.verify(body, tag), super::error::TagSnafu);
    Ok(body)
}
