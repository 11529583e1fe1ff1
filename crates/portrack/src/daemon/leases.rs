//! The lease in the key-value service that protects all owned engines that check no fence.

use crate::store::Kv;
use crate::types::{Clock, EngineName, Fence, Time};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Time to live of the lease.
pub const LEASE_TTL: Duration = Duration::from_secs(30);
/// No orders are sent once the last renewal is this old. Must be shorter than the lease lives.
pub const MAX_RENEWAL_AGE: Duration = Duration::from_secs(15);
/// Interval between renewals.
pub const RENEW_INTERVAL: Duration = Duration::from_secs(10);

/// The lock that this daemon holds on one engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLock {
    /// The revision at which the key was created.
    pub fence: Fence,
    /// When the last successful renewal was sent.
    pub renewed_at: Time,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    id: u64,
    renewed_at: Time,
}

/// The lease and the keys attached to it.
pub struct Leases {
    kv: Rc<dyn Kv>,
    prefix: String,
    owner: String,
    lease: Cell<Option<Lease>>,
    /// Locked while a lease is requested, so that all engines share one lease.
    granting: tokio::sync::Mutex<()>,
    held: RefCell<BTreeMap<EngineName, Fence>>,
    /// Released keys that are not removed yet.
    to_remove: RefCell<BTreeMap<EngineName, Fence>>,
}

impl Leases {
    /// Starts without a lease. Keys begin with `prefix`; `owner` names this daemon in their values.
    pub fn new(kv: Rc<dyn Kv>, prefix: String, owner: String) -> Self {
        Self {
            kv,
            prefix,
            owner,
            lease: Cell::new(None),
            granting: Default::default(),
            held: RefCell::default(),
            to_remove: RefCell::default(),
        }
    }

    fn key(&self, engine: &EngineName) -> String {
        format!("{}owners/{engine}", self.prefix)
    }

    /// Creates the key of an engine. Fails while the previous owner's lease still holds it.
    pub async fn acquire(&self, clock: &dyn Clock, engine: &EngineName) -> Option<Fence> {
        let lease = self.ensure_lease(clock).await?;
        if let Some(fence) = self.held.borrow().get(engine) {
            return Some(*fence);
        }
        let value = self.value(lease.id);
        let created = self.kv.create_leased(&self.key(engine), value, lease.id).await;
        let fence = match created {
            Ok(Some(revision)) => Fence(revision),
            Ok(None) | Err(_) => self.find_own_key(engine, lease.id).await?,
        };
        let same_lease = self.lease.get().is_some_and(|current| current.id == lease.id);
        if !same_lease {
            return None;
        }
        self.to_remove.borrow_mut().remove(engine);
        self.held.borrow_mut().insert(engine.clone(), fence);
        Some(fence)
    }

    /// The value names the holder and the lease, so that the outcome of a create call whose response
    /// was lost can be read back.
    fn value(&self, lease: u64) -> Vec<u8> {
        format!("{} {lease}", self.owner).into_bytes()
    }

    /// After a lost response: the key is held if its value names this daemon and the current lease.
    async fn find_own_key(&self, engine: &EngineName, lease: u64) -> Option<Fence> {
        let held = self.kv.get(&self.key(engine)).await.ok()??;
        (held.value == self.value(lease)).then_some(Fence(held.revision))
    }

    async fn ensure_lease(&self, clock: &dyn Clock) -> Option<Lease> {
        let _granting = self.granting.lock().await;
        if let Some(lease) = self.lease.get()
            && clock.now().since(lease.renewed_at) < MAX_RENEWAL_AGE
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

    /// Removes the key of an engine, so that the next owner need not wait until the lease expires.
    pub async fn release(&self, engine: &EngineName) {
        let Some(fence) = self.held.borrow_mut().remove(engine) else { return };
        self.to_remove.borrow_mut().insert(engine.clone(), fence);
        self.remove_released().await;
    }

    async fn remove_released(&self) {
        let to_remove: Vec<_> =
            self.to_remove.borrow().iter().map(|(e, fence)| (e.clone(), *fence)).collect();
        for (engine, fence) in to_remove {
            if self.kv.remove(&self.key(&engine), fence.0).await.is_ok() {
                self.to_remove.borrow_mut().remove(&engine);
            }
        }
    }

    /// Renews the lease. An expired lease ends every lock.
    pub async fn renew(&self, clock: &dyn Clock) {
        self.remove_released().await;
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

    /// Returns the lock on an engine, if it is held.
    pub fn lock_of(&self, engine: &EngineName) -> Option<HeldLock> {
        let fence = *self.held.borrow().get(engine)?;
        let renewed_at = self.lease.get()?.renewed_at;
        Some(HeldLock { fence, renewed_at })
    }

    /// Whether an order to this engine is safe now.
    pub fn may_order(&self, now: Time, engine: &EngineName) -> bool {
        let recent = |lock: HeldLock| now.since(lock.renewed_at) < MAX_RENEWAL_AGE;
        self.lock_of(engine).is_some_and(recent)
    }

    /// Revokes the lease, so that the next owners need not wait.
    pub async fn revoke(&self) {
        if let Some(lease) = self.lease.take() {
            self.held.borrow_mut().clear();
            let _ = self.kv.revoke_lease(lease.id).await;
        }
    }
}
