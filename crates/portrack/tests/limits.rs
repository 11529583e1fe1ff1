//! Tests of the circuit breakers and the retry budget.

use portrack::limits::{BreakerConfig, Breakers, RetryBudget};
use portrack::types::{EngineName, Time};

fn names(count: usize) -> Vec<EngineName> {
    (0..count).map(|at| format!("s{at}").parse().unwrap()).collect()
}

fn fail(breakers: &mut Breakers, now: Time, server: &EngineName) {
    for _ in 0..BreakerConfig::default().failures {
        breakers.failure(now, server);
    }
}

#[test]
fn open_time_doubles_when_a_server_fails_again() {
    let (mut breakers, servers) = (Breakers::default(), names(2));
    fail(&mut breakers, Time(0), &servers[0]);
    assert!(breakers.is_open(Time(999), &servers[0]));
    assert!(!breakers.is_open(Time(1_000), &servers[0]));
    fail(&mut breakers, Time(1_000), &servers[0]);
    assert!(breakers.is_open(Time(2_999), &servers[0]));
    breakers.success(&servers[0]);
    assert!(!breakers.is_open(Time(2_000), &servers[0]));
}

#[test]
fn half_of_the_servers_stay_usable_when_all_fail() {
    let (mut breakers, servers) = (Breakers::default(), names(4));
    for server in &servers {
        fail(&mut breakers, Time(0), server);
    }
    assert_eq!(breakers.usable(Time(10), &servers).len(), 2);
    breakers.success(&servers[3]);
    let usable = breakers.usable(Time(10), &servers);
    assert_eq!(usable.len(), 2);
    assert!(usable.contains(&servers[3]));
}

#[test]
fn retries_are_a_share_of_requests() {
    let mut budget = RetryBudget::new(0.1);
    let saved = (0..100).filter(|_| budget.take()).count();
    assert_eq!(saved, 10);
    for _ in 0..50 {
        budget.record_request();
    }
    let earned = (0..100).filter(|_| budget.take()).count();
    assert!((4..=5).contains(&earned), "{earned} retries for 50 requests");
}
