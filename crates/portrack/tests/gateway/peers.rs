//! Tests of the peer table: which daemons are up, and where datagrams go.

use portrack::Time;
use portrack::gateway::{
    Capabilities, EraReport, EraTracker, Heartbeat, Incarnation, PeerChange, Peers,
};
use std::net::SocketAddr;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn heartbeat_of(last: u8, incarnation: u64) -> Heartbeat {
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
        cut_off_from_servers: false,
    }
}

fn peers() -> Peers {
    Peers::new(address(1), 100, vec![address(1), address(2)])
}

#[test]
fn heartbeats_go_to_seeds_first_and_then_to_learned_addresses() {
    let mut peers = peers();
    assert_eq!(peers.targets(Time(0)), [address(2)]);
    assert_eq!(peers.on_heartbeat(Time(10), heartbeat_of(3, 1)), Some(PeerChange::Up));
    let targets = peers.targets(Time(20));
    assert!(targets.contains(&address(3)) && targets.contains(&address(103)), "{targets:?}");
}

#[test]
fn a_candidate_gets_several_heartbeats() {
    let mut peers = peers();
    peers.add_candidate(address(9));
    let contacted = (0..10).filter(|_| peers.targets(Time(0)).contains(&address(9))).count();
    assert_eq!(contacted, 4, "datagrams may be lost");
}

#[test]
fn a_daemon_does_not_count_itself() {
    let mut peers = peers();
    assert_eq!(peers.on_heartbeat(Time(10), heartbeat_of(1, 1)), None);
    assert_eq!(peers.up(Time(10)).count(), 0);
}

/// A restarted daemon has lost what the others sent it, so it must be sent again.
#[test]
fn a_restart_without_a_gap_counts_as_coming_up() {
    let mut peers = peers();
    assert_eq!(peers.on_heartbeat(Time(10), heartbeat_of(3, 1)), Some(PeerChange::Up));
    assert_eq!(peers.on_heartbeat(Time(300), heartbeat_of(3, 1)), None);
    assert_eq!(peers.on_heartbeat(Time(600), heartbeat_of(3, 2)), Some(PeerChange::Up));
    assert_eq!(peers.on_heartbeat(Time(900), heartbeat_of(3, 2)), None);
}

#[test]
fn heartbeats_of_an_earlier_incarnation_are_ignored() {
    let mut peers = peers();
    peers.on_heartbeat(Time(10), heartbeat_of(3, 5));
    let mut earlier = heartbeat_of(3, 4);
    earlier.orders = vec![77];
    peers.on_heartbeat(Time(20), earlier);
    assert!(peers.orderer(Time(30), 77).is_none());
    assert!(peers.orderer(Time(30), 3).is_some());
}

#[test]
fn claims_of_a_silent_daemon_expire() {
    let mut peers = peers();
    peers.on_heartbeat(Time(10), heartbeat_of(3, 1));
    assert!(peers.orderer(Time(1_300), 3).is_some());
    assert!(peers.orderer(Time(1_500), 3).is_none());
    assert_eq!(peers.up(Time(1_500)).count(), 1);
    assert_eq!(peers.up(Time(3_100)).count(), 0);
}

#[test]
fn daemons_with_later_state_are_listed_with_the_latest_first() {
    let mut peers = peers();
    peers.on_heartbeat(Time(10), heartbeat_of(3, 1));
    peers.on_heartbeat(Time(10), heartbeat_of(5, 1));
    let eras = EraTracker::default();
    assert_eq!(peers.more_up_to_date(Time(20), &eras, 2), [address(5), address(3)]);
    assert_eq!(peers.more_up_to_date(Time(20), &eras, 3), [address(5)]);
    assert!(peers.more_up_to_date(Time(20), &eras, 5).is_empty());
}

#[test]
fn leaving_and_disconnected_daemons_are_not_claimants() {
    let mut peers = peers();
    let mut disconnected = heartbeat_of(3, 1);
    disconnected.sees_store = false;
    let mut leaving = heartbeat_of(4, 1);
    leaving.leaving = true;
    peers.on_heartbeat(Time(10), disconnected);
    assert_eq!(peers.on_heartbeat(Time(10), leaving), Some(PeerChange::Leaving));
    peers.on_heartbeat(Time(10), heartbeat_of(5, 1));
    let claimants: Vec<String> =
        peers.claimants_by_hall(Time(20), "a").0.iter().map(|n| n.to_string()).collect();
    assert_eq!(claimants, ["n5"]);
    assert!(peers.claimants_by_hall(Time(20), "b").0.is_empty());
}

#[test]
fn in_a_large_fleet_heartbeats_go_round_robin() {
    let mut peers = peers();
    for last in 10..60 {
        peers.on_heartbeat(Time(10), heartbeat_of(last, 1));
    }
    let mut reached = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let targets = peers.targets(Time(20));
        assert!(targets.len() <= 30, "{}", targets.len());
        reached.extend(targets);
    }
    assert!(
        (10..60).all(|last| reached.contains(&address(last))),
        "every daemon is reached within 8 heartbeats"
    );
}

#[test]
fn in_a_large_fleet_timeouts_grow_with_the_round() {
    let mut peers = peers();
    for last in 10..130 {
        peers.on_heartbeat(Time(0), heartbeat_of(last, 1));
    }
    let round = 120 / 12 * 300;
    assert!(peers.orderer(Time(2 * round), 50).is_some(), "two rounds may be lost");
    assert!(peers.orderer(Time(3 * round), 50).is_none());
    assert_eq!(peers.up(Time(4 * round)).count(), 120);
    assert_eq!(peers.up(Time(5 * round)).count(), 0);
}

#[test]
fn a_new_peer_gets_different_addresses_each_time() {
    let mut peers = peers();
    for last in 10..130 {
        peers.on_heartbeat(Time(0), heartbeat_of(last, 1));
    }
    assert!(peers.addresses_for_new_peer(Time(10), 60).is_empty(), "it knows half of the others");
    let first = peers.addresses_for_new_peer(Time(10), 2);
    let second = peers.addresses_for_new_peer(Time(10), 2);
    assert_eq!((first.len(), second.len()), (64, 64));
    let sent: std::collections::BTreeSet<_> = first.into_iter().chain(second).collect();
    assert_eq!(sent.len(), 120, "all addresses are sent within two replies");
}

#[test]
fn candidates_are_contacted_in_batches() {
    let mut peers = peers();
    (20..140).for_each(|last| peers.add_candidate(address(last)));
    let mut contacted = std::collections::BTreeSet::new();
    for _ in 0..8 {
        let targets = peers.targets(Time(0));
        assert!(targets.len() <= 30, "{}", targets.len());
        contacted.extend(targets);
    }
    assert!((20..140).all(|last| contacted.contains(&address(last))));
}

#[test]
fn the_daemons_with_the_highest_capacity_come_first_and_get_the_notices() {
    let mut peers = peers();
    for last in 10..60 {
        let mut small = heartbeat_of(last, 1);
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
    assert_eq!(order[5], address(1), "then this one, of medium capacity");
    assert_eq!(peers.notice_targets(Time(10)), order[..3]);
}

#[test]
fn in_a_small_fleet_all_get_the_notices() {
    let mut peers = peers();
    for last in 10..34 {
        peers.on_heartbeat(Time(0), heartbeat_of(last, 1));
    }
    assert_eq!(peers.notice_targets(Time(10)).len(), 24);
}

fn receive_from_hall(peers: &mut Peers, now: u64, last: u8, hall: &str) {
    let mut heartbeat = heartbeat_of(last, 1);
    heartbeat.hall = hall.into();
    peers.on_heartbeat(Time(now), heartbeat);
}

/// Halls a and b with two daemons each and hall c with one, all heard from at time 0.
fn two_halls() -> Peers {
    let mut peers = peers();
    for (last, hall) in [(2, "a"), (6, "a"), (3, "b"), (4, "b"), (5, "c")] {
        receive_from_hall(&mut peers, 0, last, hall);
    }
    peers
}

#[test]
fn a_hall_without_heartbeats_is_silent_until_the_next_one() {
    let mut peers = two_halls();
    receive_from_hall(&mut peers, 1_400, 2, "a");
    assert!(
        peers.silent_halls(Time(1_490), "a").is_empty(),
        "fewer than ten heartbeats of two daemons are missing"
    );
    assert_eq!(
        peers.silent_halls(Time(1_500), "a"),
        ["b".into()],
        "hall c has one daemon, which may have stopped"
    );
    receive_from_hall(&mut peers, 1_600, 4, "b");
    assert!(peers.silent_halls(Time(1_650), "a").is_empty());
}

#[test]
fn in_a_large_fleet_a_silent_hall_is_detected_within_a_round_but_not_by_chance() {
    let mut peers = peers();
    for last in 2..=120 {
        receive_from_hall(&mut peers, 0, last, if last % 3 == 0 { "b" } else { "a" });
    }
    receive_from_hall(&mut peers, 900, 4, "a");
    assert!(peers.silent_halls(Time(750), "a").is_empty());
    assert_eq!(peers.silent_halls(Time(1_000), "a"), ["b".into()]);
}

#[test]
fn a_daemon_that_is_cut_off_itself_reports_no_silent_hall() {
    assert!(two_halls().silent_halls(Time(1_600), "a").is_empty());
}

#[test]
fn rounds_of_different_daemons_start_at_different_peers() {
    let first_target = |me: u8| {
        let mut peers = Peers::new(address(me), 100, Vec::new());
        (10..130).for_each(|last| {
            let mut heartbeat = heartbeat_of(last, 1);
            heartbeat.known = Vec::new();
            peers.on_heartbeat(Time(0), heartbeat);
        });
        peers.targets(Time(10))[0]
    };
    let first_targets: std::collections::BTreeSet<SocketAddr> =
        (200..230).map(first_target).collect();
    assert!(first_targets.len() >= 15, "{}", first_targets.len());
}

#[test]
fn an_unknown_machine_is_at_the_address_in_its_name_and_a_silent_one_has_none() {
    let mut peers = peers();
    assert_eq!(peers.machine_address(Time(0), "n9|10.0.0.9:7000"), Some(address(9)));
    peers.on_heartbeat(Time(0), heartbeat_of(9, 1));
    assert_eq!(peers.machine_address(Time(100), "n9|10.0.0.9:7000"), Some(address(9)));
    assert_eq!(peers.machine_address(Time(5_000), "n9|10.0.0.9:7000"), None);
    assert_eq!(
        peers.machine_address(Time(100), "n9|10.0.0.8:7000"),
        None,
        "its address has changed"
    );
}

#[test]
fn the_time_without_heartbeats_is_tracked() {
    let mut peers = peers();
    assert_eq!(peers.silent_for(Time(5_000)), None, "no heartbeat has arrived");
    peers.on_heartbeat(Time(100), heartbeat_of(3, 1));
    peers.on_heartbeat(Time(400), heartbeat_of(4, 1));
    peers.on_heartbeat(Time(500), heartbeat_of(1, 1));
    assert_eq!(peers.silent_for(Time(1_400)), Some(std::time::Duration::from_millis(1_000)));
}

/// A daemon restarts after its clock has gone back, so its incarnation number is too low. It is
/// told the known number and raises its own above that.
#[test]
fn a_stale_incarnation_is_reported_and_raised() {
    let mut peers = peers();
    assert_eq!(peers.on_heartbeat(Time(10), heartbeat_of(3, 9)), Some(PeerChange::Up));
    assert_eq!(
        peers.on_heartbeat(Time(20), heartbeat_of(3, 4)),
        Some(PeerChange::StaleIncarnation(9))
    );
    let restarted = Incarnation::new(4);
    assert!(restarted.raise_above(9) && !restarted.raise_above(9));
    assert_eq!(
        peers.on_heartbeat(Time(30), heartbeat_of(3, restarted.number())),
        Some(PeerChange::Up)
    );
}
