//! Where an adapter is loaded.

use crate::support::key;
use portrack::gateway::{LoadTarget, choose_load_target};
use std::collections::HashMap;
use std::rc::Rc;

fn open(costs: &[f64]) -> Vec<LoadTarget> {
    let named = costs.iter().enumerate();
    named
        .map(|(n, cost)| LoadTarget {
            server: format!("s{n}").into(),
            slots: 64,
            cost: *cost,
            is_cached: false,
            is_near: true,
        })
        .collect()
}

#[test]
fn everybody_chooses_the_same_home_and_homes_are_spread() {
    let servers = open(&[0.0; 6]);
    let mut counts: HashMap<Rc<str>, usize> = HashMap::new();
    for n in 0..600 {
        let key = key(&format!("a{n}"));
        let chosen = choose_load_target(&key, &servers).expect("a home");
        let mut reversed = servers.clone();
        reversed.reverse();
        assert_eq!(choose_load_target(&key, &reversed), Some(chosen.clone()));
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(counts.values().all(|count| (60..150).contains(count)), "{counts:?}");
}

#[test]
fn a_home_stays_unless_it_is_much_busier_or_gone() {
    let quiet = open(&[0.0; 6]);
    let first = choose_load_target(&key("a1"), &quiet).expect("a home");
    let with_cost = |cost: f64| {
        let mut servers = quiet.clone();
        servers.iter_mut().filter(|home| home.server == first).for_each(|home| home.cost = cost);
        choose_load_target(&key("a1"), &servers).expect("a home")
    };
    assert_eq!(with_cost(5.0), first);
    assert_ne!(with_cost(50.0), first);
    let others: Vec<LoadTarget> = quiet.into_iter().filter(|home| home.server != first).collect();
    assert_ne!(choose_load_target(&key("a1"), &others).expect("a home"), first);
    assert_eq!(choose_load_target(&key("a1"), &[]), None);
}

#[test]
fn a_server_that_has_the_adapter_at_hand_is_its_home_unless_it_is_much_busier() {
    let cold = open(&[0.0; 6]);
    let first = choose_load_target(&key("a1"), &cold).expect("a home");
    let mut servers = cold.clone();
    let warm = servers.iter_mut().find(|home| home.server != first).expect("another one");
    warm.is_cached = true;
    let server = warm.server.clone();
    assert_eq!(choose_load_target(&key("a1"), &servers), Some(server.clone()));
    servers.iter_mut().filter(|home| home.is_cached).for_each(|home| home.cost = 10.0);
    assert_eq!(choose_load_target(&key("a1"), &servers), Some(server), "a fetch would take longer");
    servers.iter_mut().filter(|home| home.is_cached).for_each(|home| home.cost = 20.0);
    assert_eq!(choose_load_target(&key("a1"), &servers), Some(first));
}
