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
    let best =
        cheapest(Time(now), loads, &locality, &[], servers.iter()).expect("one of the two servers");
    best.id.to_string()
}

#[test]
fn less_loaded_server_is_chosen() {
    let loads = Rc::new(LoadTable::default());
    let _busy = loads.begin(Time(0), &"s1".into(), 0);
    assert_eq!(chosen(&loads, 10), "s2");
}

#[test]
fn server_that_does_not_answer_is_avoided() {
    let loads = Rc::new(LoadTable::default());
    let silent = loads.begin(Time(0), &"s1".into(), 0);
    let _busy: Vec<_> = (0..6).map(|_| loads.begin(Time(0), &"s2".into(), 0)).collect();
    assert_eq!(chosen(&loads, 100), "s1", "it has had too little time to answer");
    assert!(loads.is_silent(Time(500), "s1"));
    for guard in &_busy {
        guard.record_activity(Time(450));
    }
    assert_eq!(chosen(&loads, 500), "s2");
    silent.record_activity(Time(510));
    assert_eq!(chosen(&loads, 520), "s1", "it answers again");
}

#[test]
fn silence_without_outstanding_requests_is_ignored() {
    let loads = Rc::new(LoadTable::default());
    drop(loads.begin(Time(0), &"s1".into(), 0));
    assert!(!loads.is_silent(Time(60_000), "s1"));
    let later = loads.begin(Time(60_000), &"s1".into(), 0);
    assert!(!loads.is_silent(Time(60_100), "s1"), "counted from the start of the request");
    drop(later);
}

/// Guards against taking a hall for unreachable although its servers still answer. When all daemons
/// of a hall were killed at once, this happened for 3 to 25 s.
#[test]
fn only_answers_count_as_activity() {
    let loads = Rc::new(LoadTable::default());
    let span = Duration::from_millis(900);
    let asked = loads.begin(Time(0), &"s1".into(), 0);
    assert!(!loads.has_answered_within(Time(10), "s1", span), "a request is not an answer");
    asked.record_activity(Time(200));
    drop(asked);
    assert!(
        loads.has_answered_within(Time(1_099), "s1", span),
        "also without outstanding requests"
    );
    assert!(!loads.has_answered_within(Time(1_100), "s1", span));
    assert!(!loads.has_answered_within(Time(300), "s2", span));
}

#[test]
fn failures_are_remembered_and_decay() {
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
fn server_reports_override_peer_loads_and_later_own_requests_are_added() {
    let loads = Rc::new(LoadTable::default());
    let peers = OutstandingWork { requests: 9, waiting_tokens: 0 };
    loads.set_peer_work(Time(0), &"n2".into(), vec![(server_hash("s1"), peers)]);
    reported(&loads, 100, 20);
    assert_eq!(loads.work(Time(200), "s1").requests, 20);
    let _own = loads.begin(Time(200), &"s1".into(), 0);
    assert_eq!(loads.work(Time(210), "s1").requests, 21);
    reported(&loads, 400, 20);
    assert_eq!(loads.work(Time(410), "s1").requests, 20, "the report includes it");
    assert_eq!(loads.work(Time(1_800), "s1").requests, 10, "an expired report is ignored");
}

#[test]
fn each_request_gets_two_different_random_candidates() {
    assert_eq!(two_random_choices("r1", 0), None);
    assert_eq!(two_random_choices("r1", 1), Some([0, 0]));
    let mut taken = [0; 8];
    for request in 0..800 {
        let [first, second] =
            two_random_choices(&format!("r{request}"), 8).expect("two of eight candidates");
        assert_ne!(first, second);
        taken[first] += 1;
        taken[second] += 1;
    }
    assert!(taken.iter().all(|times| (140..260).contains(times)), "{taken:?}");
}
