//! Who is there.

use portrack::Time;
use portrack::gateway::{
    Capabilities, EraReport, EraTracker, Heartbeat, Incarnation, PeerChange, Peers,
};
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
        heard: 3,
        capacity: 100,
        news: Vec::new(),
        capabilities: Capabilities::OWN,
        store: EraReport::default(),
    }
}

fn peers() -> Peers {
    Peers::new(address(1), 100, vec![address(1), address(2)])
}

#[test]
fn seeds_are_asked_first_and_hearsay_next() {
    let mut peers = peers();
    assert_eq!(peers.targets(Time(0)), [address(2)]);
    assert_eq!(peers.on_heartbeat(Time(10), beat(3, 1)), Some(PeerChange::Up));
    let targets = peers.targets(Time(20));
    assert!(targets.contains(&address(3)) && targets.contains(&address(103)), "{targets:?}");
}

#[test]
fn a_daemon_that_was_only_heard_of_is_greeted_more_than_once() {
    let mut peers = peers();
    peers.add_candidate(address(9));
    let greeted = (0..10).filter(|_| peers.targets(Time(0)).contains(&address(9))).count();
    assert_eq!(greeted, 4, "one datagram may be lost");
}

#[test]
fn a_daemon_does_not_count_itself() {
    let mut peers = peers();
    assert_eq!(peers.on_heartbeat(Time(10), beat(1, 1)), None);
    assert_eq!(peers.up(Time(10)).count(), 0);
}

/// It has forgotten what the others told it, and must be told again.
#[test]
fn a_daemon_that_started_again_before_it_was_missed_comes_up_anew() {
    let mut peers = peers();
    assert_eq!(peers.on_heartbeat(Time(10), beat(3, 1)), Some(PeerChange::Up));
    assert_eq!(peers.on_heartbeat(Time(300), beat(3, 1)), None);
    assert_eq!(peers.on_heartbeat(Time(600), beat(3, 2)), Some(PeerChange::Up));
    assert_eq!(peers.on_heartbeat(Time(900), beat(3, 2)), None);
}

#[test]
fn an_earlier_life_is_not_believed() {
    let mut peers = peers();
    peers.on_heartbeat(Time(10), beat(3, 5));
    let mut old = beat(3, 4);
    old.orders = vec![77];
    peers.on_heartbeat(Time(20), old);
    assert!(peers.orderer(Time(30), 77).is_none());
    assert!(peers.orderer(Time(30), 3).is_some());
}

#[test]
fn what_a_silent_daemon_said_of_its_orders_is_soon_not_believed() {
    let mut peers = peers();
    peers.on_heartbeat(Time(10), beat(3, 1));
    assert!(peers.orderer(Time(1_300), 3).is_some());
    assert!(peers.orderer(Time(1_500), 3).is_none());
    assert_eq!(peers.up(Time(1_500)).count(), 1);
    assert_eq!(peers.up(Time(3_100)).count(), 0);
}

#[test]
fn the_best_informed_daemon_is_asked() {
    let mut peers = peers();
    peers.on_heartbeat(Time(10), beat(3, 1));
    peers.on_heartbeat(Time(10), beat(5, 1));
    assert_eq!(peers.most_up_to_date(Time(20), &EraTracker::default(), 2), Some(address(5)));
    assert_eq!(peers.most_up_to_date(Time(20), &EraTracker::default(), 5), None);
}

#[test]
fn those_that_leave_or_see_no_store_do_not_claim() {
    let mut peers = peers();
    let mut blind = beat(3, 1);
    blind.sees_store = false;
    let mut leaving = beat(4, 1);
    leaving.leaving = true;
    peers.on_heartbeat(Time(10), blind);
    assert_eq!(peers.on_heartbeat(Time(10), leaving), Some(PeerChange::Leaving));
    peers.on_heartbeat(Time(10), beat(5, 1));
    let able: Vec<String> =
        peers.claimants_by_hall(Time(20), "a").0.iter().map(|n| n.to_string()).collect();
    assert_eq!(able, ["n5"]);
    assert!(peers.claimants_by_hall(Time(20), "b").0.is_empty());
}

#[test]
fn in_a_large_fleet_a_heartbeat_goes_to_some_in_turn() {
    let mut peers = peers();
    for last in 10..60 {
        peers.on_heartbeat(Time(10), beat(last, 1));
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
        peers.on_heartbeat(Time(0), beat(last, 1));
    }
    let round = 120 / 12 * 300;
    assert!(peers.orderer(Time(2 * round), 50).is_some(), "two turns may be lost");
    assert!(peers.orderer(Time(3 * round), 50).is_none());
    assert_eq!(peers.up(Time(4 * round)).count(), 120);
    assert_eq!(peers.up(Time(5 * round)).count(), 0);
}

#[test]
fn a_daemon_that_knows_few_others_is_told_of_more_each_time() {
    let mut peers = peers();
    for last in 10..130 {
        peers.on_heartbeat(Time(0), beat(last, 1));
    }
    assert!(peers.addresses_for_new_peer(Time(10), 60).is_empty(), "it knows half of them");
    let first = peers.addresses_for_new_peer(Time(10), 2);
    let second = peers.addresses_for_new_peer(Time(10), 2);
    assert_eq!((first.len(), second.len()), (64, 64));
    let told: std::collections::BTreeSet<_> = first.into_iter().chain(second).collect();
    assert_eq!(told.len(), 120, "all within two answers");
}

#[test]
fn daemons_that_were_only_heard_of_are_greeted_some_at_a_time() {
    let mut peers = peers();
    (20..140).for_each(|last| peers.add_candidate(address(last)));
    let mut greeted = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let targets = peers.targets(Time(0));
        assert!(targets.len() <= 30, "{}", targets.len());
        greeted.extend(targets);
    }
    assert!((20..140).all(|last| greeted.contains(&address(last))));
}

#[test]
fn the_best_suited_daemons_of_a_hall_work_for_the_others_and_get_the_notices() {
    let mut peers = peers();
    for last in 10..60 {
        let mut small = beat(last, 1);
        small.capacity = if last % 10 == 0 { 1_000 } else { 10 };
        peers.on_heartbeat(Time(0), small);
    }
    let order = peers.watch_order(Time(10), "a", "n1");
    assert_eq!(order.len(), 51);
    let first: Vec<u8> = order[..5]
        .iter()
        .map(|address| match address {
            SocketAddr::V4(address) => address.ip().octets()[3],
            SocketAddr::V6(_) => 0,
        })
        .collect();
    assert!(first.iter().all(|last| last % 10 == 0), "{first:?}");
    assert_eq!(order[5], address(1), "then this one, of middle size");
    assert_eq!(peers.notice_targets(Time(10)), order[..3]);
}

#[test]
fn in_a_small_fleet_all_get_the_notices() {
    let mut peers = peers();
    for last in 10..34 {
        peers.on_heartbeat(Time(0), beat(last, 1));
    }
    assert_eq!(peers.notice_targets(Time(10)).len(), 24);
}

fn heard_in(peers: &mut Peers, now: u64, last: u8, hall: &str) {
    let mut heartbeat = beat(last, 1);
    heartbeat.hall = hall.into();
    peers.on_heartbeat(Time(now), heartbeat);
}

/// Two daemons of each of two halls, heard at 0, and one of a third.
fn two_halls() -> Peers {
    let mut peers = peers();
    for (last, hall) in [(2, "a"), (6, "a"), (3, "b"), (4, "b"), (5, "c")] {
        heard_in(&mut peers, 0, last, hall);
    }
    peers
}

#[test]
fn a_hall_of_which_nothing_is_heard_is_silent_until_it_is_heard_again() {
    let mut peers = two_halls();
    heard_in(&mut peers, 1_400, 2, "a");
    assert!(peers.silent_halls(Time(1_490), "a").is_empty(), "ten heartbeats of two daemons");
    assert_eq!(
        peers.silent_halls(Time(1_500), "a"),
        ["b".into()],
        "c has one daemon, which may end"
    );
    heard_in(&mut peers, 1_600, 4, "b");
    assert!(peers.silent_halls(Time(1_650), "a").is_empty());
}

#[test]
fn in_a_large_fleet_a_hall_is_silent_sooner_than_a_round_but_not_by_chance() {
    let mut peers = peers();
    for last in 2..=120 {
        heard_in(&mut peers, 0, last, if last % 3 == 0 { "b" } else { "a" });
    }
    heard_in(&mut peers, 900, 4, "a");
    assert!(peers.silent_halls(Time(750), "a").is_empty());
    assert_eq!(peers.silent_halls(Time(1_000), "a"), ["b".into()]);
}

#[test]
fn a_daemon_that_hears_nobody_takes_itself_for_cut_off_and_no_hall_for_silent() {
    assert!(two_halls().silent_halls(Time(1_600), "a").is_empty());
}

#[test]
fn daemons_of_a_large_fleet_begin_their_rounds_at_different_ones() {
    let first_target = |me: u8| {
        let mut peers = Peers::new(address(me), 100, Vec::new());
        (10..130).for_each(|last| {
            let mut heartbeat = beat(last, 1);
            heartbeat.known = Vec::new();
            peers.on_heartbeat(Time(0), heartbeat);
        });
        peers.targets(Time(10))[0]
    };
    let firsts: std::collections::BTreeSet<SocketAddr> = (200..230).map(first_target).collect();
    assert!(firsts.len() >= 15, "{}", firsts.len());
}

#[test]
fn a_machine_that_was_never_heard_is_where_its_name_says_and_a_silent_one_is_nowhere() {
    let mut peers = peers();
    assert_eq!(peers.machine_address(Time(0), "n9|10.0.0.9:7000"), Some(address(9)));
    peers.on_heartbeat(Time(0), beat(9, 1));
    assert_eq!(peers.machine_address(Time(100), "n9|10.0.0.9:7000"), Some(address(9)));
    assert_eq!(peers.machine_address(Time(5_000), "n9|10.0.0.9:7000"), None);
    assert_eq!(peers.machine_address(Time(100), "n9|10.0.0.8:7000"), None, "it has moved");
}

#[test]
fn a_daemon_knows_for_how_long_it_has_heard_nobody() {
    let mut peers = peers();
    assert_eq!(peers.silent_for(Time(5_000)), None, "it never heard anybody");
    peers.on_heartbeat(Time(100), beat(3, 1));
    peers.on_heartbeat(Time(400), beat(4, 1));
    peers.on_heartbeat(Time(500), beat(1, 1));
    assert_eq!(peers.silent_for(Time(1_400)), Some(std::time::Duration::from_millis(1_000)));
}

/// Its clock may have gone back before it started again; it is told, and rises above.
#[test]
fn a_daemon_that_tells_of_a_former_life_is_known_to() {
    let mut peers = peers();
    assert_eq!(peers.on_heartbeat(Time(10), beat(3, 9)), Some(PeerChange::Up));
    assert_eq!(peers.on_heartbeat(Time(20), beat(3, 4)), Some(PeerChange::StaleIncarnation(9)));
    let life = Incarnation::new(4);
    assert!(life.raise_above(9) && !life.raise_above(9));
    assert_eq!(peers.on_heartbeat(Time(30), beat(3, life.number())), Some(PeerChange::Up));
}
