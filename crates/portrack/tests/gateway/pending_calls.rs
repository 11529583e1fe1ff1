//! Tests of calls to other daemons.

use crate::support::ms;
use portrack::gateway::PendingCalls;

#[actix_rt::test]
async fn a_call_gets_the_answer_to_its_number() {
    let calls = PendingCalls::<bool>::default();
    let answer = calls.call(ms(1_000), |call| {
        calls.answer(call + 1, false);
        calls.answer(call, true);
    });
    assert_eq!(answer.await, Some(true));
    assert!(calls.is_empty());
}

#[test]
fn a_call_with_several_answers_is_closed_when_it_is_dropped() {
    let calls = PendingCalls::<bool>::default();
    let (call, mut answers) = calls.open_until_dropped();
    for answer in [false, true] {
        calls.answer(call.number(), answer);
        assert_eq!(answers.try_recv(), Ok(answer));
    }
    drop(call);
    assert!(calls.is_empty());
}

#[actix_rt::test]
async fn a_call_is_closed_when_its_caller_stops_waiting() {
    let calls = PendingCalls::<bool>::default();
    let left = actix_rt::time::timeout(ms(10), calls.call(ms(60_000), |_| {}));
    assert!(left.await.is_err() && calls.is_empty());
    assert_eq!(calls.call(ms(10), |_| {}).await, None);
    assert!(calls.is_empty());
}
