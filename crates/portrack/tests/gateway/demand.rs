//! Adapter usage and load requests until they are reported.

use crate::support::key;
use portrack::Time;
use portrack::gateway::{AdapterDemandTracker, LoadRequest, UsageReport};
use std::rc::Rc;

fn used(server: &Rc<str>, times: u16, running: bool) -> UsageReport {
    UsageReport { server: server.clone(), key: key("a1"), times, running }
}

#[test]
fn usage_changes_are_reported_at_once_and_counts_periodically() {
    let tracker = Rc::new(AdapterDemandTracker::default());
    let server: Rc<str> = "s1".into();
    let first = tracker.begin(&server, &key("a1"));
    let second = tracker.begin(&server, &key("a1"));
    assert_eq!(tracker.take_changed(), [used(&server, 2, true)]);
    let third = tracker.begin(&server, &key("a1"));
    assert!(tracker.take_changed().is_empty(), "it was in use already");
    assert_eq!(tracker.take_usage(), [used(&server, 1, true)]);
    drop((first, second));
    assert_eq!(tracker.take_usage(), [used(&server, 0, true)], "it is still in use");
    assert!(tracker.take_changed().is_empty());
    drop(third);
    assert_eq!(tracker.take_changed(), [used(&server, 0, false)]);
    assert!(tracker.take_usage().is_empty());
    drop(tracker.begin(&server, &key("a1")));
    assert_eq!(tracker.take_usage(), [used(&server, 1, false)], "it started and ended");
    let _again = tracker.begin(&server, &key("a1"));
    assert_eq!(
        tracker.take_changed().last(),
        Some(&used(&server, 1, true)),
        "it was not in use before"
    );
}

#[test]
fn load_request_includes_requests_that_missed_the_adapter() {
    let tracker = AdapterDemandTracker::default();
    let request =
        |requests| LoadRequest { server: "s1".into(), key: key("a1"), version: 1, requests };
    tracker.record_miss(&key("a1"));
    tracker.request_load(Time(0), request(25));
    assert_eq!(tracker.take_load_requests(), [request(26)]);
    tracker.request_load(Time(100), request(25));
    assert!(tracker.take_load_requests().is_empty(), "it was requested a moment ago");
    tracker.request_load(Time(500), request(0));
    assert_eq!(tracker.take_load_requests(), [request(0)]);
}
