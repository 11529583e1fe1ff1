//! Tracks which servers hold which adapters, from the store's server entries and from more recent
//! notices.

use crate::gateway::dialect::AdapterKey;
use crate::gateway::fleet::backend::Backend;
use crate::types::Time;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

/// How long a planner notice overrides the store's entries, which are up to date after that.
pub const NOTICE_TTL: Duration = Duration::from_millis(4_000);
/// How long a failed load on a server is remembered.
pub const REFUSAL_TTL: Duration = Duration::from_millis(900);

/// Past holders remembered per adapter. A few are enough, since only frequently requested adapters
/// are copied.
const MAX_PAST_HOLDERS: usize = 4;

/// The state of an adapter on a server according to a notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// Usable at this version.
    Held(u64),
    /// Loading this version, expected at this time.
    Coming(u64, Time),
    /// Not loaded, or about to be unloaded.
    Absent,
    /// Could not be loaded.
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

/// Index from adapters to the servers that hold them.
#[derive(Debug, Clone, Default)]
pub struct AdapterLocations {
    adapters: HashMap<AdapterKey, Holders>,
    /// The last holders of each adapter with the version they held, most recent first.
    past_holders: HashMap<AdapterKey, Vec<(Rc<str>, u64)>>,
}

impl AdapterLocations {
    /// Replaces a server's entry.
    pub fn list(&mut self, before: Option<&Backend>, now: Option<&Backend>) {
        if let Some(before) = before {
            for key in keys(before) {
                self.remove_listed(&key.0, &before.id);
            }
        }
        let Some(backend) = now else {
            if let Some(before) = before {
                self.forget_server(&before.id);
            }
            return;
        };
        for (key, version) in keys(backend) {
            self.remember_holder(&key, &backend.id, version);
            let holders = self.adapters.entry(key).or_default();
            holders.listed.insert(backend.id.clone(), version);
        }
    }

    fn remove_listed(&mut self, key: &AdapterKey, id: &str) {
        let Some(holders) = self.adapters.get_mut(key) else { return };
        holders.listed.remove(id);
        if holders.listed.is_empty() && holders.noticed.is_empty() {
            self.adapters.remove(key);
        }
    }

    fn remember_holder(&mut self, key: &AdapterKey, id: &Rc<str>, version: u64) {
        let servers = self.past_holders.entry(key.clone()).or_default();
        servers.retain(|(server, _)| server != id);
        servers.insert(0, (id.clone(), version));
        servers.truncate(MAX_PAST_HOLDERS);
    }

    fn forget_server(&mut self, id: &str) {
        self.past_holders.retain(|_, servers| {
            servers.retain(|(server, _)| &**server != id);
            !servers.is_empty()
        });
    }

    /// Drops everything known about a server that restarted: the adapters it held and the notices
    /// about them are obsolete.
    pub fn server_restarted(&mut self, id: &str) {
        self.forget_server(id);
        self.adapters.retain(|_, holders| {
            holders.listed.remove(id);
            holders.noticed.remove(id);
            !(holders.listed.is_empty() && holders.noticed.is_empty())
        });
    }

    /// Returns whether a server held this version of an adapter and therefore probably has it
    /// cached.
    pub fn is_cached(&self, key: &AdapterKey, id: &str, version: u64) -> bool {
        let servers = self.past_holders.get(key).into_iter().flatten();
        servers.into_iter().any(|(server, held)| &**server == id && *held == version)
    }

    /// Records a notice that overrides the store's entries until a time.
    pub fn notice(&mut self, key: &AdapterKey, id: &Rc<str>, presence: Presence, until: Time) {
        if let Presence::Held(version) = presence {
            self.remember_holder(key, id, version);
        }
        let holders = self.adapters.entry(key.clone()).or_default();
        holders.noticed.insert(id.clone(), Notice { presence, until });
    }

    /// Records that a server rejected a request for a version, or for any version: until a time,
    /// the server counts as not holding it. A current notice that the server holds a newer version
    /// is kept, because that version has replaced the rejected one.
    pub fn record_rejection(
        &mut self,
        now: Time,
        key: &AdapterKey,
        id: &Rc<str>,
        version: Option<u64>,
        until: Time,
    ) {
        let notice = self.adapters.get(key).and_then(|holders| holders.noticed.get(id));
        let held = notice.filter(|notice| notice.is_fresh(now)).and_then(Notice::usable_version);
        if version.is_some_and(|version| held.is_some_and(|held| held > version)) {
            return;
        }
        self.notice(key, id, Presence::Absent, until);
    }

    /// Drops notices that no longer override the store's entries.
    pub fn expire_notices(&mut self, now: Time) {
        self.adapters.retain(|_, holders| {
            holders.noticed.retain(|_, notice| notice.is_fresh(now));
            !(holders.listed.is_empty() && holders.noticed.is_empty())
        });
    }

    /// The servers that can serve an adapter now, with the version they hold.
    pub fn holders(&self, now: Time, key: &AdapterKey) -> Vec<(Rc<str>, u64)> {
        let Some(holders) = self.adapters.get(key) else { return Vec::new() };
        let fresh = |id: &Rc<str>| holders.noticed.get(id).filter(|notice| notice.is_fresh(now));
        let listed = holders.listed.iter().filter(|(id, _)| fresh(id).is_none());
        let mut all: Vec<(Rc<str>, u64)> = listed.map(|(id, v)| (id.clone(), *v)).collect();
        for (id, notice) in holders.noticed.iter().filter(|(_, notice)| notice.is_fresh(now)) {
            if let Some(version) = notice.usable_version() {
                all.push((id.clone(), version));
            }
        }
        all
    }

    /// Returns whether a current notice says that an adapter could not be loaded on a server.
    pub fn is_refused(&self, now: Time, key: &AdapterKey, id: &str) -> bool {
        let notice = self.adapters.get(key).and_then(|holders| holders.noticed.get(id));
        notice.is_some_and(|notice| notice.is_fresh(now) && notice.presence == Presence::Refused)
    }

    /// The number of servers that are loading an adapter at this version or a newer one.
    pub fn coming(&self, now: Time, key: &AdapterKey, least: u64) -> usize {
        let notices = self.adapters.get(key).into_iter().flat_map(|held| held.noticed.values());
        let coming = |notice: &&Notice| matches!(notice.presence, Presence::Coming(version, _) if version >= least);
        notices.filter(|notice| notice.is_fresh(now)).filter(coming).count()
    }

    /// The earliest time at which a server is expected to have loaded the adapter, if any is
    /// loading it.
    pub fn expected(&self, now: Time, key: &AdapterKey) -> Option<Time> {
        self.coming_to(now, key).map(|(_, at)| at).min()
    }

    /// The servers that are loading the adapter, with the time at which each is expected to finish.
    pub fn coming_to<'a>(
        &'a self,
        now: Time,
        key: &AdapterKey,
    ) -> impl Iterator<Item = (&'a Rc<str>, Time)> + 'a {
        let notices = self.adapters.get(key).into_iter().flat_map(|held| &held.noticed);
        notices.filter_map(move |(id, notice)| match notice.presence {
            Presence::Coming(_, at) if notice.is_fresh(now) => Some((id, at)),
            _ => None,
        })
    }
}

impl Notice {
    fn is_fresh(&self, now: Time) -> bool {
        now < self.until
    }

    fn usable_version(&self) -> Option<u64> {
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
