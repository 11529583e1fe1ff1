//! Tests of the interval at which the store is watched.

use crate::support::ms;
use portrack::gateway::WatchPacing;

#[test]
fn a_busy_prefix_is_watched_less_often_but_twice_within_a_drain() {
    let mut pacing = WatchPacing::new(ms(2_000));
    let quiet = pacing.after(Some(ms(700)), false);
    assert_eq!(pacing.after(Some(ms(5)), false), quiet, "a change may arrive during a read");
    assert_eq!(pacing.after(Some(ms(5)), false), quiet);
    let busy = pacing.after(Some(ms(5)), false);
    assert!(busy > quiet);
    assert_eq!(busy, ms(1_000), "a server that drains within 2 s is noticed in half that time");
    assert_eq!(pacing.after(Some(ms(300)), false), quiet, "the prefix is quiet again");
}

#[test]
fn a_full_read_does_not_change_the_interval() {
    let mut pacing = WatchPacing::new(ms(2_000));
    let first = pacing.after(None, false);
    for _ in 0..5 {
        assert_eq!(pacing.after(None, false), first);
    }
}

#[test]
fn the_interval_follows_the_allowed_staleness() {
    let busy = |within| {
        let mut pacing = WatchPacing::new(ms(within));
        (0..3).map(|_| pacing.after(Some(ms(5)), false)).last()
    };
    assert_eq!(busy(3_000), Some(ms(1_500)));
    assert_eq!(busy(500), Some(ms(400)), "never longer than for a quiet store");
}

#[test]
fn a_daemon_with_followers_watches_twice_as_often() {
    let mut pacing = WatchPacing::new(ms(4_000));
    let busy = (0..3).map(|_| pacing.after(Some(ms(5)), true)).last();
    assert_eq!(busy, Some(ms(1_000)));
    assert_eq!(pacing.after(Some(ms(5)), false), ms(2_000));
}
