//! Which server holds which adapter, from the store's list and from fresher notices.

use crate::gateway::dialect::AdapterKey;
use crate::gateway::fleet::backend::Backend;
use crate::types::Time;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// A notice of the planner outweighs the store's list for this long; by then the list has caught up.
pub const NOTICE_TTL: Duration = Duration::from_millis(4_000);
/// That an adapter could not be loaded at a server counts for this long.
pub const REFUSAL_TTL: Duration = Duration::from_millis(900);

/// Servers remembered for each adapter: a copy is made for what is asked for often, so a few.
const REMEMBERED: usize = 4;

/// What a notice says of an adapter at a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It can be used, at this version.
    Held(u64),
    /// It is on its way and expected at this time.
    Coming(u64, Time),
    /// It is not there, or about to go.
    Absent,
    /// It could not be loaded there.
    Refused,
}

#[derive(Debug, Clone, Copy)]
struct Notice {
    presence: Presence,
    until: Time,
}

#[derive(Debug, Clone, Default)]
struct Holders {
    listed: BTreeMap<Rc<str>, u64>,
    noticed: BTreeMap<Rc<str>, Notice>,
}

/// An index from adapters to the servers that hold them.
#[derive(Debug, Clone, Default)]
pub struct AdapterLocations {
    adapters: HashMap<AdapterKey, Holders>,
    /// Where each adapter was held last, the latest first, with its version there.
    held_once: HashMap<AdapterKey, Vec<(Rc<str>, u64)>>,
}

impl AdapterLocations {
    /// Takes a server's entry in, in place of its last one.
    pub fn list(&mut self, before: Option<&Backend>, now: Option<&Backend>) {
        if let Some(before) = before {
            for key in keys(before) {
                self.unlist(&key.0, &before.id);
            }
        }
        let Some(backend) = now else {
            if let Some(before) = before {
                self.forget_server(&before.id);
            }
            return;
        };
        for (key, version) in keys(backend) {
            self.remember(&key, &backend.id, version);
            let holders = self.adapters.entry(key).or_default();
            holders.listed.insert(backend.id.clone(), version);
        }
    }

    fn unlist(&mut self, key: &AdapterKey, id: &str) {
        let Some(holders) = self.adapters.get_mut(key) else { return };
        holders.listed.remove(id);
        if holders.listed.is_empty() && holders.noticed.is_empty() {
            self.adapters.remove(key);
        }
    }

    fn remember(&mut self, key: &AdapterKey, id: &Rc<str>, version: u64) {
        let servers = self.held_once.entry(key.clone()).or_default();
        servers.retain(|(server, _)| server != id);
        servers.insert(0, (id.clone(), version));
        servers.truncate(REMEMBERED);
    }

    fn forget_server(&mut self, id: &str) {
        self.held_once.retain(|_, servers| {
            servers.retain(|(server, _)| &**server != id);
            !servers.is_empty()
        });
    }

    /// A server has started again: it holds nothing of before, and notices of that say nothing any more.
    pub fn server_restarted(&mut self, id: &str) {
        self.forget_server(id);
        self.adapters.retain(|_, holders| {
            holders.listed.remove(id);
            holders.noticed.remove(id);
            !(holders.listed.is_empty() && holders.noticed.is_empty())
        });
    }

    /// True if a server held this version of an adapter and probably has a copy of it at hand.
    pub fn is_cached(&self, key: &AdapterKey, id: &str, version: u64) -> bool {
        let servers = self.held_once.get(key).into_iter().flatten();
        servers.into_iter().any(|(server, held)| &**server == id && *held == version)
    }

    /// Takes a notice in that outweighs the list until a time.
    pub fn notice(&mut self, key: &AdapterKey, id: &Rc<str>, presence: Presence, until: Time) {
        if let Presence::Held(version) = presence {
            self.remember(key, id, version);
        }
        let holders = self.adapters.entry(key.clone()).or_default();
        holders.noticed.insert(id.clone(), Notice { presence, until });
    }

    /// A server turned a request for a version away, or for any version: it does not hold it, until a
    /// time. A fresh notice that it holds a newer version stands: that took the other one's place.
    pub fn record_rejection(
        &mut self,
        now: Time,
        key: &AdapterKey,
        id: &Rc<str>,
        version: Option<u64>,
        until: Time,
    ) {
        let notice = self.adapters.get(key).and_then(|holders| holders.noticed.get(id));
        let held = notice.filter(|notice| notice.fresh(now)).and_then(Notice::usable);
        if version.is_some_and(|version| held.is_some_and(|held| held > version)) {
            return;
        }
        self.notice(key, id, Presence::Absent, until);
    }

    /// Forgets notices that the list has caught up with.
    pub fn expire_notices(&mut self, now: Time) {
        self.adapters.retain(|_, holders| {
            holders.noticed.retain(|_, notice| notice.fresh(now));
            !(holders.listed.is_empty() && holders.noticed.is_empty())
        });
    }

    /// The servers that can serve an adapter now, with its version there.
    pub fn holders(&self, now: Time, key: &AdapterKey) -> Vec<(Rc<str>, u64)> {
        let Some(holders) = self.adapters.get(key) else { return Vec::new() };
        let fresh = |id: &Rc<str>| holders.noticed.get(id).filter(|notice| notice.fresh(now));
        let listed = holders.listed.iter().filter(|(id, _)| fresh(id).is_none());
        let mut all: Vec<(Rc<str>, u64)> = listed.map(|(id, v)| (id.clone(), *v)).collect();
        for (id, notice) in holders.noticed.iter().filter(|(_, notice)| notice.fresh(now)) {
            if let Some(version) = notice.usable() {
                all.push((id.clone(), version));
            }
        }
        all
    }

    /// True if a fresh notice says that an adapter could not be loaded at a server.
    pub fn is_refused(&self, now: Time, key: &AdapterKey, id: &str) -> bool {
        let notice = self.adapters.get(key).and_then(|holders| holders.noticed.get(id));
        notice.is_some_and(|notice| notice.fresh(now) && notice.presence == Presence::Refused)
    }

    /// To how many servers an adapter is on its way at this version or a newer one.
    pub fn coming(&self, now: Time, key: &AdapterKey, least: u64) -> usize {
        let notices = self.adapters.get(key).into_iter().flat_map(|held| held.noticed.values());
        let coming = |notice: &&Notice| matches!(notice.presence, Presence::Coming(version, _) if version >= least);
        notices.filter(|notice| notice.fresh(now)).filter(coming).count()
    }

    /// When the adapter is expected at some server, if it is on its way.
    pub fn expected(&self, now: Time, key: &AdapterKey) -> Option<Time> {
        self.coming_to(now, key).map(|(_, at)| at).min()
    }

    /// The servers to which the adapter is on its way, and when it is expected there.
    pub fn coming_to<'a>(
        &'a self,
        now: Time,
        key: &AdapterKey,
    ) -> impl Iterator<Item = (&'a Rc<str>, Time)> + 'a {
        let notices = self.adapters.get(key).into_iter().flat_map(|held| &held.noticed);
        notices.filter_map(move |(id, notice)| match notice.presence {
            Presence::Coming(_, at) if notice.fresh(now) => Some((id, at)),
            _ => None,
        })
    }
}

impl Notice {
    fn fresh(&self, now: Time) -> bool {
        now < self.until
    }

    fn usable(&self) -> Option<u64> {
        match self.presence {
            Presence::Held(version) => Some(version),
            Presence::Coming(..) | Presence::Absent | Presence::Refused => None,
        }
    }
}

fn keys(backend: &Backend) -> impl Iterator<Item = (AdapterKey, u64)> + '_ {
    backend.models.iter().flat_map(|model| {
        model.adapters.iter().map(|held| {
            let key = AdapterKey { model: model.name.clone(), adapter: held.name.clone() };
            (key, held.version)
        })
    })
}
