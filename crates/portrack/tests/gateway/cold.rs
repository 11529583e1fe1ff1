//! Cold servers get fewer requests, in proportion to their lower throughput.
//!
//! Guards against overload after a hall's servers restart together: the hall was idle, so all
//! requests were sent there, and each server got more requests a second than it could handle.

use crate::support::{backend, ms};
use portrack::Time;
use portrack::gateway::{
    Backend, ColdServer, LoadTable, Locality, Regions, cheaper_of_two, cheapest,
};
use std::collections::HashMap;
use std::rc::Rc;

const COLD: ColdServer = ColdServer { until: Time(3_000), weight: 2.5 };

fn servers(count: usize) -> Vec<Rc<Backend>> {
    (0..count).map(|n| Rc::new(backend(&format!("s{n}"), &[]))).collect()
}

/// The hall of the servers; there is only one region.
fn locality() -> Locality {
    Locality::new("a", Regions::default())
}

fn table(cold: &[&str]) -> Rc<LoadTable> {
    let loads = Rc::new(LoadTable::default());
    let cold: HashMap<Rc<str>, ColdServer> = cold.iter().map(|id| ((*id).into(), COLD)).collect();
    loads.set_cold(cold);
    loads
}

#[test]
fn a_cold_servers_weight_is_its_slots_over_its_throughput() {
    let cold = ColdServer::new(Time(3_000), 24, 8.0);
    assert!(
        cold.cost(Time(0), 0) > 1.0,
        "of two idle servers the warm one is cheaper, even in another hall"
    );
    assert!((cold.cost(Time(0), 5) - cold.cost(Time(0), 0) - 10.0).abs() < 1e-9);
    assert!(cold.cost(Time(3_000), 5).abs() < f64::EPSILON, "it is warm");
    let strong = ColdServer::new(Time(3_000), 4, 100.0);
    assert!((strong.weight - 1.0).abs() < f64::EPSILON, "its throughput exceeds its slots");
}

#[test]
fn a_cold_server_gets_requests_in_proportion_to_its_throughput() {
    let all = servers(2);
    let loads = table(&["s1"]);
    let mut running = Vec::new();
    let mut at_cold = 0;
    for _ in 0..28 {
        let one = cheapest(Time(0), &loads, &locality(), &[], all.iter()).expect("a server");
        at_cold += usize::from(&*one.id == "s1");
        running.push(loads.begin(Time(0), &one.id, 0));
    }
    assert_eq!(at_cold, 7, "of 28, 21 at the warm one: 21 against 4 and 2.5 times 7");
}

#[test]
fn cold_servers_share_the_requests_if_all_are_cold() {
    let all = servers(6);
    let ids: Vec<&str> = all.iter().map(|backend| &*backend.id).collect();
    let loads = table(&ids);
    let mut chosen: HashMap<String, usize> = HashMap::new();
    for n in 0..300 {
        let id = format!("r{n}");
        let two =
            cheaper_of_two(Time(0), &loads, &locality(), &id, &[], all.iter()).expect("a server");
        *chosen.entry(two.id.to_string()).or_default() += 1;
    }
    assert!(chosen.len() >= 5, "{chosen:?}");
    assert!(chosen.values().all(|count| *count < 150), "{chosen:?}");
}

#[test]
fn a_cold_server_is_warm_after_its_time() {
    let loads = table(&["s0"]);
    assert!(loads.is_cold(Time(0), "s0") && !loads.is_cold(Time(0), "s1"));
    let later = COLD.until + ms(1);
    assert!(!loads.is_cold(later, "s0"));
}
