//! A store whose calls are counted by kind, since every call has a cost on the users' machines.

use super::kv::{Kv, KvEntry, KvError, KvList, KvPut, LocalFuture};
use super::kv_store::{KvChanges, KvOutcome, KvReadError, KvStore, KvTransaction};
use super::position::{StoreEra, StorePosition};
use prometheus::IntCounterVec;
use std::rc::Rc;
use std::time::Duration;

/// Forwards every call and counts it. A complete read counts as one call, however many pages it
/// takes.
pub struct CountedStore {
    inner: Rc<dyn KvStore>,
    calls: IntCounterVec,
}

impl CountedStore {
    /// Counts the calls to `inner` in `calls`, which has one label, the kind of call.
    pub fn new(inner: Rc<dyn KvStore>, calls: IntCounterVec) -> Self {
        Self { inner, calls }
    }

    fn count(&self, kind: &str) {
        self.calls.with_label_values(&[kind]).inc();
    }
}

impl Kv for CountedStore {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<KvEntry>, KvError>> {
        self.count("get");
        self.inner.get(key)
    }

    fn list<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<KvList, KvError>> {
        self.count("list");
        self.inner.list(prefix)
    }

    fn swap<'a>(
        &'a self,
        key: &'a str,
        revision: u64,
        puts: Vec<KvPut>,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>> {
        self.count("transact");
        self.inner.swap(key, revision, puts)
    }

    fn watch<'a>(
        &'a self,
        prefix: &'a str,
        revision: u64,
        wait: Duration,
    ) -> LocalFuture<'a, Result<Vec<KvEntry>, KvError>> {
        self.count("watch");
        self.inner.watch(prefix, revision, wait)
    }

    fn grant_lease(&self, ttl: Duration) -> LocalFuture<'_, Result<u64, KvError>> {
        self.count("lease");
        self.inner.grant_lease(ttl)
    }

    fn renew_lease(&self, lease: u64) -> LocalFuture<'_, Result<bool, KvError>> {
        self.count("renew");
        self.inner.renew_lease(lease)
    }

    fn create_leased<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        lease: u64,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>> {
        self.count("transact");
        self.inner.create_leased(key, value, lease)
    }

    fn remove<'a>(&'a self, key: &'a str, revision: u64) -> LocalFuture<'a, Result<bool, KvError>> {
        self.count("transact");
        self.inner.remove(key, revision)
    }

    fn revoke_lease(&self, lease: u64) -> LocalFuture<'_, Result<(), KvError>> {
        self.count("lease");
        self.inner.revoke_lease(lease)
    }
}

impl KvStore for CountedStore {
    fn era(&self) -> StoreEra {
        self.inner.era()
    }

    fn transact<'a>(
        &'a self,
        transaction: &'a KvTransaction,
    ) -> LocalFuture<'a, Result<KvOutcome, KvError>> {
        self.count("transact");
        self.inner.transact(transaction)
    }

    fn read_all<'a>(&'a self, prefix: &'a str) -> LocalFuture<'a, Result<KvList, KvReadError>> {
        self.count("read");
        self.inner.read_all(prefix)
    }

    fn changes<'a>(
        &'a self,
        prefix: &'a str,
        after: StorePosition,
        wait: Duration,
    ) -> LocalFuture<'a, Result<KvChanges, KvReadError>> {
        self.count("watch");
        self.inner.changes(prefix, after, wait)
    }
}
