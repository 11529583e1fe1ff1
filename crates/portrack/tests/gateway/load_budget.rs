//! Tests of the rate limit for loads of base models.

use portrack::Time;
use portrack::gateway::LoadBudget;

/// The users' bound: in any window at most `rate * window * OVERAGE + 3` loads begin in the whole fleet.
const WINDOW_MS: u64 = 5_000;
const OVERAGE: f64 = 1.1;
const START: u64 = 1_000_000;

/// Most loads in a window if each of the daemons, which all hear each other, always wants to load.
fn most_loads(daemons: usize, rate: f64) -> usize {
    let mut budgets = vec![LoadBudget::new(Time(START), rate); daemons];
    budgets.iter_mut().for_each(|budget| budget.set_daemons(daemons));
    let mut loads = Vec::new();
    for now in (START..START + 30_000).step_by(20) {
        let taken = budgets.iter_mut().filter_map(|budget| budget.take(Time(now)).then_some(now));
        loads.extend(taken);
    }
    let within =
        |from: &u64| loads.iter().filter(|at| (*from..from + WINDOW_MS).contains(at)).count();
    loads.iter().map(within).max().unwrap_or(0)
}

fn ceiling(rate: f64) -> f64 {
    rate * WINDOW_MS as f64 / 1_000.0 * OVERAGE + 3.0
}

#[test]
fn a_lone_daemon_stays_within_the_ceiling_and_uses_it() {
    for rate in [2.8, 26.0] {
        let most = most_loads(1, rate) as f64;
        assert!((0.8 * ceiling(rate)..=ceiling(rate)).contains(&most), "{most} at {rate}");
    }
}

#[test]
fn daemons_together_stay_within_the_ceiling() {
    let (most, allowed) = (most_loads(6, 2.8), ceiling(2.8));
    assert!(most as f64 <= allowed, "{most} loads, {allowed:.1} allowed");
}
