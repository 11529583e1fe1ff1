//! How old news of the store is at daemons in touch, after random trouble.
//!
//! A node sent to a server 3,409 ms after the store had acknowledged that it leaves: for ten seconds it
//! went from one daemon to the next that did not watch either. Whatever restarts, is cut or turned away
//! by the store, a daemon that has been in touch for a while has news that is younger than the bound.

use crate::news_fleet::{Access, Fleet, STEP};
use portrack::gateway::SyncTimings;
use rand::Rng;
use std::time::Duration;

/// A daemon is in touch if it has been up, heard and with a way to the store for so long: the longest
/// pause of one that the store turned away, and a heartbeat's round.
const CONTACT: u64 = 6_000;

/// One random trouble.
fn trouble(fleet: &mut Fleet) {
    let count = fleet.count();
    let node = fleet.random().random_range(0..count);
    let hall = fleet.hall(node);
    let share = fleet.random().random_range(5..60);
    let some: Vec<usize> =
        (0..count).filter(|_| fleet.random().random_range(0..100) < share).collect();
    let access = if fleet.random().random() { Access::Refuses } else { Access::Silent };
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
            .for_each(|n| fleet.set_part(n, 1)),
        6 => some.into_iter().for_each(|n| fleet.set_part(n, 2)),
        7 => (0..count).for_each(|n| fleet.set_part(n, 0)),
        _ => (0..count).for_each(|n| fleet.set_access(n, Access::Open)),
    }
}

/// Some of the daemons that are down start again.
fn restarts(fleet: &mut Fleet) {
    for node in 0..fleet.count() {
        if !fleet.is_up(node) && fleet.random().random_range(0..40) == 0 {
            fleet.start(node);
        }
    }
}

struct Oldest {
    age: u64,
    story: String,
}

/// The oldest news of daemons in touch, and a claim that was false, in a fleet with trouble.
fn play(seed: u64, daemons: usize, regions: Vec<usize>, within: u64) -> Oldest {
    let mut fleet = Fleet::new(seed, daemons, regions, Duration::from_millis(within));
    let mut oldest = Oldest { age: 0, story: String::new() };
    let mut next = 8_000;
    while fleet.now < 40_000 {
        fleet.step();
        restarts(&mut fleet);
        if fleet.now >= next {
            trouble(&mut fleet);
            next = fleet.now + fleet.random().random_range(100..3_000) / STEP * STEP;
        }
        for node in (0..daemons).filter(|node| fleet.is_up(*node)) {
            assert_eq!(fleet.false_claim(node), 0, "seed {seed}: {node} {}", fleet.doing(node));
        }
        for node in fleet.in_touch(CONTACT) {
            let age = fleet.age(node).unwrap_or(u64::MAX);
            if age > oldest.age {
                let served = fleet.is_served(node, CONTACT);
                let story = format!("seed {seed} at {} node {node} served {served}", fleet.now);
                oldest = Oldest { age, story: format!("{story}: {}", fleet.doing(node)) };
            }
        }
    }
    oldest
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
fn whoever_is_in_touch_has_news_younger_than_the_bound() {
    let mut all = Vec::new();
    for (daemons, regions) in fleets() {
        let plays = 240 / daemons as u64 + 2;
        for seed in 0..plays {
            for within in [2_000, 3_000] {
                let oldest = play(seed, daemons, regions.clone(), within);
                let most =
                    SyncTimings::new(Duration::from_millis(within)).most().as_millis() as u64;
                all.push((oldest.age as f64 / most as f64, daemons, within, oldest.story));
            }
        }
    }
    all.sort_by(|one, other| other.0.total_cmp(&one.0));
    let broken: Vec<_> = all.iter().filter(|one| one.0 > 1.0).take(12).collect();
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), all.len());
}

#[test]
fn while_all_is_well_two_of_each_group_watch_and_news_is_fresh() {
    for (daemons, regions) in fleets() {
        let halls = regions.len();
        let mut fleet = Fleet::new(1, daemons, regions, Duration::from_millis(2_000));
        while fleet.now < 12_000 {
            fleet.step();
        }
        let calls = fleet.calls;
        let mut oldest = 0;
        while fleet.now < 22_000 {
            fleet.step();
            let ages = (0..daemons).map(|node| fleet.age(node).unwrap_or(u64::MAX));
            oldest = oldest.max(ages.max().unwrap_or_default());
        }
        assert!(oldest <= 1_400, "{daemons}: {oldest} ms");
        let watching = fleet.watching().len();
        assert!(watching <= 2 * halls, "{daemons}: {watching}");
        let each = (fleet.calls - calls) as f64 / 10.0 / watching as f64;
        assert!(each <= 1.4, "{daemons}: {each} calls a second and watcher");
    }
}
