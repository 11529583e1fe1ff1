//! How often the store is watched.

use crate::support::ms;
use portrack::gateway::WatchPacing;

#[test]
fn a_prefix_that_changes_all_the_time_is_asked_less_often_but_twice_within_a_drain() {
    let mut pacing = WatchPacing::new(ms(2_000));
    let quiet = pacing.after(Some(ms(700)), false);
    assert_eq!(
        pacing.after(Some(ms(5)), false),
        quiet,
        "one change that came while others were read"
    );
    assert_eq!(pacing.after(Some(ms(5)), false), quiet);
    let busy = pacing.after(Some(ms(5)), false);
    assert!(busy > quiet);
    assert_eq!(busy, ms(1_000), "a server that drains in 2 s is noticed in half of that");
    assert_eq!(pacing.after(Some(ms(300)), false), quiet, "it is calm again");
}

#[test]
fn a_whole_reading_says_nothing_of_the_pace() {
    let mut pacing = WatchPacing::new(ms(2_000));
    let first = pacing.after(None, false);
    for _ in 0..5 {
        assert_eq!(pacing.after(None, false), first);
    }
}

#[test]
fn the_pace_follows_the_time_within_which_news_must_have_come() {
    let busy = |within| {
        let mut pacing = WatchPacing::new(ms(within));
        (0..3).map(|_| pacing.after(Some(ms(5)), false)).last()
    };
    assert_eq!(busy(3_000), Some(ms(1_500)));
    assert_eq!(busy(500), Some(ms(400)), "never slower than a calm store is watched");
}

#[test]
fn a_daemon_that_others_learn_from_watches_twice_as_often() {
    let mut pacing = WatchPacing::new(ms(4_000));
    let busy = (0..3).map(|_| pacing.after(Some(ms(5)), true)).last();
    assert_eq!(busy, Some(ms(1_000)));
    assert_eq!(pacing.after(Some(ms(5)), false), ms(2_000));
}
