//! Who watches the store for a data hall, and whom the others follow.

use portrack::gateway::{NewsSource, Watching, news_source};
use std::net::SocketAddr;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_000))
}

fn hall(daemons: u8) -> Vec<SocketAddr> {
    (1..=daemons).map(address).collect()
}

/// Whom a daemon follows that knows of nobody in other halls.
fn source(
    order: &[SocketAddr],
    me: SocketAddr,
    shunned: impl Fn(SocketAddr) -> bool,
) -> NewsSource {
    news_source(Watching { hall: order, abroad: &[] }, me, shunned)
}

fn watching(order: &[SocketAddr], shunned: &[SocketAddr]) -> Vec<SocketAddr> {
    let watches = |me: &SocketAddr| {
        source(order, *me, |address| shunned.contains(&address)) == NewsSource::Store
    };
    order.iter().copied().filter(watches).collect()
}

#[test]
fn in_a_small_hall_every_daemon_watches() {
    assert_eq!(watching(&hall(4), &[]).len(), 4);
}

#[test]
fn in_a_larger_hall_two_watch_and_the_others_are_spread_over_them() {
    let order = hall(20);
    assert_eq!(watching(&order, &[]), [address(1), address(2)]);
    let followed = |me: u8| source(&order, address(me), |_| false);
    let follow_first = (3..=20).filter(|me| followed(*me) == NewsSource::Peer(address(1)));
    assert_eq!(follow_first.count(), 9);
}

#[test]
fn the_next_ones_watch_where_the_first_are_of_no_use() {
    let order = hall(20);
    let shunned = [address(1)];
    assert_eq!(watching(&order, &shunned), [address(2), address(3)]);
    let alone = source(&order, address(1), |_| false);
    assert_eq!(alone, NewsSource::Store, "the first itself finds nothing wrong");
}

#[test]
fn those_that_lose_one_watcher_turn_to_the_other_and_not_to_one_that_does_not_know_yet() {
    let order = hall(20);
    for me in 4..=20 {
        let followed = source(&order, address(me), |other| other == address(1));
        assert_eq!(followed, NewsSource::Peer(address(2)));
        let followed = source(&order, address(me), |other| other == address(2));
        assert_eq!(followed, NewsSource::Peer(address(1)));
    }
}

#[test]
fn a_watcher_that_has_lost_the_store_follows_the_other() {
    let order = hall(20);
    let followed = source(&order, address(1), |other| other == address(1));
    assert_eq!(followed, NewsSource::Peer(address(2)));
}

#[test]
fn if_all_have_lost_the_store_each_asks_it_again() {
    let order = hall(6);
    assert_eq!(source(&order, address(5), |_| true), NewsSource::Store);
}

#[test]
fn a_daemon_that_knows_of_no_other_one_watches() {
    assert_eq!(watching(&hall(1), &[]), [address(1)]);
}

#[test]
fn if_both_watchers_are_of_no_use_the_next_two_watch_and_the_others_follow_other_halls() {
    let order = hall(20);
    let abroad = [address(101), address(102), address(103)];
    let watching = Watching { hall: &order, abroad: &abroad };
    let lost = |other| other == address(1) || other == address(2);
    for me in [3, 4] {
        assert_eq!(news_source(watching, address(me), lost), NewsSource::Store);
    }
    for me in 5..=20 {
        let NewsSource::Peer(followed) = news_source(watching, address(me), lost) else {
            panic!("{me} watches");
        };
        assert!(abroad.contains(&followed), "{followed}");
        let lost_too = |other| lost(other) || other == followed;
        let next = news_source(watching, address(me), lost_too);
        assert!(next != NewsSource::Peer(followed) && next != NewsSource::Store);
    }
    let home = news_source(watching, address(7), |other| other == address(1));
    assert_eq!(home, NewsSource::Peer(address(2)), "its own hall comes first");
}
