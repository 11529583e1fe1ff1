//! Tests of the adapter locations: which servers hold which adapters, as far as the daemon knows.

use crate::support::{backend, key, ms};
use portrack::Time;
use portrack::gateway::{AdapterLocations, Presence};

#[test]
fn an_entry_replaces_the_previous_one_of_its_server() {
    let mut locations = AdapterLocations::default();
    let before = backend("s1", &[("a1", 1), ("a2", 1)]);
    let after = backend("s1", &[("a2", 2)]);
    locations.list(None, Some(&before));
    assert_eq!(locations.holders(Time(0), &key("a1")), [("s1".into(), 1)]);
    locations.list(Some(&before), Some(&after));
    assert!(locations.holders(Time(0), &key("a1")).is_empty());
    assert_eq!(locations.holders(Time(0), &key("a2")), [("s1".into(), 2)]);
    locations.list(Some(&after), None);
    assert!(locations.holders(Time(0), &key("a2")).is_empty());
}

#[test]
fn a_recent_notice_overrides_the_entry() {
    let mut locations = AdapterLocations::default();
    locations.list(None, Some(&backend("s1", &[("a1", 1)])));
    locations.notice(&key("a1"), &"s1".into(), Presence::Absent, Time(500));
    assert!(locations.holders(Time(499), &key("a1")).is_empty());
    assert_eq!(locations.holders(Time(500), &key("a1")).len(), 1, "the entry applies again");
    locations.notice(&key("a2"), &"s2".into(), Presence::Held(3), Time(500));
    assert_eq!(locations.holders(Time(100), &key("a2")), [("s2".into(), 3)]);
    locations.expire_notices(Time(600));
    assert!(locations.holders(Time(600), &key("a2")).is_empty());
}

#[test]
fn a_server_that_rejected_an_older_version_still_holds_the_newer_one() {
    let mut locations = AdapterLocations::default();
    let (now, until, server) = (Time(10), Time(700), "s1".into());
    locations.notice(&key("a1"), &server, Presence::Held(3), Time(4_000));
    locations.record_rejection(now, &key("a1"), &server, Some(2), until);
    assert_eq!(locations.holders(now, &key("a1")), [("s1".into(), 3)]);
    locations.record_rejection(now, &key("a1"), &server, Some(3), until);
    assert!(locations.holders(now, &key("a1")).is_empty());
    locations.notice(&key("a1"), &server, Presence::Held(3), Time(4_000));
    locations.record_rejection(now, &key("a1"), &server, None, until);
    assert!(locations.holders(now, &key("a1")).is_empty(), "the request accepted any version");
}

#[test]
fn a_pending_load_is_expected_but_not_usable() {
    let mut locations = AdapterLocations::default();
    let at = Time(0) + ms(300);
    locations.notice(&key("a1"), &"s1".into(), Presence::Coming(1, at), Time(4_000));
    assert!(locations.holders(Time(10), &key("a1")).is_empty());
    assert_eq!(locations.expected(Time(10), &key("a1")), Some(at));
    locations.notice(&key("a1"), &"s1".into(), Presence::Refused, Time(900));
    assert_eq!(locations.expected(Time(10), &key("a1")), None);
    assert!(locations.is_refused(Time(10), &key("a1"), "s1"));
    assert!(!locations.is_refused(Time(900), &key("a1"), "s1"));
}

#[test]
fn what_a_server_held_stays_cached_there_until_it_is_removed() {
    let mut locations = AdapterLocations::default();
    let before = backend("s1", &[("a1", 2)]);
    locations.list(None, Some(&before));
    locations.notice(&key("a1"), &"s2".into(), Presence::Held(1), Time(500));
    let emptied = backend("s1", &[]);
    locations.list(Some(&before), Some(&emptied));
    assert!(locations.is_cached(&key("a1"), "s1", 2));
    assert!(!locations.is_cached(&key("a1"), "s1", 1), "another version is not cached");
    assert!(locations.is_cached(&key("a1"), "s2", 1));
    locations.list(Some(&emptied), None);
    assert!(!locations.is_cached(&key("a1"), "s1", 2));
}
