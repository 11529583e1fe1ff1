//! Which route a request takes.

use crate::gateway::fleet::config::{FleetConfig, Route, Target};
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Routes by host, longest prefix first.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// The table of a configuration.
    pub fn new(config: &FleetConfig) -> Self {
        let mut hosts: HashMap<String, Vec<Rc<Route>>> = HashMap::new();
        for route in &config.routes {
            hosts.entry(route.host.clone()).or_default().push(route.clone());
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Self { hosts }
    }

    /// The route of a host and path: the longest prefix that begins the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = without_port(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// The service that a request goes to; the same request always goes to the same one.
pub fn pick_target<'a>(route: &'a Route, request_id: &str) -> Option<&'a Target> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut point = xxh3_64(request_id.as_bytes()) % total;
    route.targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let hit = point < weight;
        point = point.saturating_sub(weight);
        hit
    })
}
