//! Tests of the accounts of quota accountants, and of the fallback without an accountant.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{
    FallbackShare, OrganisationHash, Quota, QuotaCount, QuotaDecision, QuotaLedger, QuotaUnit,
};
use proptest::prelude::*;
use std::net::SocketAddr;
use std::rc::Rc;

const MARK: OrganisationHash = OrganisationHash(7);
/// Units of one request.
const UNITS: f64 = 100.0;

fn quota(per_second: f64) -> Quota {
    Quota { unit: QuotaUnit::Requests, per_second, burst: per_second }
}

fn from(node: u8) -> SocketAddr {
    ([10, 0, 0, node], 7_000).into()
}

/// Units granted by an accountant that is asked every `interval` ms from `start` until `end`.
fn grant_units(
    ledger: &mut QuotaLedger,
    quota: &Quota,
    start: u64,
    end: u64,
    interval: usize,
) -> f64 {
    let asks = (start..end).step_by(interval);
    let granted =
        asks.filter(|now| ledger.ask(Time(*now), MARK, quota, UNITS, 1) == QuotaDecision::Granted);
    granted.count() as f64 * UNITS
}

fn report(ledger: &mut QuotaLedger, now: u64, quota: Quota) -> Vec<QuotaCount> {
    ledger.counts(Time(now), true, |_| Some(quota))
}

#[test]
fn admission_follows_the_quota_and_starts_without_the_burst() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    let first = grant_units(&mut ledger, &quota, 0, 200, 10);
    assert!(first <= 400.0, "a new account has no saved burst: {first}");
    let rest = grant_units(&mut ledger, &quota, 200, 10_000, 10);
    assert!((9_700.0..=10_000.0).contains(&rest), "{rest}");
}

/// A bucket holds six tenths of a burst: the rest covers what halls admit before they receive each
/// other's counts.
#[test]
fn a_saved_burst_may_be_used_at_once() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    grant_units(&mut ledger, &quota, 0, 10, 10);
    let burst = grant_units(&mut ledger, &quota, 5_000, 5_020, 1);
    assert!((600.0..=700.0).contains(&burst), "{burst}");
}

/// A quota far below the traffic is enforced from the first second on, and the earlier debt does not
/// block the organisation forever.
#[test]
fn a_lowered_quota_holds_within_a_window_and_a_raised_one_at_once() {
    let (mut ledger, high, low) = (QuotaLedger::new("a", 0.0), quota(10_000.0), quota(500.0));
    grant_units(&mut ledger, &high, 0, 4_000, 5);
    let lowered = grant_units(&mut ledger, &low, 4_000, 12_000, 5);
    assert!(lowered <= 8.0 * 500.0 + 500.0, "{lowered}");
    let later = grant_units(&mut ledger, &low, 12_000, 16_000, 5);
    assert!(later >= 1_800.0, "{later}");
    let raised = grant_units(&mut ledger, &high, 16_000, 18_000, 5);
    assert!(raised >= 18_000.0, "{raised}");
}

#[test]
fn refused_callers_get_staggered_retry_times() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    grant_units(&mut ledger, &quota, 0, 1_000, 50);
    let mut after = Vec::new();
    for _ in 0..20 {
        if let QuotaDecision::Refused(span) = ledger.ask(Time(1_000), MARK, &quota, UNITS, 1) {
            after.push(span);
        }
    }
    assert!(after.len() >= 19 && after.windows(2).all(|pair| pair[0] < pair[1]), "{after:?}");
    assert!(after[after.len() - 1] <= ms(8_000));
}

#[test]
fn refunds_are_counted_once_however_often_they_are_reported() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    grant_units(&mut ledger, &quota, 0, 1_000, 5);
    ledger.merge_refunds(from(9), 1, MARK, 0.0);
    for total in [500.0, 500.0, 300.0, 500.0] {
        ledger.merge_refunds(from(9), 1, MARK, total);
    }
    let again = grant_units(&mut ledger, &quota, 1_000, 1_001, 1).max(0.0)
        + (0..20)
            .filter(|_| ledger.ask(Time(1_000), MARK, &quota, UNITS, 1) == QuotaDecision::Granted)
            .count() as f64
            * UNITS;
    assert!((400.0..=600.0).contains(&again), "{again}");
    ledger.merge_refunds(from(9), 2, MARK, 900.0);
    let restarted = ledger.ask(Time(1_000), MARK, &quota, UNITS, 1);
    assert!(
        matches!(restarted, QuotaDecision::Refused(_)),
        "another incarnation of the daemon starts a new baseline"
    );
}

#[test]
fn two_connected_accountants_admit_no_more_than_one() {
    let quota = quota(1_000.0);
    let halls: [Rc<str>; 2] = ["a".into(), "b".into()];
    let mut ledgers = [QuotaLedger::new("a", 0.0), QuotaLedger::new("b", 0.0)];
    let mut total = 0.0;
    for now in (0..10_000).step_by(100) {
        for ledger in &mut ledgers {
            total += grant_units(ledger, &quota, now, now + 100, 10);
        }
        for (n, hall) in halls.iter().enumerate() {
            for count in report(&mut ledgers[n], now + 100, quota) {
                let other = &mut ledgers[1 - n];
                other.merge_count(Time(now + 100), from(n as u8), hall, &count, &quota, 1);
            }
        }
    }
    assert!((9_500.0..=11_200.0).contains(&total), "{total}");
}

#[test]
fn the_share_of_a_silent_hall_stays_reserved() {
    let quota = quota(1_000.0);
    let (hall_a, hall_b): (Rc<str>, Rc<str>) = ("a".into(), "b".into());
    let (mut a, mut b) = (QuotaLedger::new("a", 0.0), QuotaLedger::new("b", 0.0));
    for now in (0..6_000).step_by(100) {
        grant_units(&mut a, &quota, now, now + 100, 20);
        grant_units(&mut b, &quota, now, now + 100, 20);
        for count in report(&mut a, now + 100, quota) {
            b.merge_count(Time(now + 100), from(1), &hall_a, &count, &quota, 1);
        }
        for count in report(&mut b, now + 100, quota) {
            a.merge_count(Time(now + 100), from(2), &hall_b, &count, &quota, 1);
        }
    }
    let partition_s = 4.0;
    let (admitted_a, admitted_b) = (
        grant_units(&mut a, &quota, 7_000, 11_000, 5),
        grant_units(&mut b, &quota, 7_000, 11_000, 5),
    );
    assert!(
        admitted_a + admitted_b <= 1_000.0 * (partition_s + 1.5),
        "{admitted_a} and {admitted_b} in {partition_s} s"
    );
    assert!(
        admitted_a >= 1_500.0 && admitted_b >= 1_500.0,
        "both halls keep admitting: {admitted_a}, {admitted_b}"
    );
}

#[test]
fn a_daemon_without_accountant_uses_its_share_of_the_demand() {
    let quota = quota(1_000.0);
    let mut share = FallbackShare::default();
    for now in (0..4_000).step_by(400) {
        share.record_granted(Time(now), UNITS);
        share.update_usage(Time(now), 0.5);
    }
    let admitted =
        (4_000..8_000).step_by(10).filter(|now| share.admit(Time(*now), &quota, UNITS, 10));
    let units = admitted.count() as f64 * UNITS;
    // The daemon sent a quarter of the quota while the fleet used half of it.
    assert!((500.0..=2_200.0).contains(&units), "{units} of 4,000 in 4 s");
}

/// Guards against counting requests that a daemon admits by itself as its demand: its share then grew
/// without bound.
#[test]
fn daemons_without_accountants_together_stay_within_the_quota() {
    let quota = quota(10_000.0);
    let mut total = 0.0;
    for daemon in 0..10_u64 {
        let mut share = FallbackShare::default();
        for now in (0..4_000).step_by(50) {
            share.record_granted(Time(now + daemon), UNITS / 4.0);
            share.update_usage(Time(now), 0.5);
        }
        let admitted =
            (4_000..8_000).step_by(5).filter(|now| share.admit(Time(*now), &quota, UNITS, 10));
        total += admitted.count() as f64 * UNITS;
    }
    assert!(total <= 4.0 * 10_000.0 * 1.1, "{total}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Counts that are late, duplicate or lost never lead to more admissions than counts in order.
    #[test]
    fn late_duplicate_and_lost_counts_never_raise_admissions(
        order in proptest::collection::vec(0_usize..20, 0..60),
    ) {
        let quota = quota(1_000.0);
        let hall: Rc<str> = "b".into();
        let (mut own, mut other) = (QuotaLedger::new("a", 0.0), QuotaLedger::new("b", 0.0));
        own.ask(Time(0), MARK, &quota, 0.0, 1);
        let mut reports = Vec::new();
        for step in 0..20_u64 {
            grant_units(&mut other, &quota, step * 50, step * 50 + 50, 5);
            reports.push(report(&mut other, step * 50 + 50, quota));
        }
        for at in order.into_iter().chain([19]) {
            for count in &reports[at] {
                own.merge_count(Time(1_000), from(2), &hall, count, &quota, 1);
            }
        }
        let left = (0..40).filter(|_| {
            own.ask(Time(1_000), MARK, &quota, UNITS, 1) == QuotaDecision::Granted
        });
        // The other accountant has granted the whole refill; a new account starts with a tenth of a
        // second's worth.
        prop_assert!(left.count() <= 3);
    }
}
