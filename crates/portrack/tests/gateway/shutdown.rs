//! The times of a planned stop.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{AnswerBound, StopTimes};
use proptest::prelude::*;
use std::time::Duration;

const BEGAN: Time = Time(1_000_000);

fn times(stop_within_s: u64) -> StopTimes {
    StopTimes::new(BEGAN, Duration::from_secs(stop_within_s))
}

fn plain(arrived_ms: u64, timeout_ms: u64) -> AnswerBound {
    AnswerBound { deadline: BEGAN + ms(arrived_ms + timeout_ms), is_stream: false }
}

fn stream(arrived_ms: u64, timeout_ms: u64) -> AnswerBound {
    AnswerBound { is_stream: true, ..plain(arrived_ms, timeout_ms) }
}

/// Whether a request that arrives so long after the begin of a stop is sent.
fn is_sent(stop_within_s: u64, arrived_ms: u64, answer: AnswerBound) -> bool {
    let end = times(stop_within_s).send_ends_at(answer);
    end.is_none_or(|end| BEGAN + ms(arrived_ms) < end)
}

/// Guards against plain requests that are sent although the process ends before their deadline, whatever time a stop
/// has.
#[test]
fn a_plain_request_is_sent_just_if_its_deadline_lies_before_the_end() {
    for (stop_within_s, arrived_ms, timeout_ms, sent) in [
        (1, 0, 100, true),
        (1, 0, 800, false),
        (1, 200, 100, false),
        (4, 1_000, 2_000, true),
        (4, 2_400, 800, true),
        (4, 2_600, 800, false),
        (8, 3_200, 5_000, false),
        (8, 4_000, 3_000, true),
        (8, 4_900, 1_500, true),
        (8, 5_300, 800, true),
        (8, 5_350, 3_000, false),
        (8, 0, 15_000, false),
        (30, 0, 15_000, true),
        (30, 20_000, 5_000, true),
        (30, 20_000, 15_000, false),
        (3_600, 3_000_000, 60_000, true),
        (3_600, 3_590_000, 60_000, false),
    ] {
        let case = (stop_within_s, arrived_ms, timeout_ms);
        assert_eq!(
            is_sent(stop_within_s, arrived_ms, plain(arrived_ms, timeout_ms)),
            sent,
            "{case:?}"
        );
    }
}

/// Guards against streams that are sent, or refused, by a time that does not depend on how long the stop may take.
#[test]
fn a_stream_is_sent_while_the_stop_leaves_it_time() {
    for (stop_within_s, arrived_ms, timeout_ms, sent) in [
        (1, 0, 15_000, false),
        (4, 0, 15_000, false),
        (4, 1_000, 2_000, true),
        (8, 0, 15_000, true),
        (8, 2_650, 15_000, true),
        (8, 2_700, 15_000, false),
        (8, 4_000, 3_000, true),
        (30, 10_000, 15_000, true),
        (30, 20_000, 15_000, false),
        (3_600, 60_000, 15_000, true),
    ] {
        let case = (stop_within_s, arrived_ms, timeout_ms);
        assert_eq!(
            is_sent(stop_within_s, arrived_ms, stream(arrived_ms, timeout_ms)),
            sent,
            "{case:?}"
        );
    }
}

proptest! {
    /// Whatever time a stop has, idle connections are closed within it, what is sent as sure has its deadline within
    /// it, and the steps after the wait fit.
    #[test]
    fn all_steps_of_a_stop_lie_within_its_time(
        stop_within_ms in 1_000_u64..3_600_000,
        arrived_ms in 0_u64..3_600_000,
        timeout_ms in 1_u64..60_000,
    ) {
        let times = StopTimes::new(BEGAN, ms(stop_within_ms));
        prop_assert!(times.idle_closes_at() <= times.wait_ends_at());
        prop_assert!(times.wait_ends_at() + ms(700) <= BEGAN + ms(stop_within_ms));
        let answer = plain(arrived_ms, timeout_ms);
        if times.send_ends_at(answer).is_none() {
            prop_assert!(answer.deadline < times.wait_ends_at());
        }
    }
}
