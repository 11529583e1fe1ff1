//! What requests use, until the daemons that order the servers are told.

use crate::support::key;
use portrack::Time;
use portrack::gateway::{AdapterDemandTracker, LoadRequest, UsageReport};
use std::rc::Rc;

fn used(server: &Rc<str>, times: u16, running: bool) -> UsageReport {
    UsageReport { server: server.clone(), key: key("a1"), times, running }
}

#[test]
fn what_begins_or_ceases_to_be_used_is_told_at_once_and_the_rest_in_turn() {
    let log = Rc::new(AdapterDemandTracker::default());
    let server: Rc<str> = "s1".into();
    let first = log.begin(&server, &key("a1"));
    let second = log.begin(&server, &key("a1"));
    assert_eq!(log.take_changed(), [used(&server, 2, true)]);
    let third = log.begin(&server, &key("a1"));
    assert!(log.take_changed().is_empty(), "it ran already");
    assert_eq!(log.take_usage(), [used(&server, 1, true)]);
    drop((first, second));
    assert_eq!(log.take_usage(), [used(&server, 0, true)], "it runs still");
    assert!(log.take_changed().is_empty());
    drop(third);
    assert_eq!(log.take_changed(), [used(&server, 0, false)]);
    assert!(log.take_usage().is_empty());
    drop(log.begin(&server, &key("a1")));
    assert_eq!(log.take_usage(), [used(&server, 1, false)], "it began and ended");
    let _again = log.begin(&server, &key("a1"));
    assert_eq!(log.take_changed().last(), Some(&used(&server, 1, true)), "it was idle");
}

#[test]
fn a_wish_tells_the_requests_that_it_helps_and_those_that_missed_the_adapter() {
    let log = AdapterDemandTracker::default();
    let wish = |requests| LoadRequest { server: "s1".into(), key: key("a1"), version: 1, requests };
    log.missed(&key("a1"));
    log.wish(Time(0), wish(25));
    assert_eq!(log.take_load_requests(), [wish(26)]);
    log.wish(Time(100), wish(25));
    assert!(log.take_load_requests().is_empty(), "that was just done");
    log.wish(Time(500), wish(0));
    assert_eq!(log.take_load_requests(), [wish(0)]);
}
