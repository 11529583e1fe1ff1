//! How often the store is watched.

use crate::support::ms;
use portrack::gateway::WatchPacing;

#[test]
fn a_prefix_that_changes_all_the_time_is_asked_less_often_but_twice_within_a_drain() {
    let mut pacing = WatchPacing::default();
    let quiet = pacing.after(Some(ms(700)));
    assert_eq!(pacing.after(Some(ms(5))), quiet, "one change that came while others were read");
    assert_eq!(pacing.after(Some(ms(5))), quiet);
    let busy = pacing.after(Some(ms(5)));
    assert!(busy > quiet);
    assert!(busy <= ms(1_000), "a server that drains in 2 s is noticed in half of that");
    assert_eq!(pacing.after(Some(ms(300))), quiet, "it is calm again");
}

#[test]
fn a_whole_reading_says_nothing_of_the_pace() {
    let mut pacing = WatchPacing::default();
    let first = pacing.after(None);
    for _ in 0..5 {
        assert_eq!(pacing.after(None), first);
    }
}
