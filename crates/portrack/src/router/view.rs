//! The region's engines and the hall's plain services, as known to this daemon.

use super::{BackendKind, BackendServer, EngineState};
use crate::owner::{Holdings, Load};
use crate::types::{AdapterVersion, EngineName, NodeName, ServiceName, Time};
use std::collections::{BTreeMap, BTreeSet};

/// All servers that the router can select.
#[derive(Debug, Clone, Default)]
pub struct View {
    version: u64,
    engines: BTreeMap<EngineName, EngineState>,
    holders: BTreeMap<AdapterVersion, BTreeSet<EngineName>>,
}

impl View {
    /// Applies the node list. Servers that are no longer listed are removed.
    pub fn servers(&mut self, now: Time, list: Vec<BackendServer>) {
        let names: BTreeSet<EngineName> = list.iter().map(|s| s.name.clone()).collect();
        let gone: Vec<EngineName> =
            self.engines.keys().filter(|name| !names.contains(*name)).cloned().collect();
        for name in gone {
            self.version += 1;
            self.remove_holdings(&name);
            self.engines.remove(&name);
        }
        for server in list {
            match self.engines.get_mut(&server.name) {
                Some(state) => {
                    self.version += u64::from(state.server != server);
                    state.server = server;
                }
                None => {
                    self.version += 1;
                    let state = EngineState {
                        server,
                        load: None,
                        said_by: None,
                        said_at: now,
                        holdings: None,
                    };
                    self.engines.insert(state.server.name.clone(), state);
                }
            }
        }
    }

    /// Applies an owner's load report. Returns true if its holdings must be requested.
    pub fn load(&mut self, now: Time, from: &NodeName, load: Load) -> bool {
        let Some(state) = self.engines.get_mut(&load.engine) else {
            return false;
        };
        let known = state.holdings.as_ref().map(|h| h.version);
        let stale = known != Some(load.holdings) || state.said_by.as_ref() != Some(from);
        state.said_by = Some(from.clone());
        state.said_at = now;
        state.load = Some(load);
        stale
    }

    /// Applies an engine's holdings.
    pub fn holdings(&mut self, holdings: Holdings) {
        let name = holdings.engine.clone();
        if !self.engines.contains_key(&name) {
            return;
        }
        self.remove_holdings(&name);
        for adapter in holdings.ready.iter().chain(&holdings.loading) {
            self.holders.entry(adapter.clone()).or_default().insert(name.clone());
        }
        if let Some(state) = self.engines.get_mut(&name) {
            state.holdings = Some(holdings);
        }
    }

    fn remove_holdings(&mut self, engine: &EngineName) {
        let Some(state) = self.engines.get_mut(engine) else {
            return;
        };
        let Some(old) = state.holdings.take() else {
            return;
        };
        for adapter in old.ready.iter().chain(&old.loading) {
            let Some(set) = self.holders.get_mut(adapter) else {
                continue;
            };
            set.remove(engine);
            if set.is_empty() {
                self.holders.remove(adapter);
            }
        }
    }

    /// Counts a request that was just granted against the free places, until the next load report.
    pub fn note_grant(&mut self, engine: &EngineName) {
        let load = self.engines.get_mut(engine).and_then(|state| state.load.as_mut());
        if let Some(load) = load {
            load.free = load.free.saturating_sub(1);
        }
    }

    /// Increases whenever the node list changes.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// An engine by name.
    pub fn engine(&self, name: &EngineName) -> Option<&EngineState> {
        self.engines.get(name)
    }

    /// All servers, by name.
    pub fn iter(&self) -> impl Iterator<Item = &EngineState> {
        self.engines.values()
    }

    /// Engines on which the adapter is loaded or loading.
    pub fn holders(&self, adapter: &AdapterVersion) -> impl Iterator<Item = &EngineState> {
        let names = self.holders.get(adapter).into_iter().flatten();
        names.filter_map(|name| self.engines.get(name))
    }

    /// Servers of a plain service that are not leaving.
    pub fn service(&self, service: &ServiceName) -> Vec<&BackendServer> {
        let serves = |state: &&EngineState| {
            let same = matches!(&state.server.kind,
                BackendKind::Service { service: s } if s == service);
            same && !state.server.leaving
        };
        self.engines.values().filter(serves).map(|state| &state.server).collect()
    }
}
