//! The operators' configuration as the gateway uses it.

use super::regions::AllowedRegions;
use crate::gateway::admission::Organisations;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A whole configuration; replaced only by one of a higher version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Rises with each change, in uneven steps.
    pub version: u64,
    /// Which requests go where.
    pub routes: Vec<Rc<Route>>,
    /// The services that routes lead to.
    pub services: BTreeMap<Rc<str>, Rc<Service>>,
    /// What callers may send.
    pub limits: CallerLimits,
    /// Whose keys open the routes that are not public; `None` where no route asks for one.
    pub organisations: Option<Organisations>,
}

/// What may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// Runs at most once a caller's attempt.
    Once,
    /// A stream of events; repeatable only if the route may be resumed.
    Stream,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Its name, for logs.
    pub name: Rc<str>,
    /// The host it belongs to, without a port, in lower case.
    pub host: String,
    /// Begins the paths it matches; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest that a request is held.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, earns its full worth.
    pub objective: Duration,
    /// The longest pause between events of an answer in time.
    pub gap_objective: Option<Duration>,
    /// The most servers one attempt of a caller is sent to.
    pub attempts: u32,
    /// Rank, 0 highest.
    pub priority: u8,
    /// Services with their shares.
    pub targets: Vec<Target>,
    /// A broken stream may be taken up at another server.
    pub resumable: bool,
    /// Open to callers without a key.
    pub public: bool,
    /// The only regions in which its requests may be served; any if left out.
    pub allowed_regions: Option<AllowedRegions>,
}

impl Route {
    /// True if a request may run a second time.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A service with its share of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: Rc<str>,
    /// Its share against the other targets of the route.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Rc<str>,
    /// Connections that a server accepts from all callers together.
    pub max_connections: usize,
    /// Its engines, if its servers hold models.
    pub engine: Option<EngineSpec>,
    /// What its servers bear while they are cold; `None` if they are never slow from their start.
    pub cold: Option<ColdStart>,
    /// Where a server tells its health.
    pub health_path: String,
}

/// What a server bears that has just started.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long it is cold.
    pub duration: Duration,
    /// Requests a second that it bears meanwhile.
    pub per_second: f64,
}

/// What the servers of a service hold.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests at once.
    pub slots: usize,
    /// Tokens of memory.
    pub memory_tokens: u64,
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Places for adapters.
    pub adapter_slots: usize,
    /// Loads from the weight store a second, over all servers.
    pub loads_per_second: f64,
    /// Tokens that one event of a stream holds.
    pub event_tokens: u32,
    /// The base models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// A model by its name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// Adapters that fit beside a model, pending ones and replacements included.
    pub fn adapter_room(&self, model: &ModelSpec) -> usize {
        if model.adapter_mb <= 0.0 {
            return self.adapter_slots;
        }
        let left = (self.weights_mb - model.weights_mb).max(0.0);
        let fitting = (left / model.adapter_mb).floor() as usize;
        fitting.min(self.adapter_slots)
    }
}

/// A base model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: Rc<str>,
    /// Its weights, in MB.
    pub weights_mb: f64,
    /// Load time from the weight store.
    pub load_time: Duration,
    /// Number of adapters.
    pub adapters: u32,
    /// Weights of one adapter, in MB.
    pub adapter_mb: f64,
}

/// What callers may send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Bytes of a request's head.
    pub header_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// For the head to arrive once it has begun.
    pub header_timeout: Duration,
    /// An idle connection is kept for this long.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}
