//! What requests use and wish for, until the daemons that order the servers are told.

use super::adapter_demand::AdapterDemand;
use super::dialect::AdapterKey;
use crate::types::Time;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The same wish is told again after this if nothing came of it.
const WISH_AGAIN: Duration = Duration::from_millis(400);

/// Adapters asked for less than this are forgotten.
const FORGET_ASKS: f64 = 0.1;

/// An adapter wished for at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Wish {
    /// The server.
    pub server: Rc<str>,
    /// The adapter.
    pub key: AdapterKey,
    /// The oldest version that will do.
    pub version: u64,
    /// Requests that missed it since the last wish.
    pub requests: u16,
}

/// Uses and wishes that were not told yet.
#[derive(Debug, Default)]
pub struct DemandLog {
    uses: RefCell<HashMap<(Rc<str>, AdapterKey), u16>>,
    running: RefCell<HashMap<(Rc<str>, AdapterKey), u16>>,
    wishes: RefCell<Vec<Wish>>,
    wished_at: RefCell<HashMap<(AdapterKey, Rc<str>), Time>>,
    missed: RefCell<HashMap<AdapterKey, u16>>,
    asked: RefCell<HashMap<AdapterKey, AdapterDemand>>,
    wished: Notify,
    begun: RefCell<Vec<(Rc<str>, AdapterKey)>>,
    used: Notify,
}

impl DemandLog {
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
            self.begun.borrow_mut().push(place.clone());
            self.used.notify_one();
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

    /// Wishes for an adapter at a server, unless that was just done.
    pub fn wish(&self, now: Time, mut wish: Wish) {
        let mut wished_at = self.wished_at.borrow_mut();
        let place = (wish.key.clone(), wish.server.clone());
        let last = wished_at.insert(place.clone(), now);
        if let Some(last) = last.filter(|last| now.since(*last) < WISH_AGAIN) {
            wished_at.insert(place, last);
            return;
        }
        wish.requests = self.missed.borrow_mut().remove(&wish.key).unwrap_or(0);
        self.wishes.borrow_mut().push(wish);
        self.wished.notify_one();
    }

    /// Waits for a wish.
    pub async fn wished(&self) {
        self.wished.notified().await;
    }

    /// Takes the wishes not told yet.
    pub fn take_wishes(&self) -> Vec<Wish> {
        self.wishes.take()
    }

    /// Waits until an adapter that did not run at a server begins to be used there.
    pub async fn used(&self) {
        self.used.notified().await;
    }

    /// Takes the uses of adapters that began to run since the last look. They are told at once:
    /// an idle adapter may be dropped, and an unload of one in use holds up its server.
    pub fn take_begun(&self) -> Vec<(Rc<str>, AdapterKey, u16)> {
        let mut uses = self.uses.borrow_mut();
        let begun = self.begun.take().into_iter();
        begun
            .map(|(server, key)| {
                let times = uses.remove(&(server.clone(), key.clone())).unwrap_or_default();
                (server, key, times)
            })
            .collect()
    }

    /// Takes the uses not told yet; what still runs is told each time, with 0 further uses.
    pub fn take_uses(&self) -> Vec<(Rc<str>, AdapterKey, u16)> {
        let mut uses = self.uses.take();
        for place in self.running.borrow().keys() {
            uses.entry(place.clone()).or_default();
        }
        uses.into_iter().map(|((server, key), times)| (server, key, times)).collect()
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
    log: Rc<DemandLog>,
    place: (Rc<str>, AdapterKey),
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        let mut running = self.log.running.borrow_mut();
        let Some(count) = running.get_mut(&self.place) else { return };
        *count -= 1;
        if *count == 0 {
            running.remove(&self.place);
        }
    }
}
