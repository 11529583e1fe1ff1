//! Operations beyond single-key calls: changes with removals, transactions, and the errors of
//! reads.

use super::kv::{Kv, KvEntry, KvError, KvPut, LocalFuture};
use super::position::{StoreEra, StorePosition};
use snafu::Snafu;
use std::time::Duration;

/// One change under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvChange {
    /// A key was written.
    Put(KvEntry),
    /// A key was removed.
    Deleted {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: u64,
    },
}

impl KvChange {
    /// The key that was written or removed.
    pub fn key(&self) -> &str {
        match self {
            Self::Put(entry) => &entry.key,
            Self::Deleted { key, .. } => key,
        }
    }
}

/// Changes after a revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KvChanges {
    /// The changes in order; empty if none happened within the wait.
    pub changes: Vec<KvChange>,
    /// The era that revisions count in.
    pub era: StoreEra,
    /// The revision to continue from.
    pub revision: u64,
}

/// Why a read or a watch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KvReadError {
    /// The store rejected the call.
    #[snafu(display("rejected with status {status}"))]
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// The connection was refused or closed.
    #[snafu(display("connection refused or closed"))]
    Disconnected,
    /// There was no response within the timeout.
    #[snafu(display("no response within the timeout"))]
    TimedOut,
    /// The response could not be parsed.
    #[snafu(display("malformed response"))]
    Malformed,
    /// The store no longer has the history after the requested revision. Everything must be read
    /// again.
    #[snafu(display("history after the requested revision is no longer available"))]
    Compacted,
    /// The response is of another era than the request. Everything must be read again.
    #[snafu(display("response is of another store era"))]
    OtherEra,
}

/// Several writes that are committed together or not at all.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct KvTransaction {
    /// Keys with the expected revision of their last change, 0 for keys that must not exist.
    pub expected: Vec<(String, u64)>,
    /// Keys to write, each with an optional lease.
    pub puts: Vec<(KvPut, Option<u64>)>,
}

/// The outcome of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvOutcome {
    /// It was committed at this revision.
    Committed(u64),
    /// A key has changed. Contains the current state of the expected keys.
    Conflict(Vec<KvEntry>),
    /// A lease that the transaction names has expired.
    NoLease,
}

/// A key-value service with complete reads of a prefix, incremental changes and transactions.
pub trait KvStore: Kv {
    /// The newest era that any response has reported.
    fn era(&self) -> StoreEra {
        StoreEra::default()
    }

    /// Executes a transaction. If the response is of another era than was known when the request
    /// was sent, the conditions may have entry for other values; this returns [`KvError::Unknown`],
    /// as do all other writes.
    fn transact<'a>(
        &'a self,
        transaction: &'a KvTransaction,
    ) -> LocalFuture<'a, Result<KvOutcome, KvError>>;

    /// Reads all keys under a prefix, page by page.
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
