//! Load and health of servers.

use crate::support::backend;
use portrack::Time;
use portrack::gateway::{
    LoadTable, Locality, OutstandingWork, Regions, ServerLoad, cheapest, server_hash,
    two_random_choices,
};
use std::rc::Rc;
use std::time::Duration;

fn chosen(loads: &LoadTable, now: u64) -> String {
    let servers = [Rc::new(backend("s1", &[])), Rc::new(backend("s2", &[]))];
    let locality = Locality::new("a", Regions::default());
    let best = cheapest(Time(now), loads, &locality, &[], servers.iter()).expect("one of them");
    best.id.to_string()
}

#[test]
fn the_idler_server_is_chosen() {
    let loads = Rc::new(LoadTable::default());
    let _busy = loads.begin(Time(0), &"s1".into(), 0);
    assert_eq!(chosen(&loads, 10), "s2");
}

#[test]
fn a_server_that_says_nothing_while_it_is_asked_is_avoided() {
    let loads = Rc::new(LoadTable::default());
    let silent = loads.begin(Time(0), &"s1".into(), 0);
    let _busy: Vec<_> = (0..6).map(|_| loads.begin(Time(0), &"s2".into(), 0)).collect();
    assert_eq!(chosen(&loads, 100), "s1", "it has had little time so far");
    assert!(loads.is_silent(Time(500), "s1"));
    for guard in &_busy {
        guard.record_activity(Time(450));
    }
    assert_eq!(chosen(&loads, 500), "s2");
    silent.record_activity(Time(510));
    assert_eq!(chosen(&loads, 520), "s1", "it speaks again");
}

#[test]
fn silence_without_a_question_means_nothing() {
    let loads = Rc::new(LoadTable::default());
    drop(loads.begin(Time(0), &"s1".into(), 0));
    assert!(!loads.is_silent(Time(60_000), "s1"));
    let later = loads.begin(Time(60_000), &"s1".into(), 0);
    assert!(!loads.is_silent(Time(60_100), "s1"), "counted from the question");
    drop(later);
}

/// A hall whose daemons were all killed at once was taken for cut off for 3 to 25 s, although its
/// servers went on answering.
#[test]
fn a_server_that_answers_is_heard_and_one_that_was_only_asked_is_not() {
    let loads = Rc::new(LoadTable::default());
    let span = Duration::from_millis(900);
    let asked = loads.begin(Time(0), &"s1".into(), 0);
    assert!(!loads.has_answered_within(Time(10), "s1", span), "a question is no answer");
    asked.record_activity(Time(200));
    drop(asked);
    assert!(
        loads.has_answered_within(Time(1_099), "s1", span),
        "also when nothing is asked any more"
    );
    assert!(!loads.has_answered_within(Time(1_100), "s1", span));
    assert!(!loads.has_answered_within(Time(300), "s2", span));
}

#[test]
fn failures_are_remembered_and_fade() {
    let loads = Rc::new(LoadTable::default());
    for _ in 0..5 {
        loads.record_outcome(Time(0), &"s1".into(), true);
    }
    assert!(loads.failure_rate(Time(0), "s1") > 0.7);
    assert!(loads.failure_rate(Time(10_000), "s1") < 0.1);
    loads.unreachable(Time(20_000), &"s1".into());
    assert!(loads.is_unreachable(Time(20_100), "s1"));
    assert!(!loads.is_unreachable(Time(21_000), "s1"));
}

fn reported(loads: &LoadTable, now: u64, requests: u16) {
    loads.record_reports(Time(now), &[ServerLoad { server: server_hash("s1"), requests }]);
}

#[test]
fn what_a_server_reports_outweighs_what_peers_tell_and_own_requests_since_count_on_top() {
    let loads = Rc::new(LoadTable::default());
    let peers = OutstandingWork { requests: 9, waiting_tokens: 0 };
    loads.set_peer_work(Time(0), &"n2".into(), vec![(server_hash("s1"), peers)]);
    reported(&loads, 100, 20);
    assert_eq!(loads.work(Time(200), "s1").requests, 20);
    let _own = loads.begin(Time(200), &"s1".into(), 0);
    assert_eq!(loads.work(Time(210), "s1").requests, 21);
    reported(&loads, 400, 20);
    assert_eq!(loads.work(Time(410), "s1").requests, 20, "it is among them now");
    assert_eq!(loads.work(Time(1_800), "s1").requests, 10, "an old report does not count");
}

#[test]
fn requests_are_spread_over_two_different_candidates_each() {
    assert_eq!(two_random_choices("r1", 0), None);
    assert_eq!(two_random_choices("r1", 1), Some([0, 0]));
    let mut taken = [0; 8];
    for request in 0..800 {
        let [first, second] = two_random_choices(&format!("r{request}"), 8).expect("two of eight");
        assert_ne!(first, second);
        taken[first] += 1;
        taken[second] += 1;
    }
    assert!(taken.iter().all(|times| (140..260).contains(times)), "{taken:?}");
}
