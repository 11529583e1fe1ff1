//! Tests of routing and traffic splits.

use portrack::gateway::{FleetConfig, Route, RouteKind, RouteTable, Target, pick_target};
use std::rc::Rc;
use std::time::Duration;

fn route(name: &str, host: &str, prefix: &str, targets: &[(&str, u32)]) -> Rc<Route> {
    let targets = targets
        .iter()
        .map(|(service, weight)| Target { service: (*service).into(), weight: *weight });
    Rc::new(Route {
        name: name.into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: RouteKind::Once,
        timeout: Duration::from_secs(1),
        objective: Duration::from_secs(1),
        gap_objective: None,
        attempts: 1,
        priority: 0,
        targets: targets.collect(),
        resumable: false,
        public: false,
        allowed_regions: None,
    })
}

fn table() -> RouteTable {
    let routes = vec![
        route("all", "a.example", "/", &[("s", 1)]),
        route("deep", "a.example", "/x/y/", &[("s", 1)]),
        route("mid", "a.example", "/x/", &[("s", 1)]),
        route("other", "b.example", "/x/", &[("s", 1)]),
    ];
    RouteTable::new(&FleetConfig { routes, ..FleetConfig::default() })
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let table = table();
    let name = |host: &str, path: &str| table.find(host, path).map(|route| route.name.to_string());
    assert_eq!(name("a.example", "/x/y/z").as_deref(), Some("deep"));
    assert_eq!(name("a.example", "/x/yy").as_deref(), Some("mid"));
    assert_eq!(name("A.Example:8080", "/").as_deref(), Some("all"));
    assert_eq!(name("b.example", "/x/y/z").as_deref(), Some("other"));
    assert_eq!(name("b.example", "/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn a_split_follows_its_weights_and_is_stable_per_request_id() {
    let split = route("r", "h", "/", &[("big", 90), ("small", 10), ("none", 0)]);
    let target = |n: usize| pick_target(&split, &format!("id-{n}")).map(|t| t.service.to_string());
    let small = (0..5_000).filter(|n| target(*n).as_deref() == Some("small")).count();
    assert!((400..600).contains(&small), "{small}");
    assert!((0..5_000).all(|n| target(n).as_deref() != Some("none")));
    assert!((0..100).all(|n| target(n) == target(n)));
    assert!(pick_target(&route("r", "h", "/", &[("none", 0)]), "id").is_none());
}
