//! How many servers an adapter should be loaded at.

use crate::support::ms;
use portrack::gateway::{ReplicaDemand, mean_run_time};
use std::time::Duration;

/// Demand at one server of 24 slots whose requests run for 1.8 s.
fn demand(per_second: f64, holders: usize, place: usize) -> ReplicaDemand {
    ReplicaDemand {
        per_second,
        runs: ms(1_800),
        reads: Duration::ZERO,
        slots: 24,
        holders,
        current: holders,
        coming: 0,
        place,
    }
}

#[test]
fn what_one_server_bears_needs_no_replica() {
    assert_eq!(demand(5.0, 1, 0).missing_here(), 0);
}

#[test]
fn sixty_requests_a_second_need_ten_servers_and_not_all_are_asked_for_at_once() {
    assert_eq!(demand(60.0, 1, 0).missing_here(), 4);
    let rest = (0..5).map(|place| demand(12.0, 5, place).missing_here()).sum::<usize>();
    assert_eq!(rest, 5, "each holder asks for its part of the five that are missing");
    let enough = (0..10).map(|place| demand(6.0, 10, place).missing_here()).sum::<usize>();
    assert_eq!(enough, 0);
}

#[test]
fn what_is_on_its_way_counts() {
    let on_its_way = ReplicaDemand { coming: 9, ..demand(60.0, 1, 0) };
    assert_eq!(on_its_way.missing_here(), 0);
}

#[test]
fn the_demand_at_servers_with_an_older_version_calls_for_as_many_with_the_newest() {
    let older = |place| ReplicaDemand { current: 1, ..demand(12.0, 5, place) };
    let missing = (0..5).map(|place| older(place).missing_here()).sum::<usize>();
    assert_eq!(missing, 9, "ten are wanted, one is there");
}

#[test]
fn the_time_that_requests_run_follows_from_how_many_run() {
    assert_eq!(mean_run_time(18.0, 10.0), ms(1_800));
    assert_eq!(mean_run_time(0.0, 0.0), ms(1_500), "a guess while nothing is known");
    assert_eq!(mean_run_time(0.0, 10.0), ms(300));
    assert_eq!(mean_run_time(1_000.0, 2.0), ms(10_000));
}
