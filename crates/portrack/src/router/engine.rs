//! A backend server and its known state.

use crate::owner::{Holdings, Load, Lock};
use crate::types::{BaseName, EngineName, HallName, NodeName, RegionName, ServiceName, Time};
use serde::{Deserialize, Serialize};

/// Kind of a backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum BackendKind {
    /// A model engine with adapter slots.
    Engine {
        /// Its base model.
        base: BaseName,
        /// Whether it checks the fence of orders.
        checks_fence: bool,
    },
    /// A plain service.
    Service {
        /// Its name, as in the settings.
        service: ServiceName,
    },
}

/// One entry of the platform's node list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Its name.
    pub name: EngineName,
    /// Its data hall.
    pub hall: HallName,
    /// Its region.
    pub region: RegionName,
    /// `http://host:port`, without a trailing slash.
    pub address: String,
    /// Its hardware generation: a node class of the settings.
    #[serde(default)]
    pub class: String,
    /// Relative speed of its hardware; 100 is the reference.
    #[serde(default = "reference_speed")]
    pub speed: u32,
    /// True once it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Engine or plain service, with its details.
    #[serde(flatten)]
    pub kind: BackendKind,
}

fn reference_speed() -> u32 {
    100
}

/// State of an engine as known to the router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Its entry in the node list.
    pub server: BackendServer,
    /// The latest load reported by its owner.
    pub load: Option<Load>,
    /// The daemon that reported the load.
    pub said_by: Option<NodeName>,
    /// When the load was reported.
    pub said_at: Time,
    /// Its adapters.
    pub holdings: Option<Holdings>,
}

impl EngineState {
    /// The mechanism that ensures a single owner; `None` for a plain service.
    pub fn lock(&self) -> Option<Lock> {
        match &self.server.kind {
            BackendKind::Engine { checks_fence: true, .. } => Some(Lock::Fence),
            BackendKind::Engine { checks_fence: false, .. } => Some(Lock::Lease),
            BackendKind::Service { .. } => None,
        }
    }

    /// The base model; `None` for a plain service.
    pub fn base(&self) -> Option<&BaseName> {
        match &self.server.kind {
            BackendKind::Engine { base, .. } => Some(base),
            BackendKind::Service { .. } => None,
        }
    }
}
