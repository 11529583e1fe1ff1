//! The interface of a key-value service.

use super::position::StoreEra;
use snafu::Snafu;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

/// A boxed future that is not `Send`.
pub type LocalFuture<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
pub enum KvError {
    /// The call was certainly not executed.
    #[snafu(display("the key-value service is unavailable"))]
    Unavailable,
    /// The call may have been executed.
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

/// All keys under a prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvList {
    /// The era that revisions count in.
    pub era: StoreEra,
    /// The service's revision at the time of the read.
    pub revision: u64,
    /// The keys with their values.
    pub entries: Vec<KvEntry>,
}

/// A single write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KvPut {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
}

/// A key-value service with compare-and-swap, leases and watches. Each method is one call.
pub trait Kv {
    /// Reads one key.
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<KvEntry>, KvError>>;

    /// Reads all keys under a prefix.
    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<KvList, KvError>>;

    /// Writes `puts` if `key` was last changed at `revision`, 0 for a key that must not exist.
    /// Returns the new revision, or `None` if the key has changed since.
    fn swap<'a>(
        &'a self,
        key: &'a str,
        revision: u64,
        puts: Vec<KvPut>,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>>;

    /// Waits up to `wait` for changes under a prefix, starting at `revision`.
    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Vec<KvEntry>, KvError>>;

    /// Creates a lease that expires `ttl` after its last renewal.
    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<u64, KvError>>;

    /// Renews a lease. Returns false if it has expired.
    fn renew_lease(&self, lease: u64) -> LocalFuture<'_, Result<bool, KvError>>;

    /// Creates a key that is removed with the lease. Returns its revision, or `None` if it already
    /// exists.
    fn create_leased<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: u64,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>>;

    /// Removes a key that was last changed at `revision`. Returns false if it has changed since.
    fn remove<'a>(&'a self, key: &'a str, revision: u64) -> LocalFuture<'a, Result<bool, KvError>>;

    /// Revokes a lease and removes its keys immediately.
    fn revoke_lease(&self, lease: u64) -> LocalFuture<'_, Result<(), KvError>>;
}
