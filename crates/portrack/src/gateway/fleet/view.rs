//! The daemon's view of the fleet: configuration, backend servers, adapter versions and locations.

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

/// The version of adapters for which no version was announced.
pub const FIRST_VERSION: u64 = 1;

/// Change of the view caused by a change of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ViewChange {
    /// A newer configuration is in force.
    Config(u64),
    /// A server was added or its entry changed.
    Backend(Rc<str>),
    /// A server reports that it is leaving.
    Draining(Rc<str>),
    /// A server has restarted under its id; nothing known about it before is valid.
    Restarted {
        /// The server.
        server: Rc<str>,
        /// Start time of the previous incarnation.
        before: Option<u64>,
    },
    /// An entry is of an earlier incarnation, or outdated; it has no effect.
    BackendStale(Rc<str>),
    /// A server's entry was removed, or no longer describes a usable server.
    BackendGone(Rc<str>),
    /// An entry does not describe a usable server.
    BackendRefused {
        /// The id in its key.
        server: Rc<str>,
        /// The reason.
        why: String,
    },
    /// A newer version of an adapter was announced.
    Version(AdapterKey, u64),
    /// A data hall is being evacuated.
    HallEvacuated(Rc<str>),
    /// The evacuation of a data hall has ended.
    HallRestored(Rc<str>, Evacuation),
}

/// The daemon's view of the fleet.
#[derive(Debug, Default)]
pub struct FleetView {
    config: Option<Rc<FleetConfig>>,
    routes: RouteTable,
    /// Usable servers.
    backends: BTreeMap<Rc<str>, Rc<Backend>>,
    /// Well-formed entries, including those of services that the configuration does not name.
    entries: BTreeMap<Rc<str>, Rc<Backend>>,
    /// Ids of entries that do not describe a usable server.
    refused: BTreeSet<Rc<str>>,
    incarnations: ServerIncarnations,
    versions: HashMap<AdapterKey, AnnouncedVersions>,
    /// Keys that configurations have removed.
    pub revoked: RevokedKeys,
    /// Which servers have which adapters.
    pub adapter_locations: AdapterLocations,
    /// Data halls whose servers get no new work.
    pub evacuated: EvacuatedHalls,
}

impl FleetView {
    /// The configuration in force.
    pub fn config(&self) -> Option<&Rc<FleetConfig>> {
        self.config.as_ref()
    }

    /// Finds the route for a host and path.
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

    /// Start time of the latest incarnation of a server, if it reports one.
    pub fn born(&self, id: &str) -> Option<u64> {
        self.incarnations.born(id)
    }

    /// Number of entries that do not describe a usable server.
    pub fn refused_entries(&self) -> usize {
        self.refused.len()
    }

    /// Number of data halls that have servers.
    pub fn halls(&self) -> usize {
        let halls: BTreeSet<&str> = self.backends.values().map(|backend| &*backend.hall).collect();
        halls.len()
    }

    /// The servers of a service that accept new work.
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

    /// Returns true if a server accepts new work.
    pub fn is_open(&self, backend: &Backend) -> bool {
        !backend.draining && !self.is_evacuated(backend)
    }

    /// Returns true if a server's data hall is being evacuated.
    pub fn is_evacuated(&self, backend: &Backend) -> bool {
        self.evacuated.has(&backend.hall)
    }

    /// Returns true if a server of an evacuated data hall may still get requests that no open
    /// server can serve.
    pub fn is_closing(&self, now: Time, backend: &Backend) -> bool {
        !backend.draining && self.evacuated.is_closing(now, &backend.hall)
    }

    /// Whether a server is about to end as planned: it is draining, or its entry is removed.
    pub fn is_draining_or_removed(&self, id: &str) -> bool {
        self.backend(id).is_none_or(|known| known.draining)
    }

    /// Whether a later incarnation of a server than the given one is known.
    pub fn has_restarted(&self, backend: &Backend) -> bool {
        let known = self.backend(&backend.id);
        known.is_some_and(|known| known.incarnation_hash() != backend.incarnation_hash())
    }

    /// Whether a server that ends does so as planned, after its last answer. One that is taken away at a stated time
    /// does not wait for that, and an entry that another writer spoiled says nothing about its server.
    pub fn ends_after_last_answer(&self, id: &str) -> bool {
        self.is_draining_or_removed(id)
            && !self.incarnations.is_taken_away(id)
            && !self.refused.contains(id)
    }

    /// Returns true if a request may be sent to a server now.
    pub fn accepts_requests(&self, now: Time, id: &str) -> bool {
        let backend = self.backends.get(id);
        backend.is_some_and(|backend| self.is_open(backend) || self.is_closing(now, backend))
    }

    /// When an adapter that is being loaded is expected at a server that accepts new work and that
    /// `may_serve`.
    pub fn expected(
        &self,
        now: Time,
        key: &AdapterKey,
        may_serve: impl Fn(&Backend) -> bool,
    ) -> Option<Time> {
        let coming = self.adapter_locations.coming_to(now, key);
        let fits = |backend: &Backend| self.is_open(backend) && may_serve(backend);
        let open = |id: &str| self.backends.get(id).is_none_or(|backend| fits(backend));
        coming.filter(|(id, _)| open(id)).map(|(_, at)| at).min()
    }

    /// The versions of an adapter that may be used now; `None` if none was announced, which means
    /// the first version.
    pub fn usable_versions(&self, now: Time, key: &AdapterKey) -> Option<UsableVersions> {
        self.versions.get(key).map(|announced| announced.at(now))
    }

    /// The newest known version of an adapter.
    pub fn newest_version(&self, key: &AdapterKey) -> u64 {
        self.versions.get(key).map_or(FIRST_VERSION, AnnouncedVersions::newest)
    }

    /// Applies a change of the mirror. `learned_at` is `None` if the age of the change is unknown.
    /// An unreadable item returns an error and has no effect, except for a server's entry: the
    /// server is then no longer usable.
    pub fn apply(
        &mut self,
        learned_at: Option<Time>,
        dialect: &dyn Dialect,
        change: MirrorChange,
    ) -> Result<Vec<ViewChange>, DialectError> {
        let item = match change {
            MirrorChange::Put(item) => item,
            MirrorChange::Removed(key) => return Ok(self.apply_removal(dialect.key(&key))),
        };
        match dialect.item(&item.key, &item.value) {
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
            Err(error) => match dialect.key(&item.key) {
                ItemKey::Backend(id) => {
                    self.entries.remove(&id);
                    Ok(self.refuse(id, error.to_string()))
                }
                ItemKey::Config
                | ItemKey::AdapterVersion
                | ItemKey::EvacuatedHall(_)
                | ItemKey::Unknown => Err(error),
            },
        }
    }

    fn apply_removal(&mut self, key: ItemKey) -> Vec<ViewChange> {
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
        if self.config.as_ref().is_some_and(|config| config.version >= version) {
            return Vec::new();
        }
        let before = self.config.as_ref().and_then(|config| config.organisations.as_ref());
        self.revoked.update(before, config.organisations.as_ref());
        self.routes = RouteTable::new(&config);
        self.config = Some(Rc::new(config));
        let mut changes = vec![ViewChange::Config(version)];
        changes.extend(self.recheck_entries());
        changes
    }

    /// Re-checks all entries against the configuration in force, and adds or removes servers
    /// accordingly.
    fn recheck_entries(&mut self) -> Vec<ViewChange> {
        let changed = |backend: &&Rc<Backend>| match self.refusal_reason(backend) {
            None => !self.backends.contains_key(&backend.id),
            Some(_) => !self.refused.contains(&backend.id),
        };
        let changed: Vec<Rc<Backend>> = self.entries.values().filter(changed).cloned().collect();
        changed.into_iter().flat_map(|backend| self.admit(backend)).collect()
    }

    /// Why a well-formed entry does not describe a usable server under the configuration in force.
    fn refusal_reason(&self, backend: &Backend) -> Option<&'static str> {
        match self.service(&backend.service) {
            None => Some("unknown service"),
            Some(service) if service.engine.is_some() && !backend.reports_models => {
                Some("entry does not list its models")
            }
            Some(_) => None,
        }
    }

    fn apply_backend(&mut self, mut backend: Backend) -> Vec<ViewChange> {
        let id = backend.id.clone();
        let status = self.incarnations.record(&mut backend);
        let mut changes = Vec::new();
        match status {
            EntryStatus::Stale => return vec![ViewChange::BackendStale(id)],
            EntryStatus::Restarted { before } => {
                self.adapter_locations.server_restarted(&id);
                self.backends.remove(&id);
                changes.push(ViewChange::Restarted { server: id.clone(), before });
            }
            EntryStatus::First | EntryStatus::Same => {}
        }
        let backend = Rc::new(backend);
        self.entries.insert(id, backend.clone());
        changes.extend(self.admit(backend));
        changes
    }

    /// Adds a server if it fits the configuration.
    fn admit(&mut self, backend: Rc<Backend>) -> Vec<ViewChange> {
        let id = backend.id.clone();
        if self.config.is_none() {
            return Vec::new();
        }
        if let Some(why) = self.refusal_reason(&backend) {
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

    /// Removes a server whose entry is not usable. The refusal is reported once, not for every such
    /// entry.
    fn refuse(&mut self, id: Rc<str>, why: String) -> Vec<ViewChange> {
        let removed = self.remove_in_use(&id);
        let is_new = self.refused.insert(id.clone());
        let refused = is_new.then_some(ViewChange::BackendRefused { server: id, why });
        removed.into_iter().chain(refused).collect()
    }

    fn remove_in_use(&mut self, id: &str) -> Option<ViewChange> {
        let removed = self.backends.remove(id)?;
        self.adapter_locations.list(Some(&removed), None);
        Some(ViewChange::BackendGone(removed.id.clone()))
    }

    fn remove_backend(&mut self, id: &str) -> Vec<ViewChange> {
        self.refused.remove(id);
        self.entries.remove(id);
        self.incarnations.remove(id);
        self.remove_in_use(id).into_iter().collect()
    }

    /// Handles a server's own report of a later start time than the store has. Everything else
    /// about this incarnation comes with its entry.
    pub fn on_newer_incarnation(&mut self, id: &str, born: u64) -> Vec<ViewChange> {
        let newer = self.incarnations.born(id).is_none_or(|known| born > known);
        let Some(before) = self.entries.get(id).filter(|_| newer) else { return Vec::new() };
        self.apply_backend(Backend {
            born: Some(born),
            draining: false,
            leaves_in: None,
            orders_taken: 0,
            models: Vec::new(),
            ..Backend::clone(before)
        })
    }

    /// Handles a server's own report that it is leaving; its entry need not say so, now or later.
    pub fn mark_draining(&mut self, id: &str, server: u32) -> Vec<ViewChange> {
        let meant = |known: &&Rc<Backend>| known.incarnation_hash() == server && !known.draining;
        let Some(known) = self.entries.get(id).filter(meant) else { return Vec::new() };
        self.apply_backend(Backend { draining: true, ..Backend::clone(known) })
    }

    fn apply_version(
        &mut self,
        learned_at: Option<Time>,
        key: AdapterKey,
        version: u64,
    ) -> Option<ViewChange> {
        let is_newer = match self.versions.get_mut(&key) {
            Some(announced) => announced.learn(version, learned_at),
            None => {
                self.versions.insert(key.clone(), AnnouncedVersions::new(version, learned_at));
                true
            }
        };
        is_newer.then_some(ViewChange::Version(key, version))
    }
}
