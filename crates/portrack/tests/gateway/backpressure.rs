//! Tests of the limit state of a server when responses overtake each other, and of backoffs.

use portrack::gateway::{LimitObservation, LimitState, LimitTable, RateLimit};
use portrack::types::Time;
use proptest::prelude::*;

fn limit(rate: f64) -> Option<RateLimit> {
    RateLimit::per_second(rate)
}

fn observed(limit: Option<RateLimit>, sent_at: u64, received_at: u64) -> LimitObservation {
    LimitObservation { limit, sent_at: Time(sent_at), received_at: Time(received_at) }
}

fn limit_after(all: &[LimitObservation]) -> Option<RateLimit> {
    let (first, rest) = all.split_first().expect("at least one observation");
    let mut state = LimitState::new(*first);
    for observation in rest {
        state.apply(*observation);
    }
    state.limit()
}

#[test]
fn a_response_without_a_limit_ends_it_only_if_sent_after_the_limit_arrived() {
    let limited = observed(limit(2.0), 100, 110);
    assert_eq!(
        limit_after(&[limited, observed(None, 105, 130)]),
        limit(2.0),
        "it may have been sent first"
    );
    assert_eq!(
        limit_after(&[limited, observed(None, 110, 130)]),
        limit(2.0),
        "sent at the same moment"
    );
    assert_eq!(limit_after(&[limited, observed(None, 111, 130)]), None);
}

#[test]
fn a_lower_limit_applies_at_once_and_a_higher_one_only_if_certainly_newer() {
    let limited = observed(limit(2.0), 100, 110);
    assert_eq!(limit_after(&[limited, observed(limit(1.0), 90, 105)]), limit(1.0));
    assert_eq!(limit_after(&[limited, observed(limit(5.0), 105, 130)]), limit(2.0));
    assert_eq!(limit_after(&[limited, observed(limit(5.0), 120, 130)]), limit(5.0));
}

#[test]
fn a_late_report_does_not_restore_an_ended_limit() {
    let ended = observed(None, 200, 210);
    assert_eq!(
        limit_after(&[observed(limit(2.0), 100, 110), ended, observed(limit(2.0), 100, 150)]),
        None
    );
    assert_eq!(limit_after(&[ended, observed(limit(2.0), 100, 110)]), None);
}

/// Guards against losing a limit when the server's entry lapses during an outage of the store and
/// comes back.
#[test]
fn a_server_that_comes_back_keeps_its_limit() {
    let mut table = LimitTable::default();
    table.apply(7, observed(limit(2.0), 100, 110));
    table.retain(Time(30_000), |_| false);
    assert_eq!(table.limit(7), limit(2.0));
    assert_eq!(table.limit(8), None, "a new incarnation has another hash");
    table.retain(Time(120_000), |_| false);
    assert_eq!(table.limit(7), None);
}

/// Responses whose requests were each sent after the previous response had arrived, so the order of
/// the server's statements is certain.
fn series() -> impl Strategy<Value = Vec<LimitObservation>> {
    let rate = prop_oneof![Just(None), (0.0..50.0_f64).prop_map(Some)];
    let one = (rate, 1..100_u64, 1..100_u64);
    prop::collection::vec(one, 1..12).prop_map(|all| {
        let mut now = 0;
        let next = all.into_iter().map(|(rate, pause, took)| {
            let sent_at = now + pause;
            now = sent_at + took;
            observed(rate.and_then(RateLimit::per_second), sent_at, now)
        });
        next.collect()
    })
}

proptest! {
    #[test]
    fn late_and_duplicate_observations_in_any_order_give_the_last_limit(
        (all, shuffled) in series().prop_flat_map(|all| {
            let duplicated: Vec<LimitObservation> = all.iter().chain(&all).copied().collect();
            (Just(all), Just(duplicated).prop_shuffle())
        })
    ) {
        let last = all.last().expect("at least one observation").limit;
        prop_assert_eq!(limit_after(&shuffled), last);
    }

    #[test]
    fn the_limit_is_never_looser_than_the_latest_observation(
        all in series(),
        indices in prop::collection::vec(any::<prop::sample::Index>(), 1..20),
    ) {
        let observations: Vec<LimitObservation> =
            indices.into_iter().map(|index| *index.get(&all)).collect();
        for count in 1..=observations.len() {
            let latest = observations[..count]
                .iter()
                .max_by_key(|one| one.received_at)
                .expect("at least one observation");
            prop_assert_eq!(limit_after(&observations[..count]), latest.limit);
        }
    }
}

mod backoffs {
    use crate::support::ms;
    use portrack::Time;
    use portrack::gateway::Backoffs;

    #[test]
    fn a_backoff_is_not_shortened_by_a_later_one() {
        let mut backoffs = Backoffs::default();
        assert_eq!(backoffs.remaining(Time(0), 1), None);
        assert!(backoffs.start(Time(100), 1, ms(3_000)));
        assert!(!backoffs.start(Time(200), 1, ms(500)), "it is in backoff already");
        assert_eq!(backoffs.remaining(Time(1_000), 1), Some(ms(2_100)));
        backoffs.on_response(Time(1_500), 1, Time(1_400));
        assert_eq!(
            backoffs.remaining(Time(3_099), 1),
            Some(ms(1)),
            "a response does not end it early"
        );
        assert_eq!(backoffs.remaining(Time(3_100), 1), None);
        assert_eq!(backoffs.remaining(Time(1_000), 2), None, "another incarnation of the server");
    }

    #[test]
    fn after_a_backoff_one_trial_request_is_sent_until_a_response_arrives() {
        let mut backoffs = Backoffs::default();
        backoffs.start(Time(0), 1, ms(1_000));
        assert_eq!(backoffs.remaining(Time(1_000), 1), None);
        backoffs.sent(Time(1_000), 1);
        assert!(backoffs.remaining(Time(1_001), 1).is_some(), "the trial request is pending");
        assert_eq!(backoffs.remaining(Time(1_500), 1), None, "the trial request may be lost");
        backoffs.sent(Time(1_500), 1);
        backoffs.on_response(Time(1_520), 1, Time(1_000));
        assert_eq!(backoffs.remaining(Time(1_521), 1), None);
        backoffs.sent(Time(1_521), 1);
        assert_eq!(backoffs.remaining(Time(1_522), 1), None, "all requests may be sent");
    }

    #[test]
    fn a_response_to_an_earlier_request_does_not_end_a_backoff() {
        let mut backoffs = Backoffs::default();
        backoffs.start(Time(100), 1, ms(50));
        backoffs.on_response(Time(200), 1, Time(90));
        backoffs.sent(Time(210), 1);
        assert!(backoffs.remaining(Time(220), 1).is_some(), "a trial request is pending");
    }

    #[test]
    fn a_rejected_trial_request_starts_a_new_backoff() {
        let mut backoffs = Backoffs::default();
        backoffs.start(Time(0), 1, ms(1_000));
        backoffs.sent(Time(1_000), 1);
        assert!(backoffs.start(Time(1_020), 1, ms(1_000)));
        assert_eq!(backoffs.remaining(Time(1_900), 1), Some(ms(120)));
    }
}
