//! Which servers are assumed to be cold.

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
fn a_server_known_only_indirectly_is_cold_for_the_length_of_a_start() {
    let mut coldness = ColdStartTracker::default();
    assert!(coldness.is_cold(Time(0), "s1", Some(&START)), "an unknown server");
    coldness.on_entry(Time(1_000), &server(1, Duration::ZERO), EntrySource::Indirect);
    assert!(coldness.is_cold(Time(3_999), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(4_000), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(1_000), "s1", None), "its service has no cold start");
}

#[test]
fn a_warm_server_is_cold_again_when_it_reports_so_or_has_restarted() {
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, Duration::ZERO), EntrySource::Indirect);
    coldness.on_entry(Time(10_000), &server(1, ms(2_000)), EntrySource::Indirect);
    assert!(coldness.is_cold(Time(11_999), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(12_000), "s1", Some(&START)));
    coldness.on_entry(Time(20_000), &server(2, Duration::ZERO), EntrySource::Indirect);
    assert!(
        coldness.is_cold(Time(22_999), "s1", Some(&START)),
        "a new incarnation is assumed to be cold"
    );
}

#[test]
fn a_later_entry_does_not_shorten_a_cold_time_and_a_doubt_restarts_it() {
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, ms(9_000)), EntrySource::Indirect);
    coldness.on_entry(Time(1_000), &server(1, Duration::ZERO), EntrySource::Indirect);
    assert!(coldness.is_cold(Time(8_999), "s1", Some(&START)), "the entry may be an older one");
    coldness.assume_cold(Time(30_000), "s1");
    assert!(coldness.is_cold(Time(32_999), "s1", Some(&START)));
    assert!(!coldness.is_cold(Time(33_000), "s1", Some(&START)));
}

/// Guards against refusing callers for four seconds after all daemons of a fleet were killed: each
/// assumed that all servers were cold, although the store reported them as warm.
#[test]
fn a_store_entry_is_trusted_until_there_is_a_doubt() {
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, Duration::ZERO), EntrySource::Direct);
    assert!(!coldness.is_cold(Time(0), "s1", Some(&START)));
    coldness.on_entry(Time(5_000), &server(2, ms(2_500)), EntrySource::Direct);
    assert!(coldness.is_cold(Time(7_499), "s1", Some(&START)), "restarted, and reports so");
    assert!(!coldness.is_cold(Time(7_500), "s1", Some(&START)));
    coldness.assume_cold(Time(9_000), "s1");
    assert!(coldness.is_cold(Time(11_999), "s1", Some(&START)));
}

/// Guards against taking a new incarnation, known only from a server's report, for warm until its
/// own entry arrives: it inherited the former incarnation's remaining cold time, which often was
/// zero.
#[test]
fn an_incarnation_known_only_from_a_report_is_assumed_cold() {
    assert_eq!(EntrySource::of(SOURCE_REPORT), EntrySource::Indirect);
    assert_eq!(EntrySource::of(SOURCE_PEER), EntrySource::Indirect);
    assert_eq!(EntrySource::of("store"), EntrySource::Direct);
    assert_eq!(EntrySource::of("feed"), EntrySource::Direct);
    let mut coldness = ColdStartTracker::default();
    coldness.on_entry(Time(0), &server(1, Duration::ZERO), EntrySource::Direct);
    coldness.on_entry(Time(9_000), &server(2, Duration::ZERO), EntrySource::of(SOURCE_REPORT));
    assert!(coldness.is_cold(Time(11_999), "s1", Some(&START)));
}
