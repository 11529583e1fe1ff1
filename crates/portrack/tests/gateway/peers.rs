//! Who is there.

use portrack::Time;
use portrack::gateway::{Heartbeat, PeerChange, Peers};
use std::net::SocketAddr;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn beat(last: u8, incarnation: u64) -> Heartbeat {
    Heartbeat {
        node: format!("n{last}"),
        hall: "a".into(),
        address: address(last),
        incarnation,
        revision: u64::from(last),
        leaving: false,
        sees_store: true,
        watches: true,
        orders: vec![u32::from(last)],
        work: Vec::new(),
        known: vec![address(last + 100)],
    }
}

fn peers() -> Peers {
    Peers::new(address(1), vec![address(1), address(2)])
}

#[test]
fn seeds_are_asked_first_and_hearsay_next() {
    let mut peers = peers();
    assert_eq!(peers.targets(Time(0)), [address(2)]);
    assert_eq!(peers.heard(Time(10), beat(3, 1)), Some(PeerChange::Up));
    let targets = peers.targets(Time(20));
    assert!(targets.contains(&address(3)) && targets.contains(&address(103)), "{targets:?}");
}

#[test]
fn a_daemon_that_was_only_heard_of_is_greeted_more_than_once() {
    let mut peers = peers();
    peers.hear_of(address(9));
    let greeted = (0..10).filter(|_| peers.targets(Time(0)).contains(&address(9))).count();
    assert_eq!(greeted, 4, "one datagram may be lost");
}

#[test]
fn a_daemon_does_not_count_itself() {
    let mut peers = peers();
    assert_eq!(peers.heard(Time(10), beat(1, 1)), None);
    assert_eq!(peers.up(Time(10)).count(), 0);
}

#[test]
fn an_earlier_life_is_not_believed() {
    let mut peers = peers();
    peers.heard(Time(10), beat(3, 5));
    let mut old = beat(3, 4);
    old.orders = vec![77];
    peers.heard(Time(20), old);
    assert!(peers.orderer(Time(30), 77).is_none());
    assert!(peers.orderer(Time(30), 3).is_some());
}

#[test]
fn what_a_silent_daemon_said_of_its_orders_is_soon_not_believed() {
    let mut peers = peers();
    peers.heard(Time(10), beat(3, 1));
    assert!(peers.orderer(Time(1_300), 3).is_some());
    assert!(peers.orderer(Time(1_500), 3).is_none());
    assert_eq!(peers.up(Time(1_500)).count(), 1);
    assert_eq!(peers.up(Time(3_100)).count(), 0);
}

#[test]
fn the_best_informed_daemon_is_asked() {
    let mut peers = peers();
    peers.heard(Time(10), beat(3, 1));
    peers.heard(Time(10), beat(5, 1));
    assert_eq!(peers.better_informed(Time(20), 2), Some(address(5)));
    assert_eq!(peers.better_informed(Time(20), 5), None);
}

#[test]
fn those_that_leave_or_see_no_store_do_not_claim() {
    let mut peers = peers();
    let mut blind = beat(3, 1);
    blind.sees_store = false;
    let mut leaving = beat(4, 1);
    leaving.leaving = true;
    peers.heard(Time(10), blind);
    assert_eq!(peers.heard(Time(10), leaving), Some(PeerChange::Leaving));
    peers.heard(Time(10), beat(5, 1));
    let able: Vec<String> =
        peers.able_by_hall(Time(20), "a").0.iter().map(|n| n.to_string()).collect();
    assert_eq!(able, ["n5"]);
    assert!(peers.able_by_hall(Time(20), "b").0.is_empty());
}

#[test]
fn in_a_large_fleet_a_heartbeat_goes_to_some_in_turn() {
    let mut peers = peers();
    for last in 10..60 {
        peers.heard(Time(10), beat(last, 1));
    }
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let targets = peers.targets(Time(20));
        assert!(targets.len() <= 30, "{}", targets.len());
        reached.extend(targets);
    }
    assert!((10..60).all(|last| reached.contains(&address(last))), "all are reached in 8 rounds");
}

#[test]
fn in_a_large_fleet_daemons_are_believed_until_their_turn_comes_again() {
    let mut peers = peers();
    for last in 10..130 {
        peers.heard(Time(0), beat(last, 1));
    }
    let round = 120 / 12 * 300;
    assert!(peers.orderer(Time(2 * round), 50).is_some(), "two turns may be lost");
    assert!(peers.orderer(Time(3 * round), 50).is_none());
    assert_eq!(peers.up(Time(4 * round)).count(), 120);
    assert_eq!(peers.up(Time(5 * round)).count(), 0);
}
