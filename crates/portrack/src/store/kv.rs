//! What portrack needs of a key-value service.

use super::position::StoreEra;
use snafu::Snafu;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A future that stays on its thread.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Why a call has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KvError {
    /// The call was certainly not carried out.
    #[snafu(display("the key-value service is unavailable"))]
    Unavailable,
    /// The call may have been carried out.
    #[snafu(display("the key-value service did not answer"))]
    Unknown,
}

/// A key with its value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// Keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvList {
    /// The era that revisions count in.
    pub era: StoreEra,
    /// The service's revision at the time.
    pub revision: u64,
    /// The keys.
    pub entries: Vec<KvEntry>,
}

/// One write of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvPut {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// A key-value service with compare-and-swap, leases and watches. Each method is one call.
pub trait Kv {
    /// One key.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<KvEntry>, KvError>>;

    /// All keys under a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<KvList, KvError>>;

    /// Writes `puts` if `key` was last changed at `revision`, 0 for a key that is not there.
    /// Returns the new revision, or `None` if another change came before.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        revision: u64,
        puts: Vec<KvPut>,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>>;

    /// Waits up to `wait` for changes under a prefix from `revision` on.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Vec<KvEntry>, KvError>>;

    /// A new lease that lapses `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<u64, KvError>>;

    /// Renews a lease. False if it has lapsed.
    fn renew_lease(&self, lease: u64) -> LocalFuture<'_, Result<bool, KvError>>;

    /// Creates a key that vanishes with the lease. Returns its revision, or `None` if it exists.
    fn create_leased<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: u64,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>>;

    /// Removes a key that was last changed at `revision`. False if it has changed since.
    fn remove<'a>(&'a self, key: &'a str, revision: u64) -> LocalFuture<'a, Result<bool, KvError>>;

    /// Ends a lease and its keys at once.
    fn revoke_lease(&self, lease: u64) -> LocalFuture<'_, Result<(), KvError>>;
}
