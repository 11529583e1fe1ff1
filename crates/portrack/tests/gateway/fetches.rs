//! The limit of fetches follows the store.

use crate::support::ms;
use portrack::gateway::FetchLimit;

/// A store that serves `free` fetches at full speed and slows all down beyond. Returns how many
/// run at once after a while.
fn settle(free: f64) -> f64 {
    let mut limit = FetchLimit::default();
    let mut running = 0;
    let mut sum = 0;
    for round in 0..600 {
        while limit.take() {
            running += 1;
        }
        if round >= 300 {
            sum += running;
        }
        let slow = (f64::from(running) / free).max(1.0);
        limit.fetched(ms((250.0 * slow) as u64), 12);
        running -= 1;
    }
    f64::from(sum) / 300.0
}

#[test]
fn it_settles_near_what_the_store_serves_at_full_speed() {
    for free in [2.0, 9.0, 20.0] {
        let running = settle(free);
        assert!(running >= free * 0.8 && running <= free * 1.8, "{free}: {running}");
    }
}

#[test]
fn places_are_given_back_and_the_expected_time_grows_with_the_queue() {
    let mut limit = FetchLimit::default();
    assert!(limit.take() && limit.take() && !limit.take());
    assert!(limit.expected(8) > limit.expected(0));
    limit.give_back();
    assert!(limit.take());
}
