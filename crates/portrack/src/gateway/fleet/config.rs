//! The operators' configuration as the gateway uses it.

use super::regions::AllowedRegions;
use crate::gateway::admission::Organisations;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// A complete configuration. It is replaced only by one with a higher version.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct FleetConfig {
    /// Increases with each change, not necessarily by one.
    pub version: u64,
    /// The routes, which map requests to services.
    pub routes: Vec<Rc<Route>>,
    /// The services that the routes refer to.
    pub services: BTreeMap<Rc<str>, Rc<Service>>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// The organisations whose keys are accepted on routes that are not public; `None` if no route
    /// requires a key.
    pub organisations: Option<Organisations>,
}

/// Whether requests of a route may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// A request may run more than once.
    Repeatable,
    /// A request runs at most once per attempt of the caller.
    Once,
    /// An event stream; repeatable only if the route is resumable.
    Stream,
}

/// One route.
#[derive(Debug, Clone, PartialEq)]
pub struct Route {
    /// Name of the route, for logs.
    pub name: Rc<str>,
    /// Host of the route, without port, in lower case.
    pub host: String,
    /// Path prefix that requests must match; starts and ends with a slash.
    pub prefix: String,
    /// Whether its requests may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request is held.
    pub timeout: Duration,
    /// A response, or its first event, that arrives within this time has its full value.
    pub objective: Duration,
    /// Longest gap between two events of a response that counts as timely.
    pub gap_objective: Option<Duration>,
    /// Largest number of servers that one attempt of a caller is sent to.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Services and their weights.
    pub targets: Vec<Target>,
    /// A broken stream may be resumed on another server.
    pub resumable: bool,
    /// Callers need no key.
    pub public: bool,
    /// The only regions that may serve its requests; `None` allows all regions.
    pub allowed_regions: Option<AllowedRegions>,
}

impl Route {
    /// Returns true if a request may run more than once.
    pub fn repeatable(&self) -> bool {
        match self.kind {
            RouteKind::Repeatable => true,
            RouteKind::Once => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// A service and its weight within a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// The service's name.
    pub service: Rc<str>,
    /// Weight relative to the other targets of the route.
    pub weight: u32,
}

/// One service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: Rc<str>,
    /// Connections that a server accepts from all callers together.
    pub max_connections: usize,
    /// The engines, if its servers hold models.
    pub engine: Option<EngineSpec>,
    /// What its servers can handle while cold; `None` if they are not slow after their start.
    pub cold: Option<ColdStart>,
    /// Path of a server's health endpoint.
    pub health_path: String,
}

/// What a server can handle just after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// How long it stays cold.
    pub duration: Duration,
    /// Requests per second that it handles while cold.
    pub per_second: f64,
}

/// Share of an adapter's size by which a sum of sizes may be wrong.
const ROUNDING: f64 = 1e-6;

/// Capacity of the engines of a service.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: usize,
    /// Memory, in tokens.
    pub memory_tokens: u64,
    /// Memory for weights and adapters together, in MB.
    pub weights_mb: f64,
    /// Slots for adapters.
    pub adapter_slots: usize,
    /// Loads per second from the weight store, over all servers.
    pub loads_per_second: f64,
    /// Tokens per stream event.
    pub event_tokens: u32,
    /// The base models.
    pub models: Vec<ModelSpec>,
}

impl EngineSpec {
    /// Returns a model by its name.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        self.models.iter().find(|model| &*model.name == name)
    }

    /// This capacity with the larger sizes of this and a former configuration: servers may hold what was loaded under
    /// either. Models of the former one alone come last.
    pub fn with_sizes_of(&self, former: &Self) -> Self {
        let mut models = self.models.clone();
        for old in &former.models {
            match models.iter_mut().find(|model| model.name == old.name) {
                Some(model) => {
                    model.weights_mb = model.weights_mb.max(old.weights_mb);
                    model.adapter_mb = model.adapter_mb.max(old.adapter_mb);
                }
                None => models.push(old.clone()),
            }
        }
        Self { models, ..self.clone() }
    }

    /// Returns the model with the largest adapters.
    pub fn largest_adapter(&self) -> Option<&ModelSpec> {
        self.models.iter().max_by(|a, b| a.adapter_mb.total_cmp(&b.adapter_mb))
    }

    /// Number of further adapters of a model that fit into a server beside all that it holds: base models of any kind,
    /// and adapters, each given by its model and including those that are being loaded or unloaded. `None` if these do
    /// not fit themselves, or the size of one is not configured.
    pub fn room_for_adapters<'a>(
        &self,
        model: &str,
        held_models: &[Rc<str>],
        held_adapters: impl Iterator<Item = &'a str>,
    ) -> Option<usize> {
        let model = self.model(model)?;
        let mut weights = held_models.iter().map(|name| Some(self.model(name)?.weights_mb));
        let models_mb = weights.try_fold(0.0, |sum, weight| Some(sum + weight?))?;
        let adapter_mb = |name: &str| Some(self.model(name)?.adapter_mb);
        let sizes: Vec<f64> = held_adapters.map(adapter_mb).collect::<Option<_>>()?;
        let free_slots = self.adapter_slots.checked_sub(sizes.len())?;
        // Sums of sizes may be off by a rounding error.
        let tolerance = ROUNDING * model.adapter_mb.max(0.0);
        let free_mb = self.weights_mb - models_mb - sizes.iter().sum::<f64>() + tolerance;
        if free_mb < 0.0 {
            return None;
        }
        if model.adapter_mb <= 0.0 {
            return Some(free_slots);
        }
        let fitting = (free_mb / model.adapter_mb).floor() as usize;
        Some(fitting.min(free_slots))
    }
}

/// A base model.
#[derive(Debug, Clone, PartialEq)]
pub struct ModelSpec {
    /// Its name.
    pub name: Rc<str>,
    /// Its weights, in MB.
    pub weights_mb: f64,
    /// Time to load it from the weight store.
    pub load_time: Duration,
    /// Number of adapters.
    pub adapters: u32,
    /// Weights of one adapter, in MB.
    pub adapter_mb: f64,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Time for the head to arrive once it has begun.
    pub header_timeout: Duration,
    /// Time after which an idle connection is closed.
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
