//! Which servers are taken for cold.

use crate::support::{backend, ms};
use portrack::gateway::{
    Backend, ColdStart, ColdStartTracker, EntrySource, SOURCE_PEER, SOURCE_REPORT,
};
use portrack::types::Time;
use std::time::Duration;

const START: ColdStart = ColdStart { duration: Duration::from_secs(3), per_second: 8.5 };

fn server(born: u64, cold_for: Duration) -> Backend {
    Backend { born: Some(born), cold_for, ..backend("s1", &[]) }
}

#[test]
fn a_server_that_was_only_heard_of_is_cold_for_a_start() {
    let mut coldness = ColdStartTracker::default();
    assert!(coldness.is_cold(Time(0), "s1", Some(&START)), "nothing is known of it");
    coldness.on_entry(Time(1_000), &server(1, Duration::ZERO), EntrySource::Indirect);
    assert!(coldness.is_cold(Time(3_999), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(4_000), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(1_000), "s1", None), "its service has no cold start");
}

#[test]
fn a_warm_server_is_cold_again_when_it_says_so_or_has_started_anew() {
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, Duration::ZERO), EntrySource::Indirect);
    coldness.on_entry(Time(10_000), &server(1, ms(2_000)), EntrySource::Indirect);
    assert!(coldness.is_cold(Time(11_999), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(12_000), "s1", Some(&START)));
    coldness.on_entry(Time(20_000), &server(2, Duration::ZERO), EntrySource::Indirect);
    assert!(coldness.is_cold(Time(22_999), "s1", Some(&START)), "a new life is in doubt");
}

#[test]
fn a_later_word_does_not_shorten_what_was_told_and_a_doubt_begins_anew() {
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, ms(9_000)), EntrySource::Indirect);
    coldness.on_entry(Time(1_000), &server(1, Duration::ZERO), EntrySource::Indirect);
    assert!(coldness.is_cold(Time(8_999), "s1", Some(&START)), "the entry may be an older one");
    coldness.assume_cold(Time(30_000), "s1");
    assert!(coldness.is_cold(Time(32_999), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(33_000), "s1", Some(&START)));
}

/// After all daemons of a fleet had been killed, each took all servers for cold, although the store told
/// that they were warm: callers were refused for four seconds.
#[test]
fn what_the_store_tells_of_a_server_leaves_no_doubt_until_there_is_a_reason() {
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, Duration::ZERO), EntrySource::Direct);
    assert!(!coldness.is_cold(Time(0), "s1", Some(&START)));
    coldness.on_entry(Time(5_000), &server(2, ms(2_500)), EntrySource::Direct);
    assert!(coldness.is_cold(Time(7_499), "s1", Some(&START)), "started again, and says so");
    assert!(!coldness.is_cold(Time(7_500), "s1", Some(&START)));
    coldness.assume_cold(Time(9_000), "s1");
    assert!(coldness.is_cold(Time(11_999), "s1", Some(&START)));
}

/// A new life that a server's report told of took the remaining cold time of the life before, often none,
/// so it counted as warm until its own entry came.
#[test]
fn a_life_that_only_a_report_has_told_of_is_in_doubt() {
    assert_eq!(EntrySource::of(SOURCE_REPORT), EntrySource::Indirect);
    assert_eq!(EntrySource::of(SOURCE_PEER), EntrySource::Indirect);
    assert_eq!(EntrySource::of("store"), EntrySource::Direct);
    assert_eq!(EntrySource::of("feed"), EntrySource::Direct);
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, Duration::ZERO), EntrySource::Direct);
    coldness.on_entry(Time(9_000), &server(2, Duration::ZERO), EntrySource::of(SOURCE_REPORT));
    assert!(coldness.is_cold(Time(11_999), "s1", Some(&START)));
}
