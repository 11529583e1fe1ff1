//! The staleness of connected daemons after random faults.
//!
//! Guards against redirects between daemons that do not watch the store: a node was redirected from
//! one to the next for ten seconds, and sent a request to a server 3,409 ms after the store had
//! acknowledged that the server leaves. Whatever is restarted, partitioned or rejected by the
//! store, the copy of a daemon that has been connected for a while must be fresher than the bound.

use crate::news_fleet::{Access, Fleet, STEP};
use portrack::gateway::SyncTimings;
use rand::Rng;
use std::time::Duration;

/// A daemon counts as connected if it has been up, reachable and able to reach the store for this
/// long: the longest retry delay of a daemon that the store rejected, and one round of heartbeats.
const CONNECTED_FOR: u64 = 6_000;

/// Injects one random fault.
fn inject_fault(fleet: &mut Fleet) {
    let count = fleet.count();
    let node = fleet.random().random_range(0..count);
    let hall = fleet.hall(node);
    let share = fleet.random().random_range(5..60);
    let some: Vec<usize> =
        (0..count).filter(|_| fleet.random().random_range(0..100) < share).collect();
    let access = if fleet.random().random() { Access::Rejected } else { Access::Silent };
    match fleet.random().random_range(0..9) {
        0 => fleet.kill(node),
        1 => fleet.watching().into_iter().for_each(|n| fleet.kill(n)),
        2 => some.into_iter().for_each(|n| fleet.kill(n)),
        3 => some.into_iter().for_each(|n| fleet.set_access(n, access)),
        4 => fleet.watching().into_iter().for_each(|n| fleet.set_access(n, access)),
        5 => (0..count)
            .filter(|n| fleet.hall(*n) == hall)
            .collect::<Vec<_>>()
            .into_iter()
            .for_each(|n| fleet.set_partition(n, 1)),
        6 => some.into_iter().for_each(|n| fleet.set_partition(n, 2)),
        7 => (0..count).for_each(|n| fleet.set_partition(n, 0)),
        _ => (0..count).for_each(|n| fleet.set_access(n, Access::Served)),
    }
}

/// Starts some of the daemons that are down.
fn restart_some(fleet: &mut Fleet) {
    for node in 0..fleet.count() {
        if !fleet.is_up(node) && fleet.random().random_range(0..40) == 0 {
            fleet.start(node);
        }
    }
}

struct Stalest {
    age: u64,
    description: String,
}

/// Runs a fleet with random faults and returns the stalest copy of a connected daemon. Panics if a
/// daemon's proof claims more than its copy contains.
fn run(seed: u64, daemons: usize, regions: Vec<usize>, within: u64) -> Stalest {
    let mut fleet = Fleet::new(seed, daemons, regions, Duration::from_millis(within));
    let mut stalest = Stalest { age: 0, description: String::new() };
    let mut next = 8_000;
    while fleet.now < 40_000 {
        fleet.step();
        restart_some(&mut fleet);
        if fleet.now >= next {
            inject_fault(&mut fleet);
            next = fleet.now + fleet.random().random_range(100..3_000) / STEP * STEP;
        }
        for node in (0..daemons).filter(|node| fleet.is_up(*node)) {
            assert_eq!(fleet.overclaim(node), 0, "seed {seed}: {node} {}", fleet.describe(node));
        }
        for node in fleet.connected(CONNECTED_FOR) {
            let age = fleet.age(node).unwrap_or(u64::MAX);
            if age > stalest.age {
                let served = fleet.is_served(node, CONNECTED_FOR);
                let description =
                    format!("seed {seed} at {} node {node} served {served}", fleet.now);
                stalest = Stalest {
                    age,
                    description: format!("{description}: {}", fleet.describe(node)),
                };
            }
        }
    }
    stalest
}

fn fleets() -> [(usize, Vec<usize>); 6] {
    [
        (6, vec![0, 0, 0]),
        (12, vec![0, 0, 1]),
        (24, vec![0, 0, 0]),
        (40, vec![0, 0, 1, 1]),
        (64, vec![0, 0, 0]),
        (120, vec![0, 0, 0, 1, 1, 1]),
    ]
}

#[test]
fn connected_daemons_stay_within_the_staleness_bound() {
    let mut all = Vec::new();
    for (daemons, regions) in fleets() {
        let runs = 240 / daemons as u64 + 2;
        for seed in 0..runs {
            for within in [2_000, 3_000] {
                let stalest = run(seed, daemons, regions.clone(), within);
                let bound = SyncTimings::new(Duration::from_millis(within))
                    .max_staleness()
                    .as_millis() as u64;
                all.push((stalest.age as f64 / bound as f64, daemons, within, stalest.description));
            }
        }
    }
    all.sort_by(|a, b| b.0.total_cmp(&a.0));
    let violations: Vec<_> = all.iter().filter(|a| a.0 > 1.0).take(12).collect();
    assert!(violations.is_empty(), "{} of {}: {violations:#?}", violations.len(), all.len());
}

#[test]
fn healthy_fleet_has_two_watchers_per_group_and_fresh_copies() {
    for (daemons, regions) in fleets() {
        let halls = regions.len();
        let mut fleet = Fleet::new(1, daemons, regions, Duration::from_millis(2_000));
        while fleet.now < 12_000 {
            fleet.step();
        }
        let calls = fleet.calls;
        let mut stalest = 0;
        while fleet.now < 22_000 {
            fleet.step();
            let ages = (0..daemons).map(|node| fleet.age(node).unwrap_or(u64::MAX));
            stalest = stalest.max(ages.max().unwrap_or_default());
        }
        assert!(stalest <= 1_400, "{daemons}: {stalest} ms");
        let watching = fleet.watching().len();
        assert!(watching <= 2 * halls, "{daemons}: {watching}");
        let each = (fleet.calls - calls) as f64 / 10.0 / watching as f64;
        assert!(each <= 1.4, "{daemons}: {each} calls a second and watcher");
    }
}
