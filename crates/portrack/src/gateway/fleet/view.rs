//! What a daemon believes of the fleet: configuration, backend servers, versions, holdings.

use super::backend::Backend;
use super::config::{FleetConfig, Route, Service};
use super::server_incarnations::{EntryStatus, ServerIncarnations};
use super::versions::{AnnouncedVersions, UsableVersions};
use crate::gateway::admission::RevokedKeys;
use crate::gateway::dialect::{AdapterKey, Dialect, DialectError, Item, ItemKey};
use crate::gateway::evacuation::halls::{EvacuatedHalls, Evacuation};
use crate::gateway::requests::routes::RouteTable;
use crate::gateway::selection::adapter_locations::AdapterLocations;
use crate::gateway::store_sync::mirror::MirrorChange;
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
    /// A server has started again under its id: nothing of before holds.
    Restarted {
        /// The server.
        server: Rc<str>,
        /// The start of the life before.
        before: Option<u64>,
    },
    /// An entry is of a former life, or older than what is known; it changes nothing.
    BackendStale(Rc<str>),
    /// A server's entry is gone, or names no server any more.
    BackendGone(Rc<str>),
    /// An entry names no server to use.
    BackendRefused {
        /// The id in its key.
        server: Rc<str>,
        /// What is wrong with it.
        why: String,
    },
    /// A newer version of an adapter is named.
    Version(AdapterKey, u64),
    /// A data hall is evacuated.
    HallEvacuated(Rc<str>),
    /// A data hall is not evacuated any more, after this evacuation.
    HallRestored(Rc<str>, Evacuation),
}

/// The view.
#[derive(Debug, Default)]
pub struct FleetView {
    config: Option<Rc<FleetConfig>>,
    routes: RouteTable,
    /// The servers in use.
    backends: BTreeMap<Rc<str>, Rc<Backend>>,
    /// Well-formed entries, also those of services that the configuration does not name.
    listed: BTreeMap<Rc<str>, Rc<Backend>>,
    /// Entries that name no server to use.
    refused: BTreeSet<Rc<str>>,
    lives: ServerIncarnations,
    versions: HashMap<AdapterKey, AnnouncedVersions>,
    /// Keys that configurations have taken away.
    pub revoked: RevokedKeys,
    /// Which server holds which adapter.
    pub adapter_locations: AdapterLocations,
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

    /// The start of the newest life of a server, if it tells that.
    pub fn born(&self, id: &str) -> Option<u64> {
        self.lives.born(id)
    }

    /// How many entries name no server to use.
    pub fn refused_entries(&self) -> usize {
        self.refused.len()
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
    pub fn is_closing(&self, now: Time, backend: &Backend) -> bool {
        !backend.draining && self.evacuated.is_closing(now, &backend.hall)
    }

    /// True if a request may be sent to a server at this moment.
    pub fn accepts_requests(&self, now: Time, id: &str) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| self.is_open(backend) || self.is_closing(now, backend))
    }

    /// When an adapter is expected at a server that takes new work, if it is on its way to one.
    pub fn expected(&self, now: Time, key: &AdapterKey) -> Option<Time> {
        let coming = self.adapter_locations.coming_to(now, key);
        let open = |id: &str| self.backends.get(id).is_none_or(|backend| self.is_open(backend));
        coming.filter(|(id, _)| open(id)).map(|(_, at)| at).min()
    }

    /// The versions of an adapter that may be used now; `None` if nobody named one: it is at the first.
    pub fn usable_versions(&self, now: Time, key: &AdapterKey) -> Option<UsableVersions> {
        self.versions.get(key).map(|names| names.at(now))
    }

    /// The newest version of an adapter, as far as known.
    pub fn newest_version(&self, key: &AdapterKey) -> u64 {
        self.versions.get(key).map_or(FIRST_VERSION, AnnouncedVersions::newest)
    }

    /// Takes a change of the mirror in. `learned_at` is `None` for what may be of any age. What cannot be
    /// read is an error and changes nothing, but for a server's entry: that one names no server any more.
    pub fn apply(
        &mut self,
        learned_at: Option<Time>,
        dialect: &dyn Dialect,
        change: MirrorChange,
    ) -> Result<Vec<ViewChange>, DialectError> {
        let held = match change {
            MirrorChange::Put(held) => held,
            MirrorChange::Removed(key) => return Ok(self.apply_gone(dialect.key(&key))),
        };
        match dialect.item(&held.key, &held.value) {
            Ok(Some(Item::Config(config))) => Ok(self.apply_config(*config)),
            Ok(Some(Item::Backend(backend))) => Ok(self.apply_backend(*backend)),
            Ok(Some(Item::AdapterVersion(key, version))) => {
                Ok(self.apply_version(learned_at, key, version).into_iter().collect())
            }
            Ok(Some(Item::EvacuatedHall(hall))) => {
                let is_new = self.evacuated.evacuate(&hall);
                Ok(is_new.then_some(ViewChange::HallEvacuated(hall)).into_iter().collect())
            }
            Ok(None) => Ok(Vec::new()),
            Err(error) => match dialect.key(&held.key) {
                ItemKey::Backend(id) => {
                    self.listed.remove(&id);
                    Ok(self.refuse(id, error.to_string()))
                }
                ItemKey::Config
                | ItemKey::AdapterVersion
                | ItemKey::EvacuatedHall(_)
                | ItemKey::Unknown => Err(error),
            },
        }
    }

    fn apply_gone(&mut self, key: ItemKey) -> Vec<ViewChange> {
        match key {
            ItemKey::Backend(id) => self.remove_backend(&id),
            ItemKey::EvacuatedHall(hall) => {
                let before = self.evacuated.reinstate(&hall);
                before.map(|before| ViewChange::HallRestored(hall, before)).into_iter().collect()
            }
            ItemKey::Config | ItemKey::AdapterVersion | ItemKey::Unknown => Vec::new(),
        }
    }

    /// A lower version never replaces a higher one.
    fn apply_config(&mut self, config: FleetConfig) -> Vec<ViewChange> {
        let version = config.version;
        if self.config.as_ref().is_some_and(|held| held.version >= version) {
            return Vec::new();
        }
        let before = self.config.as_ref().and_then(|held| held.organisations.as_ref());
        self.revoked.update(before, config.organisations.as_ref());
        self.routes = RouteTable::new(&config);
        self.config = Some(Rc::new(config));
        let mut changes = vec![ViewChange::Config(version)];
        changes.extend(self.fit_again());
        changes
    }

    /// The servers that the configuration in force takes into use, and those that it takes out.
    fn fit_again(&mut self) -> Vec<ViewChange> {
        let turned = |backend: &&Rc<Backend>| match self.misfit(backend) {
            None => !self.backends.contains_key(&backend.id),
            Some(_) => !self.refused.contains(&backend.id),
        };
        let turned: Vec<Rc<Backend>> = self.listed.values().filter(turned).cloned().collect();
        turned.into_iter().flat_map(|backend| self.fit(backend)).collect()
    }

    /// Why a well-formed entry names no server to use under the configuration in force.
    fn misfit(&self, backend: &Backend) -> Option<&'static str> {
        match self.service(&backend.service) {
            None => Some("unknown service"),
            Some(service) if service.engine.is_some() && !backend.reports_models => {
                Some("no word of what it holds")
            }
            Some(_) => None,
        }
    }

    fn apply_backend(&mut self, mut backend: Backend) -> Vec<ViewChange> {
        let id = backend.id.clone();
        let entry_life = self.lives.take(&mut backend);
        let mut changes = Vec::new();
        match entry_life {
            EntryStatus::Stale => return vec![ViewChange::BackendStale(id)],
            EntryStatus::Restarted { before } => {
                self.adapter_locations.server_restarted(&id);
                self.backends.remove(&id);
                changes.push(ViewChange::Restarted { server: id.clone(), before });
            }
            EntryStatus::First | EntryStatus::Same => {}
        }
        let backend = Rc::new(backend);
        self.listed.insert(id, backend.clone());
        changes.extend(self.fit(backend));
        changes
    }

    /// Takes a server into use, if it fits the configuration.
    fn fit(&mut self, backend: Rc<Backend>) -> Vec<ViewChange> {
        let id = backend.id.clone();
        if self.config.is_none() {
            return Vec::new();
        }
        if let Some(why) = self.misfit(&backend) {
            return self.refuse(id, why.into());
        }
        self.refused.remove(&id);
        let before = self.backends.insert(id.clone(), backend.clone());
        self.adapter_locations.list(before.as_deref(), Some(&backend));
        let began_draining = backend.draining && before.is_none_or(|before| !before.draining);
        match began_draining {
            true => vec![ViewChange::Draining(id)],
            false => vec![ViewChange::Backend(id)],
        }
    }

    /// Takes a server out of use whose entry names none. Said once, not with each such entry.
    fn refuse(&mut self, id: Rc<str>, why: String) -> Vec<ViewChange> {
        let gone = self.take_out(&id);
        let news = self.refused.insert(id.clone());
        let refused = news.then_some(ViewChange::BackendRefused { server: id, why });
        gone.into_iter().chain(refused).collect()
    }

    fn take_out(&mut self, id: &str) -> Option<ViewChange> {
        let removed = self.backends.remove(id)?;
        self.adapter_locations.list(Some(&removed), None);
        Some(ViewChange::BackendGone(removed.id.clone()))
    }

    fn remove_backend(&mut self, id: &str) -> Vec<ViewChange> {
        self.refused.remove(id);
        self.listed.remove(id);
        self.lives.gone(id);
        self.take_out(id).into_iter().collect()
    }

    /// A server itself has told of a life that started later than what the store tells. What else it says
    /// of this life comes with its entry.
    pub fn on_newer_incarnation(&mut self, id: &str, born: u64) -> Vec<ViewChange> {
        let newer = self.lives.born(id).is_none_or(|known| born > known);
        let Some(before) = self.listed.get(id).filter(|_| newer) else { return Vec::new() };
        self.apply_backend(Backend {
            born: Some(born),
            draining: false,
            leaves_in: None,
            orders_taken: 0,
            models: Vec::new(),
            ..Backend::clone(before)
        })
    }

    /// One life of a server has said itself that it leaves; its entry need not say so, now or later.
    pub fn mark_draining(&mut self, id: &str, server: u32) -> Vec<ViewChange> {
        let meant = |known: &&Rc<Backend>| known.incarnation_hash() == server && !known.draining;
        let Some(known) = self.listed.get(id).filter(meant) else { return Vec::new() };
        self.apply_backend(Backend { draining: true, ..Backend::clone(known) })
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
                self.versions.insert(key.clone(), AnnouncedVersions::new(version, learned_at));
                true
            }
        };
        is_newer.then_some(ViewChange::Version(key, version))
    }
}
