//! The number of servers on which an adapter should be loaded.

use crate::support::ms;
use portrack::gateway::{ReplicaDemand, mean_run_time};
use std::time::Duration;

/// Demand on one server with 24 slots whose requests run for 1.8 s.
fn demand(per_second: f64, holders: usize, index: usize) -> ReplicaDemand {
    ReplicaDemand {
        per_second,
        run_time: ms(1_800),
        prefill_time: Duration::ZERO,
        slots: 24,
        holders,
        current: holders,
        coming: 0,
        index,
    }
}

#[test]
fn demand_within_one_server_needs_no_replica() {
    assert_eq!(demand(5.0, 1, 0).replicas_to_request(), 0);
}

#[test]
fn sixty_requests_per_second_need_ten_servers_requested_in_steps() {
    assert_eq!(demand(60.0, 1, 0).replicas_to_request(), 4);
    let rest = (0..5).map(|index| demand(12.0, 5, index).replicas_to_request()).sum::<usize>();
    assert_eq!(rest, 5, "each holder requests its part of the five missing replicas");
    let enough = (0..10).map(|index| demand(6.0, 10, index).replicas_to_request()).sum::<usize>();
    assert_eq!(enough, 0);
}

#[test]
fn loading_replicas_count() {
    let loading = ReplicaDemand { coming: 9, ..demand(60.0, 1, 0) };
    assert_eq!(loading.replicas_to_request(), 0);
}

#[test]
fn demand_for_an_outdated_version_requires_as_many_holders_of_the_newest() {
    let older = |index| ReplicaDemand { current: 1, ..demand(12.0, 5, index) };
    let missing = (0..5).map(|index| older(index).replicas_to_request()).sum::<usize>();
    assert_eq!(missing, 9, "ten are wanted, one exists");
}

#[test]
fn run_time_follows_from_the_number_of_running_requests() {
    assert_eq!(mean_run_time(18.0, 10.0), ms(1_800));
    assert_eq!(mean_run_time(0.0, 0.0), ms(1_500), "the default while nothing is known");
    assert_eq!(mean_run_time(0.0, 10.0), ms(300));
    assert_eq!(mean_run_time(1_000.0, 2.0), ms(10_000));
}
