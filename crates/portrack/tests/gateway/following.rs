//! Which daemons watch the store, and which peers the others follow.

use portrack::Time;
use portrack::gateway::{
    Distance, PeerTopology, SourceFailure, SourceSelector, SyncReport, SyncSource, SyncState,
    SyncTimings,
};
use std::net::SocketAddr;
use std::time::Duration;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn hall(daemons: u8) -> Vec<SocketAddr> {
    (1..=daemons).map(address).collect()
}

/// The topology seen from one daemon of a hall, with `remote` daemons in another hall of the
/// region.
fn topology(group: &[SocketAddr], remote: &[SocketAddr], me: SocketAddr) -> PeerTopology {
    let near = group.iter().filter(|peer| **peer != me).map(|peer| (*peer, Distance::Hall));
    let far = remote.iter().map(|peer| (*peer, Distance::Region));
    PeerTopology { group: group.to_vec(), others: near.chain(far).collect() }
}

fn report(address: SocketAddr, age_ms: u32, standing: SyncState) -> SyncReport {
    SyncReport { address, incarnation: 1, age_ms: Some(age_ms), standing }
}

const NOW: Time = Time(100_000);

/// A selector for changes that must be known within two seconds.
fn selector(me: SocketAddr) -> SourceSelector {
    SourceSelector::new(me, SyncTimings::new(Duration::from_millis(2_000)))
}

/// A selector that has received fresh reports of these watchers.
fn selector_with_reports(me: SocketAddr, watching: &[SocketAddr]) -> SourceSelector {
    let mut selector = selector(me);
    for peer in watching.iter().filter(|peer| **peer != me) {
        selector.heard(NOW, &report(*peer, 300, SyncState::Watches), &[]);
    }
    selector
}

/// A proof of this age.
fn proof(age_ms: i64) -> Option<i64> {
    Some(NOW.0 as i64 - age_ms)
}

/// The daemons of a hall that select the store, with fresh copies and with these known watchers.
fn store_selectors(group: &[SocketAddr], watching: &[SocketAddr]) -> Vec<SocketAddr> {
    let selects_store = |me: &SocketAddr| {
        let topology = topology(group, &[], *me);
        selector_with_reports(*me, watching).select_source(NOW, &topology, proof(300))
            == SyncSource::Store
    };
    group.iter().copied().filter(selects_store).collect()
}

#[test]
fn both_daemons_of_a_group_of_two_watch() {
    assert_eq!(store_selectors(&hall(2), &hall(2)), hall(2));
}

#[test]
fn larger_group_has_two_watchers_with_followers_spread_evenly() {
    for daemons in [3, 4, 5, 20] {
        let order = hall(daemons);
        assert_eq!(store_selectors(&order, &order[..2]), order[..2]);
    }
    let order = hall(20);
    let followed = |me: u8| {
        selector_with_reports(address(me), &order[..2]).select_source(
            NOW,
            &topology(&order, &[], address(me)),
            proof(300),
        )
    };
    let follow_first = (3..=20).filter(|me| followed(*me) == SyncSource::Peer(address(1)));
    assert_eq!(follow_first.count(), 9);
}

#[test]
fn next_daemon_watches_if_a_watcher_is_rejected() {
    let order = hall(20);
    for (last, expected) in [(2, true), (3, true), (4, false)] {
        let me = address(last);
        let mut selector = selector_with_reports(me, &order[..2]);
        selector.heard(NOW, &report(address(1), 300, SyncState::TurnedAway), &[]);
        let source = selector.select_source(NOW, &topology(&order, &[], me), proof(300));
        assert_eq!(source == SyncSource::Store, expected, "{last}");
    }
}

#[test]
fn followers_of_a_lost_watcher_switch_to_the_other_watcher() {
    let order = hall(20);
    for me in 3..=20 {
        for (lost, kept) in [(1, 2), (2, 1)] {
            let mut selector = selector_with_reports(address(me), &order[..2]);
            selector.heard(NOW, &report(address(9), 100, SyncState::Follows), &[]);
            selector.mark_failed(NOW, address(lost), SourceFailure::Ended);
            let source =
                selector.select_source(NOW, &topology(&order, &[], address(me)), proof(300));
            assert_eq!(source, SyncSource::Peer(address(kept)));
        }
    }
}

#[test]
fn rejected_watcher_follows_the_other_and_retries_the_store_later() {
    let order = hall(20);
    let topology = topology(&order, &[], address(1));
    let mut selector = selector_with_reports(address(1), &order[..2]);
    assert_eq!(selector.select_source(NOW, &topology, proof(0)), SyncSource::Store);
    selector.on_store_response();
    assert_eq!(selector.state(), SyncState::Watches);
    selector.on_store_failure(NOW, NOW);
    assert_eq!(
        selector.select_source(NOW, &topology, proof(300)),
        SyncSource::Store,
        "one failure is tolerated"
    );
    let later = NOW + Duration::from_millis(500);
    selector.on_store_failure(later, later);
    assert_eq!(selector.state(), SyncState::TurnedAway);
    assert_eq!(selector.select_source(later, &topology, proof(300)), SyncSource::Peer(address(2)));
    let again = later + Duration::from_millis(4_000);
    assert_eq!(selector.select_source(again, &topology, proof(-4_000)), SyncSource::Store);
}

#[test]
fn without_known_watchers_daemons_query_the_store_in_stages() {
    let order = hall(20);
    let querying = |age: i64| {
        let queries_store = |me: &SocketAddr| {
            let source = selector(*me).select_source(NOW, &topology(&order, &[], *me), proof(age));
            source == SyncSource::Store
        };
        order.iter().filter(|me| queries_store(me)).count()
    };
    assert_eq!([1_300, 1_320, 1_390, 1_450, 1_510].map(querying), [2, 2, 6, 14, 20]);
    let mut without_proof = selector(address(20));
    assert_eq!(
        without_proof.select_source(NOW, &topology(&order, &[], address(20)), None),
        SyncSource::Store
    );
}

#[test]
fn substitute_watcher_continues_until_two_earlier_daemons_watch() {
    let order = hall(20);
    let topology = topology(&order, &[], address(9));
    let mut selector = selector(address(9));
    assert_eq!(selector.select_source(NOW, &topology, proof(1_900)), SyncSource::Store);
    selector.on_store_response();
    assert_eq!(selector.select_source(NOW, &topology, proof(0)), SyncSource::Store);
    selector.heard(NOW, &report(address(1), 300, SyncState::Watches), &[]);
    selector.heard(NOW, &report(address(12), 300, SyncState::Watches), &[]);
    assert_eq!(
        selector.select_source(NOW, &topology, proof(0)),
        SyncSource::Store,
        "daemon 12 ranks after it"
    );
    selector.heard(NOW, &report(address(2), 300, SyncState::Watches), &[]);
    assert!(matches!(selector.select_source(NOW, &topology, proof(0)), SyncSource::Peer(_)));
    assert!(!selector.watches());
}

#[test]
fn lone_daemon_watches() {
    assert_eq!(store_selectors(&hall(1), &[]), [address(1)]);
}

#[test]
fn nearest_fresh_watcher_is_followed() {
    let order = hall(20);
    let remote = [address(101), address(102)];
    let me = address(7);
    let mut topology = topology(&order, &remote, me);
    topology.others.push((address(201), Distance::Far));
    let mut selector = selector_with_reports(me, &[address(201)]);
    assert_eq!(selector.select_source(NOW, &topology, proof(300)), SyncSource::Peer(address(201)));
    let later = NOW + Duration::from_millis(300);
    selector.heard(later, &report(address(101), 300, SyncState::Watches), &[]);
    assert_eq!(
        selector.select_source(later, &topology, proof(300)),
        SyncSource::Peer(address(101))
    );
    let later = NOW + Duration::from_millis(600);
    selector.heard(later, &report(address(2), 1_700, SyncState::Watches), &[]);
    assert_eq!(selector.select_source(later, &topology, proof(300)), SyncSource::Peer(address(2)));
}

#[test]
fn stalled_source_is_replaced_by_a_fresher_one() {
    let order = hall(20);
    let topology = topology(&order, &[], address(7));
    let mut selector = selector_with_reports(address(7), &order[..2]);
    let SyncSource::Peer(first) = selector.select_source(NOW, &topology, proof(300)) else {
        panic!("expected a peer as the source")
    };
    let other = if first == address(1) { address(2) } else { address(1) };
    selector.heard(NOW, &report(other, 200, SyncState::Watches), &[]);
    let later = NOW + Duration::from_millis(300);
    assert_eq!(selector.select_source(later, &topology, proof(900)), SyncSource::Peer(first));
    assert_eq!(selector.select_source(later, &topology, proof(1_030)), SyncSource::Peer(other));
    selector.heard(later, &report(first, 0, SyncState::Watches), &[]);
    let source = selector.select_source(later + Duration::from_millis(50), &topology, proof(1_030));
    assert_eq!(
        source,
        SyncSource::Peer(other),
        "a failed source is not followed again immediately"
    );
}

/// Guards against a node that left 47 feeds one after the other, each closed immediately by a
/// daemon that did not watch the store.
#[test]
fn redirect_leads_to_the_named_daemon() {
    let order = hall(20);
    let remote = [address(101), address(102)];
    let topology = topology(&order, &remote, address(7));
    let mut selector = selector_with_reports(address(7), &order[..2]);
    let SyncSource::Peer(asked) = selector.select_source(NOW, &topology, proof(300)) else {
        panic!("expected a peer as the source")
    };
    let other = if asked == address(1) { address(2) } else { address(1) };
    let later = NOW + Duration::from_millis(5);
    let own = report(asked, 900, SyncState::TurnedAway);
    let reports = [own, report(address(101), 200, SyncState::Watches)];
    selector.mark_failed(later, other, SourceFailure::Unreachable);
    selector.record_response(later, NOW, &reports);
    selector.mark_failed(later, asked, SourceFailure::Ended);
    assert_eq!(
        selector.select_source(later, &topology, proof(300)),
        SyncSource::Peer(address(101))
    );
}

#[test]
fn age_in_a_response_counts_from_the_query() {
    let order = hall(20);
    let topology = topology(&order, &[], address(7));
    let mut selector = selector(address(7));
    let late = NOW + Duration::from_millis(4_000);
    let own = report(address(5), 300, SyncState::Alone);
    selector.record_response(late, NOW, &[own, report(address(9), 300, SyncState::Watches)]);
    let proof = Some(late.0 as i64 - 300);
    assert_eq!(
        selector.select_source(late, &topology, proof),
        SyncSource::Nobody,
        "the report is 4,300 ms old"
    );
}

#[test]
fn restart_invalidates_earlier_reports() {
    let order = hall(20);
    let topology = topology(&order, &[], address(7));
    let mut selector = selector_with_reports(address(7), &order[..1]);
    assert_eq!(selector.select_source(NOW, &topology, proof(300)), SyncSource::Peer(address(1)));
    let restarted = SyncReport {
        address: address(1),
        incarnation: 2,
        age_ms: None,
        standing: SyncState::Watches,
    };
    selector.heard(NOW, &restarted, &[]);
    assert_eq!(selector.select_source(NOW, &topology, proof(300)), SyncSource::Nobody);
    selector.heard(
        NOW,
        &report(address(3), 900, SyncState::Follows),
        &[report(address(1), 100, SyncState::Watches)],
    );
    assert_eq!(
        selector.select_source(NOW, &topology, proof(300)),
        SyncSource::Nobody,
        "the report is about the earlier incarnation"
    );
}

#[test]
fn freshest_peers_are_queried_and_no_staler_ones() {
    let order = hall(6);
    let topology = topology(&order, &[], address(1));
    let mut selector = selector(address(1));
    for (last, age) in [(2, 1_500), (3, 200), (4, 700), (5, 1_180), (6, 400)] {
        selector.heard(NOW, &report(address(last), age, SyncState::Follows), &[]);
    }
    let asked = selector.fresher_peers(NOW, &topology, proof(1_400), 3);
    assert_eq!(asked, [address(3), address(6), address(4)]);
    assert_eq!(selector.fresher_peers(NOW, &topology, proof(300), 3), []);
}
