//! What a daemon believes of the fleet: configuration, backend servers, versions, holdings.

use super::backend::Backend;
use super::config::{FleetConfig, Route, Service};
use super::versions::{NamedVersions, UsableVersions};
use crate::gateway::admission::RevokedKeys;
use crate::gateway::choosing::holdings::Holdings;
use crate::gateway::dialect::{AdapterKey, Dialect, DialectError, Item, ItemKey};
use crate::gateway::evacuation::halls::{EvacuatedHalls, Evacuation};
use crate::gateway::news::mirror::Mirrored;
use crate::gateway::requests::routes::RouteTable;
use crate::types::Time;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

/// The version of adapters that nobody ever named anew.
pub const FIRST_VERSION: u64 = 1;

/// What a change of the store changed in the view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewChange {
    /// A newer configuration is in force.
    Config(u64),
    /// A server came up or its entry changed.
    Backend(Rc<str>),
    /// A server says that it is leaving.
    Draining(Rc<str>),
    /// A server's entry is gone.
    BackendGone(Rc<str>),
    /// A newer version of an adapter is named.
    Version(AdapterKey, u64),
    /// A data hall is evacuated.
    HallEvacuated(Rc<str>),
    /// A data hall is not evacuated any more, after this evacuation.
    HallTakenBack(Rc<str>, Evacuation),
}

/// The view.
#[derive(Debug, Default)]
pub struct FleetView {
    config: Option<Rc<FleetConfig>>,
    routes: RouteTable,
    backends: BTreeMap<Rc<str>, Rc<Backend>>,
    versions: HashMap<AdapterKey, NamedVersions>,
    /// Keys that configurations have taken away.
    pub revoked: RevokedKeys,
    /// Which server holds which adapter.
    pub holdings: Holdings,
    /// Data halls whose servers get nothing new.
    pub evacuated: EvacuatedHalls,
}

impl FleetView {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Rc<FleetConfig>> {
        self.config.as_ref()
    }

    /// The route of a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        self.routes.find(host, path)
    }

    /// A service by its name.
    pub fn service(&self, name: &str) -> Option<&Rc<Service>> {
        self.config.as_ref()?.services.get(name)
    }

    /// A backend server by its id.
    pub fn backend(&self, id: &str) -> Option<&Rc<Backend>> {
        self.backends.get(id)
    }

    /// All backend servers.
    pub fn backends(&self) -> impl Iterator<Item = &Rc<Backend>> {
        self.backends.values()
    }

    /// How many data halls have servers.
    pub fn halls(&self) -> usize {
        let halls: BTreeSet<&str> = self.backends.values().map(|backend| &*backend.hall).collect();
        halls.len()
    }

    /// The servers of a service that take new work.
    pub fn open_backends<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = &'a Rc<Backend>> + 'a {
        self.backends.values().filter(move |b| &*b.service == service && self.is_open(b))
    }

    /// The servers of a data hall.
    pub fn backends_of<'a>(&'a self, hall: &'a str) -> impl Iterator<Item = &'a Rc<Backend>> + 'a {
        self.backends.values().filter(move |backend| &*backend.hall == hall)
    }

    /// True if a server takes new work.
    pub fn is_open(&self, backend: &Backend) -> bool {
        !backend.draining && !self.is_evacuated(backend)
    }

    /// True if a server's data hall is evacuated.
    pub fn is_evacuated(&self, backend: &Backend) -> bool {
        self.evacuated.has(&backend.hall)
    }

    /// True if a server of an evacuated data hall may still get what no open server can serve.
    pub fn is_leaving(&self, now: Time, backend: &Backend) -> bool {
        !backend.draining && self.evacuated.is_leaving(now, &backend.hall)
    }

    /// True if a request may be sent to a server at this moment.
    pub fn may_get(&self, now: Time, id: &str) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| self.is_open(backend) || self.is_leaving(now, backend))
    }

    /// When an adapter is expected at a server that takes new work, if it is on its way to one.
    pub fn expected(&self, now: Time, key: &AdapterKey) -> Option<Time> {
        let coming = self.holdings.coming_to(now, key);
        let open = |id: &str| self.backends.get(id).is_none_or(|backend| self.is_open(backend));
        coming.filter(|(id, _)| open(id)).map(|(_, at)| at).min()
    }

    /// The versions of an adapter that may be used now; `None` if nobody named one: it is at the first.
    pub fn usable_versions(&self, now: Time, key: &AdapterKey) -> Option<UsableVersions> {
        self.versions.get(key).map(|names| names.at(now))
    }

    /// The newest version of an adapter, as far as known.
    pub fn newest_version(&self, key: &AdapterKey) -> u64 {
        self.versions.get(key).map_or(FIRST_VERSION, NamedVersions::newest)
    }

    /// Takes a change of the mirror in. `learned_at` is `None` for what may be of any age.
    pub fn apply(
        &mut self,
        learned_at: Option<Time>,
        dialect: &dyn Dialect,
        change: Mirrored,
    ) -> Result<Option<ViewChange>, DialectError> {
        match change {
            Mirrored::Put(held) => match dialect.item(&held.key, &held.value)? {
                Some(Item::Config(config)) => Ok(self.apply_config(*config)),
                Some(Item::Backend(backend)) => Ok(Some(self.apply_backend(*backend))),
                Some(Item::AdapterVersion(key, version)) => {
                    Ok(self.apply_version(learned_at, key, version))
                }
                Some(Item::EvacuatedHall(hall)) => {
                    let is_new = self.evacuated.evacuate(&hall);
                    Ok(is_new.then_some(ViewChange::HallEvacuated(hall)))
                }
                None => Ok(None),
            },
            Mirrored::Gone(key) => match dialect.key(&key) {
                ItemKey::Backend(id) => Ok(self.remove_backend(&id)),
                ItemKey::EvacuatedHall(hall) => {
                    let evacuation = self.evacuated.take_back(&hall);
                    Ok(evacuation.map(|before| ViewChange::HallTakenBack(hall, before)))
                }
                ItemKey::Config | ItemKey::AdapterVersion | ItemKey::Unknown => Ok(None),
            },
        }
    }

    /// A lower version never replaces a higher one.
    fn apply_config(&mut self, config: FleetConfig) -> Option<ViewChange> {
        let version = config.version;
        if self.config.as_ref().is_some_and(|held| held.version >= version) {
            return None;
        }
        let before = self.config.as_ref().and_then(|held| held.organisations.as_ref());
        self.revoked.note(before, config.organisations.as_ref());
        self.routes = RouteTable::new(&config);
        self.config = Some(Rc::new(config));
        Some(ViewChange::Config(version))
    }

    /// A server that once said it is leaving stays so for the rest of its life.
    fn apply_backend(&mut self, mut backend: Backend) -> ViewChange {
        let id = backend.id.clone();
        let before = self.backends.get(&id).cloned();
        let was_draining = before.as_ref().is_some_and(|b| b.draining);
        backend.draining |= was_draining;
        let began_draining = backend.draining && !was_draining;
        self.holdings.list(before.as_deref(), Some(&backend));
        self.backends.insert(id.clone(), Rc::new(backend));
        match began_draining {
            true => ViewChange::Draining(id),
            false => ViewChange::Backend(id),
        }
    }

    fn remove_backend(&mut self, id: &str) -> Option<ViewChange> {
        let removed = self.backends.remove(id)?;
        self.holdings.list(Some(&removed), None);
        Some(ViewChange::BackendGone(removed.id.clone()))
    }

    fn apply_version(
        &mut self,
        learned_at: Option<Time>,
        key: AdapterKey,
        version: u64,
    ) -> Option<ViewChange> {
        let is_newer = match self.versions.get_mut(&key) {
            Some(names) => names.learn(version, learned_at),
            None => {
                self.versions.insert(key.clone(), NamedVersions::new(version, learned_at));
                true
            }
        };
        is_newer.then_some(ViewChange::Version(key, version))
    }
}
