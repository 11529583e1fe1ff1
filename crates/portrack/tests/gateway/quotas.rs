//! What accountants count, and what a daemon lets in by itself.

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

/// Units let in by one accountant that is asked every `every` ms from `since` until `until`.
fn let_in(ledger: &mut QuotaLedger, quota: &Quota, since: u64, until: u64, every: usize) -> f64 {
    let asks = (since..until).step_by(every);
    let granted =
        asks.filter(|now| ledger.ask(Time(*now), MARK, quota, UNITS, 1) == QuotaDecision::Granted);
    granted.count() as f64 * UNITS
}

fn told(ledger: &mut QuotaLedger, now: u64, quota: Quota) -> Vec<QuotaCount> {
    ledger.counts(Time(now), true, |_| Some(quota))
}

#[test]
fn what_is_let_in_follows_the_limit_and_begins_without_its_burst() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    let first = let_in(&mut ledger, &quota, 0, 200, 10);
    assert!(first <= 400.0, "a daemon that starts has not saved up: {first}");
    let rest = let_in(&mut ledger, &quota, 200, 10_000, 10);
    assert!((9_700.0..=10_000.0).contains(&rest), "{rest}");
}

/// A bucket holds six tenths of a burst: the rest covers what halls let in before they hear of each other.
#[test]
fn what_was_saved_up_may_be_used_at_once_and_no_more() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    let_in(&mut ledger, &quota, 0, 10, 10);
    let burst = let_in(&mut ledger, &quota, 5_000, 5_020, 1);
    assert!((600.0..=700.0).contains(&burst), "{burst}");
}

/// A limit far below what is sent is kept to from the first second on, and the debt of the time before
/// is not paid for ever.
#[test]
fn a_lowered_limit_holds_within_a_window_and_a_raised_one_at_once() {
    let (mut ledger, high, low) = (QuotaLedger::new("a", 0.0), quota(10_000.0), quota(500.0));
    let_in(&mut ledger, &high, 0, 4_000, 5);
    let lowered = let_in(&mut ledger, &low, 4_000, 12_000, 5);
    assert!(lowered <= 8.0 * 500.0 + 500.0, "{lowered}");
    let later = let_in(&mut ledger, &low, 12_000, 16_000, 5);
    assert!(later >= 1_800.0, "{later}");
    let raised = let_in(&mut ledger, &high, 16_000, 18_000, 5);
    assert!(raised >= 18_000.0, "{raised}");
}

#[test]
fn a_refused_caller_comes_back_after_the_one_before_it() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    let_in(&mut ledger, &quota, 0, 1_000, 50);
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
fn what_has_not_run_is_given_back_once_however_often_it_is_told() {
    let (mut ledger, quota) = (QuotaLedger::new("a", 0.0), quota(1_000.0));
    let_in(&mut ledger, &quota, 0, 1_000, 5);
    ledger.merge_refunds(from(9), 1, MARK, 0.0);
    for all in [500.0, 500.0, 300.0, 500.0] {
        ledger.merge_refunds(from(9), 1, MARK, all);
    }
    let again = let_in(&mut ledger, &quota, 1_000, 1_001, 1).max(0.0)
        + (0..20)
            .filter(|_| ledger.ask(Time(1_000), MARK, &quota, UNITS, 1) == QuotaDecision::Granted)
            .count() as f64
            * UNITS;
    assert!((400.0..=600.0).contains(&again), "{again}");
    ledger.merge_refunds(from(9), 2, MARK, 900.0);
    let restarted = ledger.ask(Time(1_000), MARK, &quota, UNITS, 1);
    assert!(
        matches!(restarted, QuotaDecision::Refused(_)),
        "another life of that daemon begins anew"
    );
}

#[test]
fn two_accountants_that_hear_each_other_let_in_no_more_than_one() {
    let quota = quota(1_000.0);
    let halls: [Rc<str>; 2] = ["a".into(), "b".into()];
    let mut ledgers = [QuotaLedger::new("a", 0.0), QuotaLedger::new("b", 0.0)];
    let mut all = 0.0;
    for now in (0..10_000).step_by(100) {
        for ledger in &mut ledgers {
            all += let_in(ledger, &quota, now, now + 100, 10);
        }
        for (n, hall) in halls.iter().enumerate() {
            for count in told(&mut ledgers[n], now + 100, quota) {
                let other = &mut ledgers[1 - n];
                other.merge_count(Time(now + 100), from(n as u8), hall, &count, &quota, 1);
            }
        }
    }
    assert!((9_500.0..=11_200.0).contains(&all), "{all}");
}

#[test]
fn a_hall_that_falls_silent_keeps_its_part_and_no_other_has_it() {
    let quota = quota(1_000.0);
    let (hall_a, hall_b): (Rc<str>, Rc<str>) = ("a".into(), "b".into());
    let (mut a, mut b) = (QuotaLedger::new("a", 0.0), QuotaLedger::new("b", 0.0));
    for now in (0..6_000).step_by(100) {
        let_in(&mut a, &quota, now, now + 100, 20);
        let_in(&mut b, &quota, now, now + 100, 20);
        for count in told(&mut a, now + 100, quota) {
            b.merge_count(Time(now + 100), from(1), &hall_a, &count, &quota, 1);
        }
        for count in told(&mut b, now + 100, quota) {
            a.merge_count(Time(now + 100), from(2), &hall_b, &count, &quota, 1);
        }
    }
    let cut = 4.0;
    let (part_a, part_b) =
        (let_in(&mut a, &quota, 7_000, 11_000, 5), let_in(&mut b, &quota, 7_000, 11_000, 5));
    assert!(part_a + part_b <= 1_000.0 * (cut + 1.5), "{part_a} and {part_b} in {cut} s");
    assert!(part_a >= 1_500.0 && part_b >= 1_500.0, "both go on: {part_a}, {part_b}");
}

#[test]
fn a_daemon_that_reaches_no_accountant_uses_its_part_of_the_demand() {
    let quota = quota(1_000.0);
    let mut share = FallbackShare::default();
    for now in (0..4_000).step_by(400) {
        share.record_granted(Time(now), UNITS);
        share.update_usage(Time(now), 0.5);
    }
    let admitted =
        (4_000..8_000).step_by(10).filter(|now| share.admit(Time(*now), &quota, UNITS, 10));
    let units = admitted.count() as f64 * UNITS;
    // It sent a quarter of the limit while the fleet used half of it.
    assert!((500.0..=2_200.0).contains(&units), "{units} of 4,000 in 4 s");
}

/// What daemons let in by themselves counted as their demand, so that their parts grew without end.
#[test]
fn all_daemons_together_that_reach_no_accountant_stay_within_the_limit() {
    let quota = quota(10_000.0);
    let mut all = 0.0;
    for daemon in 0..10_u64 {
        let mut share = FallbackShare::default();
        for now in (0..4_000).step_by(50) {
            share.record_granted(Time(now + daemon), UNITS / 4.0);
            share.update_usage(Time(now), 0.5);
        }
        let admitted =
            (4_000..8_000).step_by(5).filter(|now| share.admit(Time(*now), &quota, UNITS, 10));
        all += admitted.count() as f64 * UNITS;
    }
    assert!(all <= 4.0 * 10_000.0 * 1.1, "{all}");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Counts that come late, twice or not at all never let more in than those that come in order.
    #[test]
    fn late_doubled_and_lost_counts_leave_no_more_than_there_is(
        order in proptest::collection::vec(0_usize..20, 0..60),
    ) {
        let quota = quota(1_000.0);
        let hall: Rc<str> = "b".into();
        let (mut mine, mut other) = (QuotaLedger::new("a", 0.0), QuotaLedger::new("b", 0.0));
        mine.ask(Time(0), MARK, &quota, 0.0, 1);
        let mut tellings = Vec::new();
        for step in 0..20_u64 {
            let_in(&mut other, &quota, step * 50, step * 50 + 50, 5);
            tellings.push(told(&mut other, step * 50 + 50, quota));
        }
        for at in order.into_iter().chain([19]) {
            for count in &tellings[at] {
                mine.merge_count(Time(1_000), from(2), &hall, count, &quota, 1);
            }
        }
        let left = (0..40).filter(|_| {
            mine.ask(Time(1_000), MARK, &quota, UNITS, 1) == QuotaDecision::Granted
        });
        // The other one has let in all that came; a tenth of a second's worth is given at first.
        prop_assert!(left.count() <= 3);
    }
}
