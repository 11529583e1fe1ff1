//! Stateful fuzzing of the node's decisions. The model engines record violations of invariants.
//!
//! `PORTRACK_FUZZ_CASES` sets the number of cases. The seed is fixed unless
//! `PORTRACK_FUZZ_SEED` sets another.

#[path = "fuzz/engine.rs"]
mod engine;
#[path = "fuzz/faults.rs"]
mod faults;
#[path = "fuzz/world.rs"]
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::{ENGINES, NODES, World};

/// Default number of cases.
const CASES: u32 = 48;
/// Default seed.
const SEED: u64 = 20_261_202;
/// Longer than any request takes to wait and run, and longer than any takeover.
const SETTLE_MS: u64 = 60_000;

/// A step of a test case.
#[derive(Debug, Clone)]
enum Step {
    Request { node: usize, adapter: usize, wait: u64, background: bool },
    KeyedRequest { node: usize, key: u128 },
    Cancel { back: u64 },
    Advance(u64),
    Network { loss: u32, repeat: u32, delay: u64 },
    Cut(usize, usize),
    Pause(usize),
    Resume(usize),
    RestartNode(usize),
    RestartEngine(usize),
    FailLoads { engine: usize, count: u32 },
    EngineLeaves(usize),
    NodeLeaves(usize),
    KvDown(bool),
    KvCut(usize),
    Heal,
}

/// The reference model has no state besides the seed: violations are recorded by the world.
#[derive(Debug, Clone)]
struct Reference {
    seed: u64,
}

impl ReferenceStateMachine for Reference {
    type State = Reference;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Reference> {
        any::<u64>().prop_map(|seed| Reference { seed }).boxed()
    }

    fn transitions(_: &Reference) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        let engine = 0..ENGINES;
        prop_oneof![
            30 => (node.clone(), 0..9_usize, 500..20_000_u64, any::<bool>()).prop_map(
                |(node, adapter, wait, background)| Step::Request { node, adapter, wait, background }
            ),
            8 => (node.clone(), 0..4_u128).prop_map(|(node, key)| Step::KeyedRequest { node, key }),
            2 => (0..5_u64).prop_map(|back| Step::Cancel { back }),
            25 => (10..2_500_u64).prop_map(Step::Advance),
            3 => (0..30_u32, 0..20_u32, 1..400_u64).prop_map(|(loss, repeat, delay)| {
                Step::Network { loss, repeat, delay }
            }),
            3 => (node.clone(), node.clone()).prop_map(|(a, b)| Step::Cut(a, b)),
            3 => node.clone().prop_map(Step::Pause),
            4 => node.clone().prop_map(Step::Resume),
            2 => node.clone().prop_map(Step::RestartNode),
            2 => engine.clone().prop_map(Step::RestartEngine),
            2 => (engine.clone(), 1..3_u32)
                .prop_map(|(engine, count)| Step::FailLoads { engine, count }),
            1 => engine.prop_map(Step::EngineLeaves),
            1 => node.clone().prop_map(Step::NodeLeaves),
            2 => node.prop_map(Step::KvCut),
            2 => any::<bool>().prop_map(Step::KvDown),
            2 => Just(Step::Heal),
        ]
        .boxed()
    }

    fn apply(state: Reference, _: &Step) -> Reference {
        state
    }
}

struct Fuzz;

impl StateMachineTest for Fuzz {
    type SystemUnderTest = World;
    type Reference = Reference;

    fn init_test(reference: &Reference) -> World {
        World::new(reference.seed)
    }

    fn apply(mut world: World, _: &Reference, step: Step) -> World {
        match step {
            Step::Request { node, adapter, wait, background } => {
                world.request(node, adapter, wait, background);
            }
            Step::KeyedRequest { node, key } => world.request_with_key(node, key),
            Step::Cancel { back } => world.cancel(back),
            Step::Advance(millis) => world.advance(millis),
            Step::Network { loss, repeat, delay } => world.network(loss, repeat, delay),
            Step::Cut(a, b) => world.cut(a, b),
            Step::Pause(node) => world.pause(node),
            Step::Resume(node) => world.resume(node),
            Step::RestartNode(node) => world.restart_node(node),
            Step::RestartEngine(engine) => world.restart_engine(engine),
            Step::FailLoads { engine, count } => world.engines[engine].fail_loads = count,
            Step::EngineLeaves(engine) => world.engine_leaves(engine),
            Step::NodeLeaves(node) => world.node_leaves(node),
            Step::KvCut(node) => world.cut_kv(node),
            Step::KvDown(down) => world.set_kv_down(down),
            Step::Heal => world.heal(),
        }
        world
    }

    fn check_invariants(world: &World, _: &Reference) {
        assert!(world.violations.is_empty(), "violations: {:?}", world.violations);
    }

    fn teardown(mut world: World, _: Reference) {
        world.heal();
        world.advance(SETTLE_MS);
        assert!(world.violations.is_empty(), "violations: {:?}", world.violations);
        assert_eq!(world.unanswered(), 0, "some requests were left unanswered");
    }
}

fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[test]
fn invariants_hold_under_random_faults() {
    let cases = u32::try_from(number("PORTRACK_FUZZ_CASES", u64::from(CASES))).unwrap();
    let config = Config {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(number("PORTRACK_FUZZ_SEED", SEED)),
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let steps = Reference::sequential_strategy(10..120);
    let run = TestRunner::new(config.clone()).run(&steps, |(state, steps, counter)| {
        Fuzz::test_sequential(config.clone(), state, steps, counter);
        Ok(())
    });
    if let Err(error) = run {
        panic!("{error}");
    }
}

/// Checks the harness itself: without faults all requests are answered, and adapters are loaded and
/// unloaded.
#[test]
fn all_requests_are_answered_without_faults() {
    let mut world = World::new(7);
    for round in 0..40 {
        world.request(round % NODES, round, 20_000, round % 3 == 0);
        world.advance(1_500);
    }
    world.advance(SETTLE_MS);
    assert!(world.violations.is_empty(), "violations: {:?}", world.violations);
    assert_eq!(world.answered(), 40);
    assert!(world.unloads > 5, "only {} unloads", world.unloads);
}
