//! Who watches the store, and whom the others follow.

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

/// Daemons of a hall, and others in another one of the region, seen from one of the hall.
fn around(group: &[SocketAddr], abroad: &[SocketAddr], me: SocketAddr) -> PeerTopology {
    let near = group.iter().filter(|peer| **peer != me).map(|peer| (*peer, Distance::Hall));
    let far = abroad.iter().map(|peer| (*peer, Distance::Region));
    PeerTopology { group: group.to_vec(), others: near.chain(far).collect() }
}

fn report(address: SocketAddr, age_ms: u32, standing: SyncState) -> SyncReport {
    SyncReport { address, incarnation: 1, age_ms: Some(age_ms), standing }
}

const NOW: Time = Time(100_000);

/// News must be known within two seconds.
fn course(me: SocketAddr) -> SourceSelector {
    SourceSelector::new(me, SyncTimings::new(Duration::from_millis(2_000)))
}

/// A daemon that has heard that these watch, with fresh news.
fn hearing(me: SocketAddr, watching: &[SocketAddr]) -> SourceSelector {
    let mut course = course(me);
    for peer in watching.iter().filter(|peer| **peer != me) {
        course.heard(NOW, &report(*peer, 300, SyncState::Watches), &[]);
    }
    course
}

/// Proof of a moment so long ago.
fn proof(age_ms: i64) -> Option<i64> {
    Some(NOW.0 as i64 - age_ms)
}

/// The daemons of a hall that turn to the store, with fresh news and when these are known to watch.
fn turning(group: &[SocketAddr], watching: &[SocketAddr]) -> Vec<SocketAddr> {
    let turns = |me: &SocketAddr| {
        let around = around(group, &[], *me);
        hearing(*me, watching).decide(NOW, &around, proof(300)) == SyncSource::Store
    };
    group.iter().copied().filter(turns).collect()
}

#[test]
fn in_a_group_of_two_both_watch() {
    assert_eq!(turning(&hall(2), &hall(2)), hall(2));
}

#[test]
fn in_a_larger_group_two_watch_and_the_others_are_spread_over_them() {
    for daemons in [3, 4, 5, 20] {
        let order = hall(daemons);
        assert_eq!(turning(&order, &order[..2]), order[..2]);
    }
    let order = hall(20);
    let followed = |me: u8| {
        hearing(address(me), &order[..2]).decide(NOW, &around(&order, &[], address(me)), proof(300))
    };
    let follow_first = (3..=20).filter(|me| followed(*me) == SyncSource::Peer(address(1)));
    assert_eq!(follow_first.count(), 9);
}

#[test]
fn the_next_ones_watch_where_the_first_are_turned_away() {
    let order = hall(20);
    for (last, expected) in [(2, true), (3, true), (4, false)] {
        let me = address(last);
        let mut course = hearing(me, &order[..2]);
        course.heard(NOW, &report(address(1), 300, SyncState::TurnedAway), &[]);
        let source = course.decide(NOW, &around(&order, &[], me), proof(300));
        assert_eq!(source == SyncSource::Store, expected, "{last}");
    }
}

#[test]
fn those_that_lose_one_watcher_turn_to_the_other_and_not_to_one_that_does_not_watch() {
    let order = hall(20);
    for me in 3..=20 {
        for (lost, kept) in [(1, 2), (2, 1)] {
            let mut course = hearing(address(me), &order[..2]);
            course.heard(NOW, &report(address(9), 100, SyncState::Follows), &[]);
            course.left(NOW, address(lost), SourceFailure::Ended);
            let source = course.decide(NOW, &around(&order, &[], address(me)), proof(300));
            assert_eq!(source, SyncSource::Peer(address(kept)));
        }
    }
}

#[test]
fn a_watcher_that_is_turned_away_follows_the_other_and_asks_again_after_a_while() {
    let order = hall(20);
    let around = around(&order, &[], address(1));
    let mut course = hearing(address(1), &order[..2]);
    assert_eq!(course.decide(NOW, &around, proof(0)), SyncSource::Store);
    course.store_answered();
    assert_eq!(course.standing(), SyncState::Watches);
    course.store_failed(NOW, NOW);
    assert_eq!(course.decide(NOW, &around, proof(300)), SyncSource::Store, "one failure is borne");
    let later = NOW + Duration::from_millis(500);
    course.store_failed(later, later);
    assert_eq!(course.standing(), SyncState::TurnedAway);
    assert_eq!(course.decide(later, &around, proof(300)), SyncSource::Peer(address(2)));
    let again = later + Duration::from_millis(4_000);
    assert_eq!(course.decide(again, &around, proof(-4_000)), SyncSource::Store);
}

#[test]
fn if_nobody_is_known_to_watch_daemons_ask_the_store_some_at_a_time() {
    let order = hall(20);
    let asking = |age: i64| {
        let asks = |me: &SocketAddr| {
            let source = course(*me).decide(NOW, &around(&order, &[], *me), proof(age));
            source == SyncSource::Store
        };
        order.iter().filter(|me| asks(me)).count()
    };
    assert_eq!([1_300, 1_320, 1_390, 1_450, 1_510].map(asking), [2, 2, 6, 14, 20]);
    let mut blind = course(address(20));
    assert_eq!(blind.decide(NOW, &around(&order, &[], address(20)), None), SyncSource::Store);
}

#[test]
fn one_that_began_to_watch_for_others_goes_on_until_two_that_come_before_it_do() {
    let order = hall(20);
    let around = around(&order, &[], address(9));
    let mut course = course(address(9));
    assert_eq!(course.decide(NOW, &around, proof(1_900)), SyncSource::Store);
    course.store_answered();
    assert_eq!(course.decide(NOW, &around, proof(0)), SyncSource::Store);
    course.heard(NOW, &report(address(1), 300, SyncState::Watches), &[]);
    course.heard(NOW, &report(address(12), 300, SyncState::Watches), &[]);
    assert_eq!(course.decide(NOW, &around, proof(0)), SyncSource::Store, "12 comes after it");
    course.heard(NOW, &report(address(2), 300, SyncState::Watches), &[]);
    assert!(matches!(course.decide(NOW, &around, proof(0)), SyncSource::Peer(_)));
    assert!(!course.watches());
}

#[test]
fn a_daemon_that_knows_of_no_other_one_watches() {
    assert_eq!(turning(&hall(1), &[]), [address(1)]);
}

#[test]
fn its_own_hall_comes_first_and_then_the_nearest_with_fresh_news() {
    let order = hall(20);
    let abroad = [address(101), address(102)];
    let me = address(7);
    let mut around = around(&order, &abroad, me);
    around.others.push((address(201), Distance::Far));
    let mut course = hearing(me, &[address(201)]);
    assert_eq!(course.decide(NOW, &around, proof(300)), SyncSource::Peer(address(201)));
    let later = NOW + Duration::from_millis(300);
    course.heard(later, &report(address(101), 300, SyncState::Watches), &[]);
    assert_eq!(course.decide(later, &around, proof(300)), SyncSource::Peer(address(101)));
    let later = NOW + Duration::from_millis(600);
    course.heard(later, &report(address(2), 1_700, SyncState::Watches), &[]);
    assert_eq!(course.decide(later, &around, proof(300)), SyncSource::Peer(address(2)));
}

#[test]
fn a_daemon_whose_news_does_not_come_is_left_for_one_that_knows_more() {
    let order = hall(20);
    let around = around(&order, &[], address(7));
    let mut course = hearing(address(7), &order[..2]);
    let SyncSource::Peer(first) = course.decide(NOW, &around, proof(300)) else {
        panic!("follows")
    };
    let other = if first == address(1) { address(2) } else { address(1) };
    course.heard(NOW, &report(other, 200, SyncState::Watches), &[]);
    let later = NOW + Duration::from_millis(300);
    assert_eq!(course.decide(later, &around, proof(900)), SyncSource::Peer(first));
    assert_eq!(course.decide(later, &around, proof(1_030)), SyncSource::Peer(other));
    course.heard(later, &report(first, 0, SyncState::Watches), &[]);
    let source = course.decide(later + Duration::from_millis(50), &around, proof(1_030));
    assert_eq!(source, SyncSource::Peer(other), "not at once");
}

/// A node left 47 feeds one after the other, each closed at once by a daemon that did not watch.
#[test]
fn a_redirect_leads_to_the_daemon_that_it_names() {
    let order = hall(20);
    let abroad = [address(101), address(102)];
    let around = around(&order, &abroad, address(7));
    let mut course = hearing(address(7), &order[..2]);
    let SyncSource::Peer(asked) = course.decide(NOW, &around, proof(300)) else {
        panic!("follows")
    };
    let other = if asked == address(1) { address(2) } else { address(1) };
    let later = NOW + Duration::from_millis(5);
    let own = report(asked, 900, SyncState::TurnedAway);
    let told = [own, report(address(101), 200, SyncState::Watches)];
    course.left(later, other, SourceFailure::Unreachable);
    course.redirected(later, NOW, &told);
    course.left(later, asked, SourceFailure::Ended);
    assert_eq!(course.decide(later, &around, proof(300)), SyncSource::Peer(address(101)));
}

#[test]
fn what_an_answer_tells_counts_from_the_question() {
    let order = hall(20);
    let around = around(&order, &[], address(7));
    let mut course = course(address(7));
    let late = NOW + Duration::from_millis(4_000);
    let own = report(address(5), 300, SyncState::Alone);
    course.redirected(late, NOW, &[own, report(address(9), 300, SyncState::Watches)]);
    let proof = Some(late.0 as i64 - 300);
    assert_eq!(course.decide(late, &around, proof), SyncSource::Nobody, "it is 4,300 ms old");
}

#[test]
fn a_daemon_that_started_again_is_not_believed_to_know_what_it_knew() {
    let order = hall(20);
    let around = around(&order, &[], address(7));
    let mut course = hearing(address(7), &order[..1]);
    assert_eq!(course.decide(NOW, &around, proof(300)), SyncSource::Peer(address(1)));
    let begun = SyncReport {
        address: address(1),
        incarnation: 2,
        age_ms: None,
        standing: SyncState::Watches,
    };
    course.heard(NOW, &begun, &[]);
    assert_eq!(course.decide(NOW, &around, proof(300)), SyncSource::Nobody);
    course.heard(
        NOW,
        &report(address(3), 900, SyncState::Follows),
        &[report(address(1), 100, SyncState::Watches)],
    );
    assert_eq!(course.decide(NOW, &around, proof(300)), SyncSource::Nobody, "of its former life");
}

#[test]
fn those_that_know_most_are_asked_and_nobody_who_knows_no_more() {
    let order = hall(6);
    let around = around(&order, &[], address(1));
    let mut course = course(address(1));
    for (last, age) in [(2, 1_500), (3, 200), (4, 700), (5, 1_180), (6, 400)] {
        course.heard(NOW, &report(address(last), age, SyncState::Follows), &[]);
    }
    let asked = course.know_more(NOW, &around, proof(1_400), 3);
    assert_eq!(asked, [address(3), address(6), address(4)]);
    assert_eq!(course.know_more(NOW, &around, proof(300), 3), []);
}
