//! The choice of the server on which an adapter is loaded.

use crate::support::key;
use portrack::gateway::{LoadTarget, choose_load_target};
use std::collections::HashMap;
use std::rc::Rc;

fn targets(costs: &[f64]) -> Vec<LoadTarget> {
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
fn all_daemons_choose_the_same_target_and_targets_are_spread() {
    let servers = targets(&[0.0; 6]);
    let mut counts: HashMap<Rc<str>, usize> = HashMap::new();
    for n in 0..600 {
        let key = key(&format!("a{n}"));
        let chosen = choose_load_target(&key, &servers).expect("a load target");
        let mut reversed = servers.clone();
        reversed.reverse();
        assert_eq!(choose_load_target(&key, &reversed), Some(chosen.clone()));
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(counts.values().all(|count| (60..150).contains(count)), "{counts:?}");
}

#[test]
fn target_is_kept_unless_much_busier_or_removed() {
    let quiet = targets(&[0.0; 6]);
    let first = choose_load_target(&key("a1"), &quiet).expect("a load target");
    let with_cost = |cost: f64| {
        let mut servers = quiet.clone();
        servers
            .iter_mut()
            .filter(|target| target.server == first)
            .for_each(|target| target.cost = cost);
        choose_load_target(&key("a1"), &servers).expect("a load target")
    };
    assert_eq!(with_cost(5.0), first);
    assert_ne!(with_cost(50.0), first);
    let others: Vec<LoadTarget> =
        quiet.into_iter().filter(|target| target.server != first).collect();
    assert_ne!(choose_load_target(&key("a1"), &others).expect("a load target"), first);
    assert_eq!(choose_load_target(&key("a1"), &[]), None);
}

#[test]
fn server_with_the_adapter_cached_is_preferred_unless_much_busier() {
    let cold = targets(&[0.0; 6]);
    let first = choose_load_target(&key("a1"), &cold).expect("a load target");
    let mut servers = cold.clone();
    let warm = servers.iter_mut().find(|target| target.server != first).expect("another server");
    warm.is_cached = true;
    let server = warm.server.clone();
    assert_eq!(choose_load_target(&key("a1"), &servers), Some(server.clone()));
    servers.iter_mut().filter(|target| target.is_cached).for_each(|target| target.cost = 10.0);
    assert_eq!(choose_load_target(&key("a1"), &servers), Some(server), "a fetch would take longer");
    servers.iter_mut().filter(|target| target.is_cached).for_each(|target| target.cost = 20.0);
    assert_eq!(choose_load_target(&key("a1"), &servers), Some(first));
}
