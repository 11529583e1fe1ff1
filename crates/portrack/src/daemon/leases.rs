//! One lease in the key-value service for all owned engines that check no fence.

use crate::store::Kv;
use crate::types::{Clock, EngineName, Fence, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// How long the lease lives without a renewal.
pub const LEASE_TTL: Duration = Duration::from_secs(30);
/// Without a renewal for this long, orders stop.
pub const ORDER_WITHIN: Duration = Duration::from_secs(15);
/// Between renewals.
pub const RENEW_EVERY: Duration = Duration::from_secs(10);

/// Our hold on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLock {
    /// The revision at which the key was created.
    pub fence: Fence,
    /// When the last renewal was sent that was answered.
    pub renewed_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: u64,
    renewed_at: Time,
}

/// The lease and the keys that hang on it.
pub struct Leases {
    kv: Rc<dyn Kv>,
    prefix: String,
    owner: String,
    lease: Cell<Option<Lease>>,
    /// Held while a lease is asked for, so that several engines share one.
    granting: tokio::sync::Mutex<()>,
    held: RefCell<BTreeMap<EngineName, Fence>>,
    /// Keys that are still to be removed.
    given_up: RefCell<BTreeMap<EngineName, Fence>>,
}

impl Leases {
    /// No lease yet. Keys begin with `prefix`; `owner` names this daemon in them.
    pub fn new(kv: Rc<dyn Kv>, prefix: String, owner: String) -> Self {
        Self {
            kv,
            prefix,
            owner,
            lease: Cell::new(None),
            granting: Default::default(),
            held: RefCell::default(),
            given_up: RefCell::default(),
        }
    }

    fn key(&self, engine: &EngineName) -> String {
        format!("{}owners/{engine}", self.prefix)
    }

    /// Takes the key of an engine, which its last owner's lease must have let go of.
    pub async fn acquire(&self, clock: &dyn Clock, engine: &EngineName) -> Option<Fence> {
        let lease = self.ensure_lease(clock).await?;
        if let Some(fence) = self.held.borrow().get(engine) {
            return Some(*fence);
        }
        let value = self.value(lease.id);
        let created = self.kv.create_leased(&self.key(engine), value, lease.id).await;
        let fence = match created {
            Ok(Some(revision)) => Fence(revision),
            Ok(None) | Err(_) => self.ours(engine, lease.id).await?,
        };
        let same_lease = self.lease.get().is_some_and(|current| current.id == lease.id);
        if !same_lease {
            return None;
        }
        self.given_up.borrow_mut().remove(engine);
        self.held.borrow_mut().insert(engine.clone(), fence);
        Some(fence)
    }

    /// Names the holder and the lease, so that a lost answer can be looked up.
    fn value(&self, lease: u64) -> Vec<u8> {
        format!("{} {lease}", self.owner).into_bytes()
    }

    /// After a lost answer: the key is ours if it names us and the lease that we hold.
    async fn ours(&self, engine: &EngineName, lease: u64) -> Option<Fence> {
        let held = self.kv.get(&self.key(engine)).await.ok()??;
        (held.value == self.value(lease)).then_some(Fence(held.revision))
    }

    async fn ensure_lease(&self, clock: &dyn Clock) -> Option<Lease> {
        let _granting = self.granting.lock().await;
        if let Some(lease) = self.lease.get()
            && clock.now().since(lease.renewed_at) < ORDER_WITHIN
        {
            return Some(lease);
        }
        let renewed_at = clock.now();
        let id = self.kv.grant_lease(LEASE_TTL).await.ok()?;
        let lease = Lease { id, renewed_at };
        self.held.borrow_mut().clear();
        self.lease.set(Some(lease));
        Some(lease)
    }

    /// Gives the key of an engine up, so that its next owner need not wait for the lease to lapse.
    pub async fn let_go(&self, engine: &EngineName) {
        let Some(fence) = self.held.borrow_mut().remove(engine) else { return };
        self.given_up.borrow_mut().insert(engine.clone(), fence);
        self.remove_given_up().await;
    }

    async fn remove_given_up(&self) {
        let given_up: Vec<_> =
            self.given_up.borrow().iter().map(|(e, fence)| (e.clone(), *fence)).collect();
        for (engine, fence) in given_up {
            if self.kv.remove(&self.key(&engine), fence.0).await.is_ok() {
                self.given_up.borrow_mut().remove(&engine);
            }
        }
    }

    /// Renews the lease; one that lapsed takes every hold with it.
    pub async fn renew(&self, clock: &dyn Clock) {
        self.remove_given_up().await;
        let Some(lease) = self.lease.get() else { return };
        let sent_at = clock.now();
        match self.kv.renew_lease(lease.id).await {
            Ok(true) => self.lease.set(Some(Lease { renewed_at: sent_at, ..lease })),
            Ok(false) => {
                self.lease.set(None);
                self.held.borrow_mut().clear();
            }
            Err(_) => {}
        }
    }

    /// Our hold on an engine, if there is one.
    pub fn lock_of(&self, engine: &EngineName) -> Option<HeldLock> {
        let fence = *self.held.borrow().get(engine)?;
        let renewed_at = self.lease.get()?.renewed_at;
        Some(HeldLock { fence, renewed_at })
    }

    /// True while an order to this engine is safe.
    pub fn may_order(&self, now: Time, engine: &EngineName) -> bool {
        let recent = |lock: HeldLock| now.since(lock.renewed_at) < ORDER_WITHIN;
        self.lock_of(engine).is_some_and(recent)
    }

    /// Lets go of everything, so that a successor need not wait.
    pub async fn revoke(&self) {
        if let Some(lease) = self.lease.take() {
            self.held.borrow_mut().clear();
            let _ = self.kv.revoke_lease(lease.id).await;
        }
    }
}
