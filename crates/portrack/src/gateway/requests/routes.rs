//! Routing of requests by host and path prefix.

use crate::gateway::fleet::config::{FleetConfig, Route, Target};
use std::collections::HashMap;
use std::rc::Rc;
use xxhash_rust::xxh3::xxh3_64;

/// Routes by host, sorted by descending prefix length.
#[derive(Debug, Clone, Default)]
pub struct RouteTable {
    hosts: HashMap<String, Vec<Rc<Route>>>,
}

impl RouteTable {
    /// Builds the table of a configuration.
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

    /// Finds the route of a host with the longest prefix of the path.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let host = strip_port(host).to_ascii_lowercase();
        let routes = self.hosts.get(&host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}

/// Picks the target of a request by weight; the same request id always gets the same target.
pub fn pick_target<'a>(route: &'a Route, request_id: &str) -> Option<&'a Target> {
    let total: u64 = route.targets.iter().map(|target| u64::from(target.weight)).sum();
    if total == 0 {
        return None;
    }
    let mut point = xxh3_64(request_id.as_bytes()) % total;
    route.targets.iter().find(|target| {
        let weight = u64::from(target.weight);
        let selected = point < weight;
        point = point.saturating_sub(weight);
        selected
    })
}
