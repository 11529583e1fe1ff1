//! Which requests are held back: the ends of servers are counted, answers clear, memory is bounded.

use portrack::gateway::{
    CallerIdentity, CountOutcome, FingerprintInput, HeldRequest, MOST_ENDS, RequestFingerprint,
    SendVerdict, ServerEnd, SuspectRequests, Unrecorded,
};
use portrack::types::Time;
use proptest::prelude::*;
use std::time::Duration;

const START: Time = Time(1_000_000);
const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const FIRST_HOLD: Duration = Duration::from_secs(120);

fn mark(body: u32) -> RequestFingerprint {
    RequestFingerprint::of(&FingerprintInput {
        caller: CallerIdentity::Unknown,
        method: "POST",
        host: "h.example",
        target: "/chat/x",
        body: &body.to_be_bytes(),
    })
}

fn end(suspects: &mut SuspectRequests, at: Time, body: u32, life: u32) -> CountOutcome {
    suspects.count(at, mark(body), ServerEnd { life, at })
}

/// A request under which servers ended a second apart, until it is held back.
fn held(body: u32) -> SuspectRequests {
    let mut suspects = SuspectRequests::default();
    for n in 0..MOST_ENDS as u32 {
        end(&mut suspects, START + SECOND * n, body, n);
    }
    suspects
}

/// When that was.
const HELD_AT: Time = Time(START.0 + 2_000);

#[test]
fn the_third_end_holds_a_request_back_and_no_other() {
    let mut suspects = SuspectRequests::default();
    assert_eq!(end(&mut suspects, START, 1, 1), CountOutcome::Ends(1));
    assert_eq!(end(&mut suspects, START + SECOND, 1, 2), CountOutcome::Ends(2));
    assert_eq!(suspects.verdict(START + SECOND, mark(1)), SendVerdict::Allowed);
    assert_eq!(end(&mut suspects, START + SECOND * 2, 1, 3), CountOutcome::Held);
    let verdict = suspects.verdict(START + SECOND * 3, mark(1));
    assert_eq!(verdict, SendVerdict::Held(FIRST_HOLD - SECOND));
    assert_eq!(suspects.verdict(START + SECOND * 3, mark(2)), SendVerdict::Allowed);
}

#[test]
fn a_servers_end_counts_once_however_often_it_is_told() {
    let mut suspects = SuspectRequests::default();
    end(&mut suspects, START, 1, 1);
    for n in 0..10 {
        assert_eq!(end(&mut suspects, START + SECOND * n, 1, 1), CountOutcome::Known);
    }
    assert_eq!(suspects.ends(mark(1)), 1);
}

/// A node stands still with a request at a server; what it is told meanwhile of the end of another it hears when it
/// wakes, as if that had just been, and then again with its true age.
#[test]
fn an_end_that_was_heard_late_counts_from_when_it_was() {
    let mut suspects = SuspectRequests::default();
    end(&mut suspects, START, 1, 1);
    let woken = START + SECOND * 5;
    let told = |at: Time, life: u32| ServerEnd { life, at };
    suspects.count(woken, mark(1), told(woken, 2));
    let own = woken + Duration::from_millis(50);
    assert_eq!(suspects.count(own, mark(1), told(own, 3)), CountOutcome::Ends(2));
    let again = suspects.count(own, mark(1), told(START + SECOND * 2, 2));
    assert_eq!(again, CountOutcome::Held);
}

/// A data hall is lost with three tries of the same request at its servers.
#[test]
fn servers_that_end_together_count_once() {
    let mut suspects = SuspectRequests::default();
    for life in 0..12 {
        let at = START + Duration::from_millis(u64::from(life) * 5);
        end(&mut suspects, at, 1, life);
    }
    assert_eq!(suspects.ends(mark(1)), 1);
    assert_eq!(suspects.verdict(START + SECOND, mark(1)), SendVerdict::Allowed);
}

#[test]
fn a_request_that_is_served_between_ends_is_not_held_back() {
    let mut suspects = SuspectRequests::default();
    for n in 0..20 {
        end(&mut suspects, START + SECOND * n, 1, n);
        end(&mut suspects, START + SECOND * n + SECOND / 2, 1, 100 + n);
        suspects.clear(mark(1));
        let now = START + SECOND * (n + 1);
        assert_eq!(suspects.verdict(now, mark(1)), SendVerdict::Allowed);
    }
    assert!(suspects.is_empty());
}

#[test]
fn a_request_that_is_served_while_it_is_held_back_is_let_go() {
    let mut suspects = held(1);
    suspects.recorded(HELD_AT, mark(1), 1, 77);
    let cleared = suspects.clear(mark(1)).expect("it was held back");
    assert_eq!((cleared.was_held, cleared.revision), (true, Some(77)));
    assert_eq!(suspects.verdict(HELD_AT, mark(1)), SendVerdict::Allowed);
}

#[test]
fn ends_that_are_long_ago_do_not_add_up() {
    let mut suspects = SuspectRequests::default();
    for n in 0..10 {
        assert_ne!(end(&mut suspects, START + MINUTE * 6 * n, 1, n), CountOutcome::Held);
    }
    suspects.sweep(START + MINUTE * 100);
    assert!(suspects.is_empty());
}

#[test]
fn a_hold_that_is_over_is_tried_once_and_is_longer_the_next_time() {
    let mut suspects = held(1);
    suspects.recorded(HELD_AT, mark(1), 1, 70);
    let mut now = HELD_AT;
    for (n, minutes) in [2, 16, 128].into_iter().enumerate() {
        let number = n as u32 + 1;
        let left = MINUTE * minutes;
        assert_eq!(suspects.verdict(now, mark(1)), SendVerdict::Held(left));
        now = now + left;
        let SendVerdict::OnTrial(trial) = suspects.verdict(now, mark(1)) else {
            panic!("hold {number} is over");
        };
        assert_eq!((trial.revision, trial.next), (70 + u64::from(number) - 1, number + 1));
        suspects.recorded(now, mark(1), trial.next, trial.revision + 1);
    }
}

#[test]
fn nothing_is_tried_that_the_store_does_not_have() {
    let suspects = held(1);
    assert_eq!(suspects.unrecorded(), [Unrecorded { mark: mark(1), number: 1, replaces: 0 }]);
    let verdict = suspects.verdict(HELD_AT + MINUTE * 60, mark(1));
    assert!(matches!(verdict, SendVerdict::Held(_)), "{verdict:?}");
}

#[test]
fn a_record_that_is_read_again_prolongs_nothing() {
    let mut suspects = held(1);
    suspects.recorded(HELD_AT, mark(1), 1, 70);
    suspects.recorded(HELD_AT + MINUTE, mark(1), 1, 70);
    let verdict = suspects.verdict(HELD_AT + MINUTE, mark(1));
    assert_eq!(verdict, SendVerdict::Held(MINUTE));
}

#[test]
fn older_news_of_a_hold_does_not_shorten_it() {
    let mut suspects = held(1);
    suspects.recorded(HELD_AT, mark(1), 2, 80);
    let later = HeldRequest { mark: mark(1), number: 1, left: SECOND };
    assert!(!suspects.hear(HELD_AT, later));
    suspects.recorded(HELD_AT, mark(1), 1, 70);
    assert_eq!(suspects.verdict(HELD_AT, mark(1)), SendVerdict::Held(MINUTE * 16));
}

#[test]
fn an_operator_who_removes_the_record_lets_a_request_go() {
    let mut suspects = held(1);
    assert!(suspects.record_gone(mark(1)).is_none(), "the store does not have it yet");
    suspects.recorded(HELD_AT, mark(1), 1, 70);
    assert!(suspects.record_gone(mark(1)).is_some());
    assert!(suspects.is_empty());
}

#[test]
fn a_hold_under_which_nothing_comes_any_more_is_forgotten() {
    let mut suspects = held(1);
    suspects.recorded(HELD_AT, mark(1), 1, 70);
    assert!(suspects.outlived(HELD_AT + MINUTE * 60).is_empty());
    assert_eq!(suspects.outlived(HELD_AT + MINUTE * 63), [(mark(1), 70)]);
}

/// A caller that sends something else each time, at servers that end, pushes out what has few ends, and
/// nothing that is held back.
#[test]
fn random_requests_fill_the_table_only_so_far_and_push_out_the_least() {
    let mut suspects = held(1);
    for n in 0..2 {
        end(&mut suspects, HELD_AT + SECOND * n, 2, n);
    }
    for body in 10..20_000 {
        end(&mut suspects, HELD_AT + SECOND * 2, body, 9);
    }
    assert!(suspects.all_ends().count() <= 4_097);
    assert_eq!(suspects.ends(mark(2)), 2);
    assert_eq!(suspects.held_count(), 1);
}

/// What the plain model knows of one request.
#[derive(Debug, Clone, Default)]
struct Model {
    ends: Vec<(u32, Time)>,
    held_at: Option<Time>,
}

#[derive(Debug, Clone)]
enum Step {
    End { body: u32, life: u32 },
    Served { body: u32 },
    Pass { millis: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0..3_u32, 0..40_u32).prop_map(|(body, life)| Step::End { body, life }),
        1 => (0..3_u32).prop_map(|body| Step::Served { body }),
        4 => prop_oneof![0..300_u64, 1_000..200_000_u64].prop_map(|millis| Step::Pass { millis }),
    ];
    proptest::collection::vec(step, 0..120)
}

impl Model {
    fn end(&mut self, now: Time, life: u32) {
        self.ends.retain(|(_, at)| now.since(*at) < MINUTE * 10);
        if self.held_at.is_some() || self.ends.iter().any(|(known, _)| *known == life) {
            return;
        }
        self.ends.push((life, now));
        let mut apart: Vec<Time> = Vec::new();
        for (_, at) in &self.ends {
            if apart.last().is_none_or(|last| at.since(*last) >= Duration::from_millis(100)) {
                apart.push(*at);
            }
        }
        if apart.len() >= 3 {
            *self = Self { ends: Vec::new(), held_at: Some(now) };
        }
    }
}

proptest! {
    /// Held back exactly if three events of the last ten minutes have had no answer since.
    #[test]
    fn a_request_is_held_back_exactly_if_three_ends_had_no_answer_between(steps in steps()) {
        let mut suspects = SuspectRequests::default();
        let mut models = vec![Model::default(); 3];
        let mut now = START;
        for step in steps {
            match step {
                Step::End { body, life } => {
                    end(&mut suspects, now, body, life);
                    models[body as usize].end(now, life);
                }
                Step::Served { body } => {
                    suspects.clear(mark(body));
                    models[body as usize] = Model::default();
                }
                Step::Pass { millis } => now = now + Duration::from_millis(millis),
            }
            for (body, model) in models.iter().enumerate() {
                let free = suspects.verdict(now, mark(body as u32)) == SendVerdict::Allowed;
                prop_assert_eq!(free, model.held_at.is_none());
            }
        }
    }
}

/// What it has of them, and at which revisions, is to be learned anew: a hold on another's revision would be another's.
#[test]
fn after_a_return_of_the_store_holds_are_written_over_what_it_has() {
    let mut suspects = held(1);
    suspects.recorded(HELD_AT, mark(1), 1, 70);
    suspects.recorded(HELD_AT, mark(1), 2, 71);
    suspects.store_came_back();
    let lost = Unrecorded { mark: mark(1), number: 2, replaces: 0 };
    assert_eq!(suspects.unrecorded(), [lost]);
    assert!(!suspects.recorded(HELD_AT, mark(1), 1, 40), "an older hold changes nothing");
    assert_eq!(suspects.unrecorded(), [Unrecorded { replaces: 40, ..lost }]);
    suspects.recorded(HELD_AT, mark(1), 2, 41);
    assert_eq!(suspects.unrecorded(), []);
}
