//! Helpers shared by several tests.

use portrack::gateway::{
    AdapterKey, Backend, EngineSpec, FleetConfig, HeldAdapter, HeldModel, ModelSpec, Service,
};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

pub const MODEL: &str = "base";

pub fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

pub fn key(adapter: &str) -> AdapterKey {
    AdapterKey { model: MODEL.into(), adapter: adapter.into() }
}

/// A configuration with one engine service.
pub fn config(adapter_slots: usize, loads_per_second: f64) -> Rc<FleetConfig> {
    let model = ModelSpec {
        name: MODEL.into(),
        weights_mb: 40_000.0,
        load_time: ms(600),
        adapters: 3_000,
        adapter_mb: 10.0,
    };
    let engine = EngineSpec {
        slots: 64,
        memory_tokens: 100_000,
        weights_mb: 42_000.0,
        adapter_slots,
        loads_per_second,
        event_tokens: 2,
        models: vec![model],
    };
    let service = Service {
        name: "llm".into(),
        max_connections: 100,
        engine: Some(engine),
        cold: None,
        health_path: String::new(),
    };
    let mut services = BTreeMap::new();
    services.insert(service.name.clone(), Rc::new(service));
    Rc::new(FleetConfig { version: 1, services, ..FleetConfig::default() })
}

/// A server of the engine service with the base model and these adapters loaded.
pub fn backend(id: &str, adapters: &[(&str, u64)]) -> Backend {
    let adapters = adapters
        .iter()
        .map(|(name, version)| HeldAdapter { name: (*name).into(), version: *version });
    Backend {
        id: id.into(),
        service: "llm".into(),
        address: "10.0.0.1:80".parse().expect("a valid address"),
        hall: "a".into(),
        software: "v1".into(),
        slots: 64,
        draining: false,
        leaves_in: None,
        born: None,
        cold_for: Duration::ZERO,
        orders_taken: 0,
        reports_models: true,
        models: vec![HeldModel { name: MODEL.into(), adapters: adapters.collect() }],
    }
}
