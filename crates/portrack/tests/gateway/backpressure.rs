//! What is believed of a server's limit, by the evidence of answers that overtake each other.

use portrack::gateway::{LimitBelief, LimitEvidence, RateLimit};
use portrack::types::Time;
use proptest::prelude::*;

fn limit(rate: f64) -> Option<RateLimit> {
    RateLimit::per_second(rate)
}

fn said(limit: Option<RateLimit>, asked_at: u64, heard_at: u64) -> LimitEvidence {
    LimitEvidence { limit, asked_at: Time(asked_at), heard_at: Time(heard_at) }
}

fn believed(all: &[LimitEvidence]) -> Option<RateLimit> {
    let (first, rest) = all.split_first().expect("some evidence");
    let mut belief = LimitBelief::new(*first);
    for evidence in rest {
        belief.take(*evidence);
    }
    belief.limit()
}

#[test]
fn an_answer_without_a_limit_ends_it_only_if_it_was_asked_for_after_the_limit_was_heard() {
    let named = said(limit(2.0), 100, 110);
    assert_eq!(believed(&[named, said(None, 105, 130)]), limit(2.0), "it may be the older one");
    assert_eq!(believed(&[named, said(None, 110, 130)]), limit(2.0), "in the same moment");
    assert_eq!(believed(&[named, said(None, 111, 130)]), None);
}

#[test]
fn a_lower_limit_holds_at_once_and_a_higher_one_when_it_is_certainly_newer() {
    let named = said(limit(2.0), 100, 110);
    assert_eq!(believed(&[named, said(limit(1.0), 90, 105)]), limit(1.0));
    assert_eq!(believed(&[named, said(limit(5.0), 105, 130)]), limit(2.0));
    assert_eq!(believed(&[named, said(limit(5.0), 120, 130)]), limit(5.0));
}

#[test]
fn a_late_word_from_before_the_end_of_a_limit_does_not_bring_it_back() {
    let over = said(None, 200, 210);
    assert_eq!(believed(&[said(limit(2.0), 100, 110), over, said(limit(2.0), 100, 150)]), None);
    assert_eq!(believed(&[over, said(limit(2.0), 100, 110)]), None);
}

/// Answers, each asked for after the one before was heard: what the server said in which order is certain.
fn series() -> impl Strategy<Value = Vec<LimitEvidence>> {
    let rate = prop_oneof![Just(None), (0.0..50.0_f64).prop_map(Some)];
    let one = (rate, 1..100_u64, 1..100_u64);
    prop::collection::vec(one, 1..12).prop_map(|all| {
        let mut now = 0;
        let next = all.into_iter().map(|(rate, pause, took)| {
            let asked_at = now + pause;
            now = asked_at + took;
            said(rate.and_then(RateLimit::per_second), asked_at, now)
        });
        next.collect()
    })
}

proptest! {
    #[test]
    fn late_and_doubled_news_in_any_order_come_to_what_was_said_last(
        (all, told) in series().prop_flat_map(|all| {
            let doubled: Vec<LimitEvidence> = all.iter().chain(&all).copied().collect();
            (Just(all), Just(doubled).prop_shuffle())
        })
    ) {
        let last = all.last().expect("one at least").limit;
        prop_assert_eq!(believed(&told), last);
    }

    #[test]
    fn what_is_believed_never_lets_through_more_than_the_newest_word_heard(
        all in series(),
        heard in prop::collection::vec(any::<prop::sample::Index>(), 1..20),
    ) {
        let heard: Vec<LimitEvidence> = heard.into_iter().map(|one| *one.get(&all)).collect();
        for many in 1..=heard.len() {
            let newest = heard[..many].iter().max_by_key(|said| said.heard_at).expect("one at least");
            prop_assert_eq!(believed(&heard[..many]), newest.limit);
        }
    }
}
