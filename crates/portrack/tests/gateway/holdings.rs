//! What a daemon believes of servers, versions and configurations.

use crate::support::{backend, key, ms};
use portrack::Time;
use portrack::gateway::{AdapterLocations, Presence};

#[test]
fn the_list_is_replaced_entry_by_entry() {
    let mut holdings = AdapterLocations::default();
    let before = backend("s1", &[("a1", 1), ("a2", 1)]);
    let after = backend("s1", &[("a2", 2)]);
    holdings.list(None, Some(&before));
    assert_eq!(holdings.holders(Time(0), &key("a1")), [("s1".into(), 1)]);
    holdings.list(Some(&before), Some(&after));
    assert!(holdings.holders(Time(0), &key("a1")).is_empty());
    assert_eq!(holdings.holders(Time(0), &key("a2")), [("s1".into(), 2)]);
    holdings.list(Some(&after), None);
    assert!(holdings.holders(Time(0), &key("a2")).is_empty());
}

#[test]
fn a_fresh_notice_outweighs_the_list() {
    let mut holdings = AdapterLocations::default();
    holdings.list(None, Some(&backend("s1", &[("a1", 1)])));
    holdings.notice(&key("a1"), &"s1".into(), Presence::Absent, Time(500));
    assert!(holdings.holders(Time(499), &key("a1")).is_empty());
    assert_eq!(holdings.holders(Time(500), &key("a1")).len(), 1, "the list counts again");
    holdings.notice(&key("a2"), &"s2".into(), Presence::Held(3), Time(500));
    assert_eq!(holdings.holders(Time(100), &key("a2")), [("s2".into(), 3)]);
    holdings.expire_notices(Time(600));
    assert!(holdings.holders(Time(600), &key("a2")).is_empty());
}

#[test]
fn a_server_that_turned_an_older_version_away_still_holds_the_newer_one() {
    let mut holdings = AdapterLocations::default();
    let (now, until, server) = (Time(10), Time(700), "s1".into());
    holdings.notice(&key("a1"), &server, Presence::Held(3), Time(4_000));
    holdings.record_rejection(now, &key("a1"), &server, Some(2), until);
    assert_eq!(holdings.holders(now, &key("a1")), [("s1".into(), 3)]);
    holdings.record_rejection(now, &key("a1"), &server, Some(3), until);
    assert!(holdings.holders(now, &key("a1")).is_empty());
    holdings.notice(&key("a1"), &server, Presence::Held(3), Time(4_000));
    holdings.record_rejection(now, &key("a1"), &server, None, until);
    assert!(holdings.holders(now, &key("a1")).is_empty(), "it was to run any version");
}

#[test]
fn what_is_coming_is_expected_and_cannot_be_used_yet() {
    let mut holdings = AdapterLocations::default();
    let at = Time(0) + ms(300);
    holdings.notice(&key("a1"), &"s1".into(), Presence::Coming(1, at), Time(4_000));
    assert!(holdings.holders(Time(10), &key("a1")).is_empty());
    assert_eq!(holdings.expected(Time(10), &key("a1")), Some(at));
    holdings.notice(&key("a1"), &"s1".into(), Presence::Refused, Time(900));
    assert_eq!(holdings.expected(Time(10), &key("a1")), None);
    assert!(holdings.is_refused(Time(10), &key("a1"), "s1"));
    assert!(!holdings.is_refused(Time(900), &key("a1"), "s1"));
}

#[test]
fn what_a_server_held_stays_at_hand_there_until_the_server_is_gone() {
    let mut holdings = AdapterLocations::default();
    let before = backend("s1", &[("a1", 2)]);
    holdings.list(None, Some(&before));
    holdings.notice(&key("a1"), &"s2".into(), Presence::Held(1), Time(500));
    let emptied = backend("s1", &[]);
    holdings.list(Some(&before), Some(&emptied));
    assert!(holdings.is_cached(&key("a1"), "s1", 2));
    assert!(!holdings.is_cached(&key("a1"), "s1", 1), "another version has to be fetched");
    assert!(holdings.is_cached(&key("a1"), "s2", 1));
    holdings.list(Some(&emptied), None);
    assert!(!holdings.is_cached(&key("a1"), "s1", 2));
}
