//! What requests use and wish for, until the daemons that order the servers are told.

use crate::gateway::dialect::AdapterKey;
use crate::gateway::orders::adapter_demand::AdapterDemand;
use crate::types::Time;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The same wish is told again after this if nothing came of it.
const WISH_AGAIN: Duration = Duration::from_millis(400);

/// Adapters asked for less than this are forgotten.
const FORGET_ASKS: f64 = 0.1;

/// An adapter wished for at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRequest {
    /// The server.
    pub server: Rc<str>,
    /// The adapter.
    pub key: AdapterKey,
    /// The oldest version that will do.
    pub version: u64,
    /// Requests that it would help; those that missed it since the last wish are added.
    pub requests: u16,
}

/// What this daemon's requests do with an adapter at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The server.
    pub server: Rc<str>,
    /// The adapter.
    pub key: AdapterKey,
    /// Requests that began since this was last told.
    pub times: u16,
    /// A request runs there now.
    pub running: bool,
}

/// Uses and wishes that were not told yet.
#[derive(Debug, Default)]
pub struct AdapterDemandTracker {
    uses: RefCell<HashMap<(Rc<str>, AdapterKey), u16>>,
    running: RefCell<HashMap<(Rc<str>, AdapterKey), u16>>,
    wishes: RefCell<Vec<LoadRequest>>,
    wished_at: RefCell<HashMap<(AdapterKey, Rc<str>), Time>>,
    missed: RefCell<HashMap<AdapterKey, u16>>,
    asked: RefCell<HashMap<AdapterKey, AdapterDemand>>,
    wished: Notify,
    turned: RefCell<HashSet<(Rc<str>, AdapterKey)>>,
    usage_changed: Notify,
}

impl AdapterDemandTracker {
    /// Counts a request that uses an adapter at a server, and runs there until the guard is
    /// dropped.
    pub fn begin(self: &Rc<Self>, server: &Rc<str>, key: &AdapterKey) -> UseGuard {
        let place = (server.clone(), key.clone());
        let mut uses = self.uses.borrow_mut();
        let times = uses.entry(place.clone()).or_default();
        *times = times.saturating_add(1);
        let mut running = self.running.borrow_mut();
        let count = running.entry(place.clone()).or_default();
        if *count == 0 {
            self.turned.borrow_mut().insert(place.clone());
            self.usage_changed.notify_one();
        }
        *count = count.saturating_add(1);
        UseGuard { log: self.clone(), place }
    }

    /// Counts a request for an adapter, whether it is there or not.
    pub fn asked(&self, now: Time, key: &AdapterKey) {
        self.asked.borrow_mut().entry(key.clone()).or_default().used(now, 1);
    }

    /// Requests for an adapter that came to this daemon in the last seconds, fading.
    pub fn asks(&self, now: Time, key: &AdapterKey) -> f64 {
        self.asked.borrow().get(key).map_or(0.0, |demand| demand.rate(now))
    }

    /// Counts a request that does not find its adapter.
    pub fn missed(&self, key: &AdapterKey) {
        let mut missed = self.missed.borrow_mut();
        let count = missed.entry(key.clone()).or_default();
        *count = count.saturating_add(1);
    }

    /// Wishes for an adapter at a server, unless that was just done; true if it is wished for now.
    pub fn wish(&self, now: Time, mut wish: LoadRequest) -> bool {
        let mut wished_at = self.wished_at.borrow_mut();
        let place = (wish.key.clone(), wish.server.clone());
        let last = wished_at.insert(place.clone(), now);
        if let Some(last) = last.filter(|last| now.since(*last) < WISH_AGAIN) {
            wished_at.insert(place, last);
            return false;
        }
        let missed = self.missed.borrow_mut().remove(&wish.key).unwrap_or(0);
        wish.requests = wish.requests.saturating_add(missed);
        self.wishes.borrow_mut().push(wish);
        self.wished.notify_one();
        true
    }

    /// Waits for a wish.
    pub async fn load_requested(&self) {
        self.wished.notified().await;
    }

    /// Takes the wishes not told yet.
    pub fn take_load_requests(&self) -> Vec<LoadRequest> {
        self.wishes.take()
    }

    /// Waits until an adapter begins to be used at a server, or is no longer.
    pub async fn usage_changed(&self) {
        self.usage_changed.notified().await;
    }

    /// Takes the adapters that began or ceased to be used since the last look. Both are told at
    /// once: what is idle may be dropped, an unload of what is in use holds up its server, and a
    /// place that is thought to be in use is wasted.
    pub fn take_changed(&self) -> Vec<UsageReport> {
        let turned = self.turned.take().into_iter();
        turned.map(|place| self.use_of(place)).collect()
    }

    fn use_of(&self, place: (Rc<str>, AdapterKey)) -> UsageReport {
        let times = self.uses.borrow_mut().remove(&place).unwrap_or_default();
        let running = self.running.borrow().contains_key(&place);
        UsageReport { server: place.0, key: place.1, times, running }
    }

    /// Takes the uses not told yet; what still runs is told each time, with 0 further uses.
    pub fn take_usage(&self) -> Vec<UsageReport> {
        let places: HashSet<_> =
            self.running.borrow().keys().chain(self.uses.borrow().keys()).cloned().collect();
        places.into_iter().map(|place| self.use_of(place)).collect()
    }

    /// Forgets old wishes, and adapters that nobody asks for any more.
    pub fn sweep(&self, now: Time) {
        self.asked.borrow_mut().retain(|_, demand| demand.rate(now) > FORGET_ASKS);
        self.wished_at.borrow_mut().retain(|_, at| now.since(*at) < WISH_AGAIN);
    }
}

/// A request that runs at a server with an adapter.
#[derive(Debug)]
pub struct UseGuard {
    log: Rc<AdapterDemandTracker>,
    place: (Rc<str>, AdapterKey),
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        let mut running = self.log.running.borrow_mut();
        let Some(count) = running.get_mut(&self.place) else { return };
        *count -= 1;
        if *count == 0 {
            running.remove(&self.place);
            self.log.turned.borrow_mut().insert(self.place.clone());
            self.log.usage_changed.notify_one();
        }
    }
}
