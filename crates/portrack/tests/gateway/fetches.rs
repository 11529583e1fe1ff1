//! The fetch limit adapts to the weight store.

use crate::support::ms;
use portrack::gateway::FetchLimit;

/// Simulates a store that serves `full_speed` fetches at full speed and slows all of them down
/// beyond that. Returns the average concurrency once the limit has settled.
fn settled_concurrency(full_speed: f64) -> f64 {
    let mut limit = FetchLimit::default();
    let mut running = 0;
    let mut sum = 0;
    for round in 0..600 {
        while limit.try_acquire() {
            running += 1;
        }
        if round >= 300 {
            sum += running;
        }
        let slow = (f64::from(running) / full_speed).max(1.0);
        limit.record_fetch(ms((250.0 * slow) as u64), 12);
        running -= 1;
    }
    f64::from(sum) / 300.0
}

#[test]
fn the_limit_settles_near_what_the_store_serves_at_full_speed() {
    for full_speed in [2.0, 9.0, 20.0] {
        let running = settled_concurrency(full_speed);
        assert!(
            running >= full_speed * 0.8 && running <= full_speed * 1.8,
            "{full_speed}: {running}"
        );
    }
}

#[test]
fn permits_are_released_and_the_expected_time_grows_with_the_queue() {
    let mut limit = FetchLimit::default();
    assert!(limit.try_acquire() && limit.try_acquire() && !limit.try_acquire());
    assert!(limit.expected(8) > limit.expected(0));
    limit.release();
    assert!(limit.try_acquire());
}
