//! The lease of engines that check no fence: its time check is what keeps two owners apart.

use portrack::daemon::{LEASE_TTL, Leases, ORDER_WITHIN};
use portrack::store::{Kv, KvEntry, KvError, KvList, KvPut, LocalFuture};
use portrack::types::{Clock, EngineName, ManualClock};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A store whose renewals succeed, fail, or find the lease gone.
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
async fn after_renewals_that_fail_no_order_may_leave() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(None);
    clock.advance(millis(ORDER_WITHIN) - 1);
    leases.renew(&clock).await;
    assert!(leases.may_order(clock.now(), &engine));
    clock.advance(1);
    assert!(!leases.may_order(clock.now(), &engine), "well before the lease can have lapsed");
    assert!(ORDER_WITHIN < LEASE_TTL);
}

#[actix_rt::test]
async fn after_a_pause_past_the_lease_no_order_may_leave() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(Some(true));
    clock.advance(millis(LEASE_TTL) * 3);
    assert!(!leases.may_order(clock.now(), &engine), "before anything else was done");
}

#[actix_rt::test]
async fn a_renewal_extends_the_right_from_when_it_was_sent() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(Some(true));
    clock.advance(millis(ORDER_WITHIN) - 1);
    leases.renew(&clock).await;
    clock.advance(millis(ORDER_WITHIN) - 1);
    assert!(leases.may_order(clock.now(), &engine));
}

#[actix_rt::test]
async fn a_lease_that_is_found_gone_takes_the_right_at_once() {
    let (store, clock, leases, engine) = held().await;
    store.renewal.set(Some(false));
    leases.renew(&clock).await;
    assert!(!leases.may_order(clock.now(), &engine));
    assert!(leases.lock_of(&engine).is_none());
}

#[actix_rt::test]
async fn an_engine_that_was_let_go_may_not_be_ordered() {
    let (_store, clock, leases, engine) = held().await;
    leases.let_go(&engine).await;
    assert!(!leases.may_order(clock.now(), &engine));
}
