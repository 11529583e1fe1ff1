//! Regression tests that reproduce failures found by fuzzing.

use crate::world::{self, NODES, World};

/// Longer than the key window plus the time in which a key may be used.
const KEY_EXPIRY_MS: u64 = 14_000;
/// Longer than it takes to declare a silent member dead.
const DEAD_MS: u64 = 8_000;
/// Longer than any request takes to wait and run, and longer than any takeover.
const SETTLE_MS: u64 = 60_000;
/// Enough keys for every member to be the first keeper of some.
const KEYS: u128 = 12;

fn assert_no_violations(world: &World) {
    assert!(world.violations.is_empty(), "violations: {:?}", world.violations);
}

/// A world in which the keepers have run long enough for their memory to be trusted.
fn trusted_world(seed: u64) -> World {
    let mut world = World::new(seed);
    world.advance(KEY_EXPIRY_MS);
    world
}

#[test]
fn every_key_is_granted_without_faults() {
    let mut world = trusted_world(1);
    for key in 0..KEYS {
        world.request_with_key(0, key);
        world.advance(1_000);
    }
    assert_eq!(world.granted_keys(), KEYS as usize);
}

#[test]
fn a_key_verdict_received_during_a_pause_is_not_used_afterwards() {
    let mut world = trusted_world(2);
    for key in 0..KEYS {
        world.request_with_key(2, key);
    }
    world.pause(2);
    world.advance(KEY_EXPIRY_MS);
    for key in 0..KEYS {
        world.request_with_key(0, key);
    }
    world.advance(2_000);
    world.resume(2);
    world.advance(2_000);
    assert_no_violations(&world);
}

#[test]
fn two_sides_of_a_partitioned_hall_do_not_grant_the_same_key() {
    let mut world = trusted_world(3);
    world.cut(0, 2);
    world.cut(1, 2);
    world.advance(DEAD_MS);
    for key in 0..KEYS {
        world.request_with_key(0, key);
        world.request_with_key(2, key);
        world.advance(500);
    }
    assert_no_violations(&world);
}

#[test]
fn a_paused_keeper_does_not_trust_its_memory() {
    let mut world = trusted_world(4);
    world.pause(0);
    world.advance(DEAD_MS);
    for key in 0..KEYS {
        world.request_with_key(1, key);
    }
    world.advance(1_000);
    world.resume(0);
    world.cut(0, 1);
    world.cut(0, 2);
    for key in 0..KEYS {
        world.request_with_key(0, key);
    }
    world.advance(2_000);
    assert_no_violations(&world);
}

#[test]
fn a_partition_between_owners_is_safe_for_an_engine_without_fences() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        world.cut(0, 1);
        world.cut(0, 2);
        world.cut(1, 2);
        for round in 0..60 {
            world.request(round % 3, round / 4, 8_000, false);
            world.advance(400);
        }
        world.advance(SETTLE_MS);
        assert_no_violations(&world);
    }
}

#[test]
fn a_new_lease_holder_unloads_nothing_while_the_old_one_may_still_grant() {
    for seed in 0..30 {
        let mut world = World::new(seed);
        let holder = world.lease_holder(1).expect("a daemon holds the engine's lease");
        for wanted in 0..9 {
            world.request(holder, wanted, 20_000, false);
            world.advance(700);
        }
        for other in (0..3).filter(|at| *at != holder) {
            world.cut(holder, other);
        }
        world.cut_kv(holder);
        for round in 0..120 {
            world.request(round % 3, round / 2, 5_000, false);
            world.advance(450);
        }
        assert_ne!(world.lease_holder(1), Some(holder), "no other daemon took over the engine");
        world.heal();
        world.advance(SETTLE_MS);
        assert_no_violations(&world);
    }
}

#[test]
fn a_takeover_unloads_nothing_granted_by_the_previous_owner() {
    for seed in 0..20 {
        let mut world = World::new(seed);
        for round in 0..40 {
            world.request(round % NODES, round, 8_000, false);
            world.advance(300);
            match round % 10 {
                3 => world.pause(round / 10 % 3),
                8 => world.resume(round / 10 % 3),
                _ => {}
            }
        }
        world.heal();
        world.advance(SETTLE_MS);
        assert_no_violations(&world);
        assert_eq!(world.unanswered(), 0);
    }
}

#[test]
fn loads_do_not_wait_for_an_unresponsive_planner_in_another_hall() {
    let planner = world::planner();
    let requester = (0..NODES).find(|at| !world::same_hall(*at, planner)).unwrap();
    let mut world = World::new(6);
    world.pause(planner);
    world.advance(100);
    for wanted in 0..9 {
        world.request(requester, wanted, 9_000, false);
        world.advance(1_000);
    }
    let before = world.answered();
    world.advance(9_000);
    let answered = world.answered();
    assert!(answered >= 6, "{answered} of 9 requests were answered, {before} of them earlier");
    assert_no_violations(&world);
}

#[test]
fn an_engine_without_fences_keeps_serving_while_the_key_value_service_is_down() {
    let mut world = World::new(5);
    for round in 0..6 {
        world.request(0, round, 20_000, false);
        world.advance(2_000);
    }
    world.set_kv_down(true);
    world.advance(20_000);
    let held: Vec<_> = world.engines[1].loaded.iter().cloned().collect();
    assert!(!held.is_empty(), "the engine has no loaded adapter");
    let before = world.answered();
    let wanted = (0..9).find(|at| world::adapter(*at) == held[0]).unwrap();
    for _ in 0..10 {
        world.request(0, wanted, 5_000, false);
        world.advance(3_000);
    }
    world.advance(SETTLE_MS);
    assert_eq!(world.answered(), before + 10);
    assert!(world.engines[1].loaded.contains(&held[0]), "the adapter was unloaded");
    assert_no_violations(&world);
}
