//! Cold servers are spared: they are chosen as much less as they bear less.
//!
//! A hall whose servers came back cold together was idle, so everybody sent there, and each server got
//! more requests a second than it bears.

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

/// The hall of the servers; all are of one region.
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
fn a_cold_server_weighs_what_it_bears_against_its_slots() {
    let cold = ColdServer::new(Time(3_000), 24, 8.0);
    assert!(cold.cost(Time(0), 0) > 1.0, "of two idle ones the warm one, also in another hall");
    assert!((cold.cost(Time(0), 5) - cold.cost(Time(0), 0) - 10.0).abs() < 1e-9);
    assert!(cold.cost(Time(3_000), 5).abs() < f64::EPSILON, "it is warm");
    let strong = ColdServer::new(Time(3_000), 4, 100.0);
    assert!((strong.weight - 1.0).abs() < f64::EPSILON, "it bears more than it has slots");
}

#[test]
fn a_cold_server_gets_as_much_less_than_a_warm_one_as_it_bears_less() {
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
fn where_all_are_cold_they_share_the_requests() {
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
fn a_cold_server_whose_time_is_over_is_one_like_others() {
    let loads = table(&["s0"]);
    assert!(loads.is_cold(Time(0), "s0") && !loads.is_cold(Time(0), "s1"));
    let later = COLD.until + ms(1);
    assert!(!loads.is_cold(later, "s0"));
}
