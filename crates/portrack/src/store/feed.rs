//! What a follower of the store needs beyond single calls: changes with removals, and why a call
//! failed.

use super::kv::{Kv, KvEntry, KvError, KvPut, LocalFuture};
use super::position::{StoreEra, StorePosition};
use snafu::Snafu;
use std::time::Duration;

/// One change under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvChange {
    /// A key was written.
    Put(KvEntry),
    /// A key was removed at this revision.
    Deleted {
        /// The key.
        key: String,
        /// The revision of its removal.
        revision: u64,
    },
}

impl KvChange {
    /// The key that was written or removed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(held) => &held.key,
            Self::Deleted { key, .. } => key,
        }
    }
}

/// Changes after a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KvChanges {
    /// In order; empty if none came within the wait.
    pub changes: Vec<KvChange>,
    /// The era that revisions count in.
    pub era: StoreEra,
    /// The revision to go on from.
    pub revision: u64,
}

/// Why a reading call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KvReadError {
    /// The store turned the call away.
    #[snafu(display("refused with {status}"))]
    Refused {
        /// Its status.
        status: u16,
    },
    /// The connection was refused or broke off.
    #[snafu(display("connection broken"))]
    Disconnected,
    /// No answer within the time allowed.
    #[snafu(display("no answer"))]
    TimedOut,
    /// The answer cannot be read.
    #[snafu(display("malformed answer"))]
    Malformed,
    /// The history before the revision asked for is gone: read everything anew.
    #[snafu(display("history is gone"))]
    Compacted,
    /// The answer is of another era than the question: read everything anew.
    #[snafu(display("the store is in another era"))]
    OtherEra,
}

/// Several writes that happen together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KvTransaction {
    /// Keys with the revision of their last change, 0 for keys that must not be there.
    pub expected: Vec<(String, u64)>,
    /// Keys to write, with a lease or without.
    pub puts: Vec<(KvPut, Option<u64>)>,
}

/// How a transaction went.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvOutcome {
    /// It was carried out, at this revision.
    Committed(u64),
    /// A key has changed; these are the expected keys as they stand.
    Conflict(Vec<KvEntry>),
    /// A lease that it names is over.
    NoLease,
}

/// Reads whole prefixes, follows their changes, and writes several keys together.
pub trait KvStore: Kv {
    /// The newest era that an answer told; any answer may.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Carries a transaction out. If the answer is of another era than was known when it was sent, its conditions
    /// may have held for other values: that is [`KvError::Unknown`], here and in all other writes.
    fn transact<'a>(
        &'a self,
        transaction: &'a KvTransaction,
    ) -> LocalFuture<'a, Result<KvOutcome, KvError>>;

    /// All keys under a prefix, page by page.
    fn read_all<'a>(
        &'a self,
        prefix: &'a str,
    ) -> LocalFuture<'a, Result<super::KvList, KvReadError>>;

    /// Waits up to `wait` for changes under a prefix after a position.
    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        wait: Duration,
    ) -> LocalFuture<'a, Result<KvChanges, KvReadError>>;
}
