//! Records adapter usage and load requests until they are sent to the daemons that hold the claims
//! on the servers.

use crate::gateway::dialect::AdapterKey;
use crate::gateway::orders::adapter_demand::AdapterDemand;
use crate::types::Time;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Interval after which an unfulfilled load request is sent again.
const REQUEST_INTERVAL: Duration = Duration::from_millis(400);

/// Adapters with fewer recent requests are forgotten.
const MIN_RECENT_REQUESTS: f64 = 0.1;

/// A request to load an adapter on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadRequest {
    /// The server.
    pub server: Rc<str>,
    /// The adapter.
    pub key: AdapterKey,
    /// The oldest acceptable version.
    pub version: u64,
    /// Requests that the load would help; [`AdapterDemandTracker::request_load`] adds those that
    /// missed the adapter since the last load request.
    pub requests: u16,
}

/// The use that this daemon's requests make of an adapter on a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The server.
    pub server: Rc<str>,
    /// The adapter.
    pub key: AdapterKey,
    /// Requests started since the last report.
    pub times: u16,
    /// Whether a request is running.
    pub running: bool,
}

/// Collects usage and load requests that have not been sent yet.
#[derive(Debug, Default)]
pub struct AdapterDemandTracker {
    uses: RefCell<HashMap<(Rc<str>, AdapterKey), u16>>,
    running: RefCell<HashMap<(Rc<str>, AdapterKey), u16>>,
    load_requests: RefCell<Vec<LoadRequest>>,
    requested_at: RefCell<HashMap<(AdapterKey, Rc<str>), Time>>,
    missed: RefCell<HashMap<AdapterKey, u16>>,
    requested: RefCell<HashMap<AdapterKey, AdapterDemand>>,
    load_requested: Notify,
    changed: RefCell<HashSet<(Rc<str>, AdapterKey)>>,
    usage_changed: Notify,
}

impl AdapterDemandTracker {
    /// Counts a request that uses an adapter on a server. It counts as running until the guard is
    /// dropped.
    pub fn begin(self: &Rc<Self>, server: &Rc<str>, key: &AdapterKey) -> UsageGuard {
        let entry = (server.clone(), key.clone());
        let mut uses = self.uses.borrow_mut();
        let times = uses.entry(entry.clone()).or_default();
        *times = times.saturating_add(1);
        let mut running = self.running.borrow_mut();
        let count = running.entry(entry.clone()).or_default();
        if *count == 0 {
            self.changed.borrow_mut().insert(entry.clone());
            self.usage_changed.notify_one();
        }
        *count = count.saturating_add(1);
        UsageGuard { tracker: self.clone(), entry }
    }

    /// Counts a request for an adapter, whether or not the adapter is loaded.
    pub fn record_request(&self, now: Time, key: &AdapterKey) {
        self.requested.borrow_mut().entry(key.clone()).or_default().used(now, 1);
    }

    /// Decayed count of this daemon's recent requests for an adapter.
    pub fn recent_requests(&self, now: Time, key: &AdapterKey) -> f64 {
        self.requested.borrow().get(key).map_or(0.0, |demand| demand.rate(now))
    }

    /// Counts a request whose adapter is not loaded.
    pub fn record_miss(&self, key: &AdapterKey) {
        let mut missed = self.missed.borrow_mut();
        let count = missed.entry(key.clone()).or_default();
        *count = count.saturating_add(1);
    }

    /// Requests a load unless the same load was requested a moment ago. Returns whether it was
    /// added.
    pub fn request_load(&self, now: Time, mut request: LoadRequest) -> bool {
        let mut requested_at = self.requested_at.borrow_mut();
        let entry = (request.key.clone(), request.server.clone());
        let last = requested_at.insert(entry.clone(), now);
        if let Some(last) = last.filter(|last| now.since(*last) < REQUEST_INTERVAL) {
            requested_at.insert(entry, last);
            return false;
        }
        let missed = self.missed.borrow_mut().remove(&request.key).unwrap_or(0);
        request.requests = request.requests.saturating_add(missed);
        self.load_requests.borrow_mut().push(request);
        self.load_requested.notify_one();
        true
    }

    /// Waits for a load request.
    pub async fn load_requested(&self) {
        self.load_requested.notified().await;
    }

    /// Takes the load requests that have not been sent yet.
    pub fn take_load_requests(&self) -> Vec<LoadRequest> {
        self.load_requests.take()
    }

    /// Waits until an adapter comes into use on a server or goes out of use.
    pub async fn usage_changed(&self) {
        self.usage_changed.notified().await;
    }

    /// Takes the adapters that came into use or went out of use since the last call. Both are
    /// reported at once: an idle adapter may be evicted, unloading an adapter in use blocks its
    /// server, and an adapter wrongly believed to be in use wastes a slot.
    pub fn take_changed(&self) -> Vec<UsageReport> {
        let changed = self.changed.take().into_iter();
        changed.map(|entry| self.usage_at(entry)).collect()
    }

    fn usage_at(&self, entry: (Rc<str>, AdapterKey)) -> UsageReport {
        let times = self.uses.borrow_mut().remove(&entry).unwrap_or_default();
        let running = self.running.borrow().contains_key(&entry);
        UsageReport { server: entry.0, key: entry.1, times, running }
    }

    /// Takes the usage that has not been sent yet. Adapters still in use are reported every time,
    /// even with no new requests.
    pub fn take_usage(&self) -> Vec<UsageReport> {
        let entries: HashSet<_> =
            self.running.borrow().keys().chain(self.uses.borrow().keys()).cloned().collect();
        entries.into_iter().map(|entry| self.usage_at(entry)).collect()
    }

    /// Drops old load requests, and adapters that are no longer requested.
    pub fn sweep(&self, now: Time) {
        self.requested.borrow_mut().retain(|_, demand| demand.rate(now) > MIN_RECENT_REQUESTS);
        self.requested_at.borrow_mut().retain(|_, at| now.since(*at) < REQUEST_INTERVAL);
    }
}

/// Marks an adapter as in use on a server until dropped.
#[derive(Debug)]
pub struct UsageGuard {
    tracker: Rc<AdapterDemandTracker>,
    entry: (Rc<str>, AdapterKey),
}

impl Drop for UsageGuard {
    fn drop(&mut self) {
        let mut running = self.tracker.running.borrow_mut();
        let Some(count) = running.get_mut(&self.entry) else { return };
        *count -= 1;
        if *count == 0 {
            running.remove(&self.entry);
            self.tracker.changed.borrow_mut().insert(self.entry.clone());
            self.tracker.usage_changed.notify_one();
        }
    }
}
