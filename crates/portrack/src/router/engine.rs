//! A backend server and what is known of it.

use crate::owner::{Holdings, Load, Lock};
use crate::types::{BaseName, EngineName, HallName, NodeName, RegionName, ServiceName, Time};
use serde::{Deserialize, Serialize};

/// What a backend server does.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "kind")]
pub enum BackendKind {
    /// A model engine with adapter slots.
    Engine {
        /// The base model it runs.
        base: BaseName,
        /// Whether it checks the fence of an order.
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
    /// `http://host:port`, without a slash at the end.
    pub address: String,
    /// Its hardware generation, a node class of the settings.
    #[serde(default)]
    pub class: String,
    /// Relative speed of its hardware; 100 is the reference.
    #[serde(default = "reference_speed")]
    pub speed: u32,
    /// True once it is leaving.
    #[serde(default)]
    pub leaving: bool,
    /// Engine or plain service.
    #[serde(flatten)]
    pub kind: BackendKind,
}

fn reference_speed() -> u32 {
    100
}

/// An engine as the router sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Its entry in the node list.
    pub server: BackendServer,
    /// The last word of its owner.
    pub load: Option<Load>,
    /// Which daemon said so.
    pub said_by: Option<NodeName>,
    /// When it was said.
    pub said_at: Time,
    /// What it holds.
    pub holdings: Option<Holdings>,
}

impl EngineState {
    /// What makes its owner the only one, if it is an engine.
    pub fn lock(&self) -> Option<Lock> {
        match &self.server.kind {
            BackendKind::Engine { checks_fence: true, .. } => Some(Lock::Fence),
            BackendKind::Engine { checks_fence: false, .. } => Some(Lock::Lease),
            BackendKind::Service { .. } => None,
        }
    }

    /// The base model, if it is an engine.
    pub fn base(&self) -> Option<&BaseName> {
        match &self.server.kind {
            BackendKind::Engine { base, .. } => Some(base),
            BackendKind::Service { .. } => None,
        }
    }
}
