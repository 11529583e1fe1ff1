//! Tests of the lease of engines that check no fence. Only its time check prevents two owners from
//! sending orders at the same time.

use portrack::daemon::{LEASE_TTL, Leases, MAX_RENEWAL_AGE};
use portrack::store::{Kv, KvEntry, KvError, KvList, KvPut, LocalFuture};
use portrack::types::{Clock, EngineName, ManualClock};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A store whose renewals succeed, fail, or report that the lease has expired.
#[derive(Default)]
struct Store {
    keys: RefCell<BTreeMap<String, (u64, Vec<u8>)>>,
    revision: Cell<u64>,
    renewal: Cell<Option<bool>>,
}

impl Kv for Store {
    fn get<'a>(&'a self, key: &'a str) -> LocalFuture<'a, Result<Option<KvEntry>, KvError>> {
        let held = self.keys.borrow().get(key).cloned();
        let held = held.map(|(revision, value)| KvEntry { key: key.into(), revision, value });
        Box::pin(async move { Ok(held) })
    }
    fn list<'a>(&'a self, _: &'a str) -> LocalFuture<'a, Result<KvList, KvError>> {
        Box::pin(async { Err(KvError::Unavailable) })
    }
    fn swap<'a>(
        &'a self,
        _: &'a str,
        _: u64,
        _: Vec<KvPut>,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>> {
        Box::pin(async { Err(KvError::Unavailable) })
    }
    fn watch<'a>(
        &'a self,
        _: &'a str,
        _: u64,
        _: Duration,
    ) -> LocalFuture<'a, Result<Vec<KvEntry>, KvError>> {
        Box::pin(async { Err(KvError::Unavailable) })
    }
    fn grant_lease(&self, _: Duration) -> LocalFuture<'_, Result<u64, KvError>> {
        Box::pin(async { Ok(7) })
    }
    fn renew_lease(&self, _: u64) -> LocalFuture<'_, Result<bool, KvError>> {
        Box::pin(async { self.renewal.get().ok_or(KvError::Unknown) })
    }
    fn create_leased<'a>(
        &'a self,
        key: &'a str,
        value: Vec<u8>,
        _: u64,
    ) -> LocalFuture<'a, Result<Option<u64>, KvError>> {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.keys.borrow_mut().insert(key.into(), (revision, value));
        Box::pin(async move { Ok(Some(revision)) })
    }
    fn remove<'a>(&'a self, key: &'a str, _: u64) -> LocalFuture<'a, Result<bool, KvError>> {
        self.keys.borrow_mut().remove(key);
        Box::pin(async { Ok(true) })
    }
    fn revoke_lease(&self, _: u64) -> LocalFuture<'_, Result<(), KvError>> {
        Box::pin(async { Ok(()) })
    }
}

async fn held() -> (Rc<Store>, ManualClock, Leases, EngineName) {
    let store = Rc::new(Store::default());
    let clock = ManualClock::default();
    clock.advance(1_000);
    let leases = Leases::new(store.clone(), "p/".into(), "a1".into());
    let engine: EngineName = "e1".parse().expect("a name");
    assert!(leases.acquire(&clock, &engine).await.is_some());
    assert!(leases.may_order(clock.now(), &engine));
    (store, clock, leases, engine)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).expect("fits")
}

#[actix_rt::test]
async fn failed_renewals_stop_orders_before_the_lease_expires() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(None);
    clock.advance(millis(MAX_RENEWAL_AGE) - 1);
    leases.renew(&clock).await;
    assert!(leases.may_order(clock.now(), &engine));
    clock.advance(1);
    assert!(
        !leases.may_order(clock.now(), &engine),
        "orders must stop before the lease can expire"
    );
    assert!(MAX_RENEWAL_AGE < LEASE_TTL);
}

#[actix_rt::test]
async fn no_orders_after_a_pause_longer_than_the_lease() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(Some(true));
    clock.advance(millis(LEASE_TTL) * 3);
    assert!(!leases.may_order(clock.now(), &engine), "orders must stop without a failed renewal");
}

#[actix_rt::test]
async fn a_renewal_counts_from_when_it_was_sent() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(Some(true));
    clock.advance(millis(MAX_RENEWAL_AGE) - 1);
    leases.renew(&clock).await;
    clock.advance(millis(MAX_RENEWAL_AGE) - 1);
    assert!(leases.may_order(clock.now(), &engine));
}

#[actix_rt::test]
async fn an_expired_lease_stops_orders_at_once() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(Some(false));
    leases.renew(&clock).await;
    assert!(!leases.may_order(clock.now(), &engine));
    assert!(leases.lock_of(&engine).is_none());
}

#[actix_rt::test]
async fn a_released_engine_gets_no_orders() {
    let (_store, clock, leases, engine) = held().await;
    leases.release(&engine).await;
    assert!(!leases.may_order(clock.now(), &engine));
}
