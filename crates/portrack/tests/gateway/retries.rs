//! Tests of the retry budgets.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{RetryBounds, RetryBudgets};
use std::rc::Rc;

const WINDOW_MS: u64 = 10_000;

fn retries() -> RetryBudgets {
    RetryBudgets::new(RetryBounds { ratio: 0.2, slack: 50.0, window: ms(WINDOW_MS) })
}

fn count_retries(retries: &mut RetryBudgets, now: u64, service: &Rc<str>, daemons: usize) -> usize {
    (0..1_000).filter(|_| retries.try_take(Time(now), service, daemons)).count()
}

#[test]
fn the_slack_is_shared_between_daemons() {
    let service: Rc<str> = "s".into();
    assert_eq!(count_retries(&mut retries(), 0, &service, 1), 40);
    let all: usize = (0..5).map(|_| count_retries(&mut retries(), 0, &service, 5)).sum();
    assert!(all <= 50, "{all}");
}

#[test]
fn requests_raise_the_budget_of_their_own_service_only() {
    let mut retries = retries();
    let (busy, idle): (Rc<str>, Rc<str>) = ("busy".into(), "idle".into());
    for _ in 0..100 {
        retries.record_request(Time(5), &busy);
    }
    assert_eq!(count_retries(&mut retries, 10, &busy, 10), 20);
    assert_eq!(count_retries(&mut retries, 10, &idle, 10), 4);
}

#[test]
fn no_window_exceeds_the_budget() {
    let mut retries = retries();
    let service: Rc<str> = "s".into();
    let mut times = Vec::new();
    for now in (0..60_000).step_by(20) {
        if now % 100 == 0 {
            retries.record_request(Time(now), &service);
        }
        if retries.try_take(Time(now), &service, 1) {
            times.push(now);
        }
    }
    for start in &times {
        let within = times.iter().filter(|at| (*start..*start + WINDOW_MS).contains(at)).count();
        assert!(within <= 20 + 50, "{within} from {start}");
    }
}
