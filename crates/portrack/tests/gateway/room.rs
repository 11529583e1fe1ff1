//! The room for adapters at servers that hold several models.

use crate::support::{MODEL, backend, config, key, ms};
use portrack::Time;
use portrack::gateway::{
    AdapterKey, EngineSpec, FleetConfig, HeldModel, ModelSpec, OrderKind, Plan, PlanOutcome,
    PlannedLoad, Planner, ServerReport, Service, UnansweredOrder,
};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;

const SLOTS: usize = 21;
/// Memory for weights of the servers of the first test, and sizes of its models and adapters, in MB.
const SERVER_MB: f64 = 45_000.0;
const MODEL_MB: f64 = 22_000.0;
const ADAPTER_MB: f64 = 66.0;

fn model(name: &str, weights_mb: f64, adapter_mb: f64) -> ModelSpec {
    ModelSpec { name: name.into(), weights_mb, load_time: ms(600), adapters: 3_000, adapter_mb }
}

fn configuration(weights_mb: f64, adapter_slots: usize, models: Vec<ModelSpec>) -> Rc<FleetConfig> {
    let like = config(adapter_slots, 3.0);
    let service = &like.services["llm"];
    let engine = service.engine.clone().expect("an engine");
    let engine = EngineSpec { weights_mb, models, ..engine };
    let service = Service { engine: Some(engine), ..Service::clone(service) };
    let services = BTreeMap::from([(service.name.clone(), Rc::new(service))]);
    Rc::new(FleetConfig { services, ..FleetConfig::clone(&like) })
}

/// A planner with a server that holds these models and no adapter.
fn planner(config: &Rc<FleetConfig>, held: &[Rc<str>]) -> Planner {
    let mut planner = Planner::default();
    planner.set_config(Time(0), config.clone());
    let held_model = |name: &Rc<str>| HeldModel { name: name.clone(), adapters: Vec::new() };
    let mut server = backend("s1", &[]);
    server.models = held.iter().map(held_model).collect();
    planner.update_server(Time(0), &server);
    planner.reported(
        Time(0),
        "s1",
        &ServerReport { models: held.to_vec(), ..ServerReport::default() },
    );
    planner
}

/// A load, and what the server holds after it.
struct Load {
    held: Vec<AdapterKey>,
    evicted: Option<AdapterKey>,
}

/// Loads adapters one after the other, each as if it had been done at once.
fn load_all(planner: &mut Planner, adapters: impl Iterator<Item = AdapterKey>) -> Vec<Load> {
    let server: Rc<str> = "s1".into();
    let (mut held, mut after_each) = (Vec::new(), Vec::new());
    for (n, wanted) in adapters.enumerate() {
        let now = 10_000 * (n as u64 + 1);
        planner.request_load(Time(now), &server, &wanted, 1, 1);
        for plan in planner.plan(Time(now), std::slice::from_ref(&server)).0 {
            let PlannedLoad::Adapter(loaded, _) = &plan.load else { continue };
            if let Some(victim) = &plan.evict {
                planner.evicted("s1", victim);
                held.retain(|other| other != victim);
            }
            held.push(loaded.clone());
            planner.ended(Time(now + 100), &plan, PlanOutcome::Done, Some(ms(100)));
            after_each.push(Load { held: held.clone(), evicted: plan.evict.clone() });
        }
    }
    after_each
}

#[test]
fn a_server_that_holds_two_models_is_ordered_to_load_beyond_its_memory() {
    let models = ["m0", "m1"].map(|name| model(name, MODEL_MB, ADAPTER_MB));
    let config = configuration(SERVER_MB, SLOTS, models.to_vec());
    let held: [Rc<str>; 2] = ["m0".into(), "m1".into()];
    let adapters =
        (0..60).map(|n| AdapterKey { model: held[n % 2].clone(), adapter: format!("a{n}").into() });
    let most = load_all(&mut planner(&config, &held), adapters);
    let most = most.iter().map(|load| load.held.len()).max();
    assert_eq!(most, Some(15), "1,000 MB are left for adapters of 66 MB");
}

#[test]
fn a_server_that_holds_one_model_has_room_for_fewer_adapters_than_fit() {
    let config = configuration(42_000.0, SLOTS, vec![model(MODEL, 40_000.0, 95.0)]);
    let adapters = (0..60).map(|n| key(&format!("a{n}")));
    let most = load_all(&mut planner(&config, &[MODEL.into()]), adapters);
    assert_eq!(most.iter().map(|load| load.held.len()).max(), Some(21));
}

proptest! {
    /// Whatever models a server holds, and whatever is asked for, its memory and its slots are never exceeded; and
    /// what fits beside all that it holds is loaded without an eviction.
    #[test]
    fn no_load_exceeds_a_servers_memory_or_slots(
        sizes in prop::collection::vec((1_000_u32..20_000, 1_u32..900), 1..4),
        server_mb in 10_000_u32..60_000,
        slots in 1_usize..12,
        wanted in prop::collection::vec((0_usize..4, 0_u32..20), 1..60),
    ) {
        let names: Vec<Rc<str>> = (0..sizes.len()).map(|n| format!("m{n}").into()).collect();
        let models: Vec<ModelSpec> = names.iter().zip(&sizes)
            .map(|(name, (weights, adapter))| model(name, f64::from(*weights), f64::from(*adapter)))
            .collect();
        let models_mb: f64 = models.iter().map(|model| model.weights_mb).sum();
        prop_assume!(models_mb <= f64::from(server_mb));
        let adapter_mb = |key: &AdapterKey| {
            models.iter().find(|model| model.name == key.model).expect("a model").adapter_mb
        };
        let config = configuration(f64::from(server_mb), slots, models.clone());
        let adapters = wanted.iter().map(|(at, adapter)| AdapterKey {
            model: names[at % names.len()].clone(),
            adapter: format!("a{adapter}").into(),
        });
        let mut planner = planner(&config, &names);
        for Load { held, evicted } in load_all(&mut planner, adapters) {
            let all_mb = models_mb + held.iter().map(adapter_mb).sum::<f64>();
            prop_assert!(held.len() <= slots && all_mb <= f64::from(server_mb), "{held:?}");
            if let Some(victim) = evicted {
                let had_room = held.len() < slots && all_mb + adapter_mb(&victim) <= f64::from(server_mb);
                prop_assert!(!had_room, "{victim:?} was evicted");
            }
        }
    }
}

fn adapter(model: &str, name: &str) -> AdapterKey {
    AdapterKey { model: model.into(), adapter: name.into() }
}

/// The plans at the server after a request for each of these adapters.
fn plans_for(planner: &mut Planner, now: u64, wanted: &[AdapterKey]) -> Vec<Plan> {
    let server: Rc<str> = "s1".into();
    for key in wanted {
        planner.request_load(Time(now), &server, key, 1, 1);
    }
    planner.plan(Time(now), std::slice::from_ref(&server)).0
}

/// Guards against a load into the slot that a replacement needs which the holder before has ordered: the older version
/// stays loaded beside the newer one until its requests end.
#[test]
fn a_new_holder_does_not_count_the_version_that_replaces_another() {
    let config = configuration(42_000.0, 4, vec![model(MODEL, 40_000.0, 10.0)]);
    let held = |names: &[(&str, u64)]| -> Vec<(AdapterKey, u64)> {
        names.iter().map(|(name, version)| (key(name), *version)).collect()
    };
    let is_replaced = ServerReport {
        models: vec![MODEL.into()],
        held: held(&[("a1", 1), ("a2", 1), ("a3", 1)]),
        pending: held(&[("a1", 2)]),
        ..ServerReport::default()
    };
    let holds_both = ServerReport {
        held: held(&[("a1", 1), ("a1", 2), ("a2", 1), ("a3", 1)]),
        pending: Vec::new(),
        ..is_replaced.clone()
    };
    for report in [is_replaced, holds_both] {
        let mut planner = planner(&config, &[MODEL.into()]);
        planner.reported(Time(10_000), "s1", &report);
        let plans = plans_for(&mut planner, 10_500, &[key("b1")]);
        let [plan] = &plans[..] else { panic!("one plan: {plans:?}") };
        let evicted = plan.evict.as_ref().map(|key| &*key.adapter);
        assert!(matches!(evicted, Some("a2" | "a3")), "four slots are in use: {plan:?}");
    }
}

/// Guards against a load for which there is no room beside a late order to the former incarnation that loads a larger
/// adapter.
#[test]
fn the_room_kept_for_a_late_order_is_that_of_a_smaller_adapter() {
    let models = vec![model("small", 10_000.0, 100.0), model("large", 10_000.0, 900.0)];
    let config = configuration(21_000.0, SLOTS, models);
    let held: [Rc<str>; 2] = ["small".into(), "large".into()];
    let mut planner = planner(&config, &held);
    let late = UnansweredOrder {
        kind: OrderKind::Load,
        adapter: adapter("large", "l1"),
        expected: 0,
        sent_at: Time(1_000),
    };
    planner.order_sent(&"s1".into(), late);
    planner.server_restarted(Time(1_500), &"s1".into());
    planner.claimed(&"s1".into(), Time(0));
    let held_model = |name: &Rc<str>| HeldModel { name: name.clone(), adapters: Vec::new() };
    let mut server = backend("s1", &[]);
    server.models = held.iter().map(held_model).collect();
    planner.update_server(Time(1_600), &server);
    let report = ServerReport { models: held.to_vec(), ..ServerReport::default() };
    planner.reported(Time(1_700), "s1", &report);
    let smaller = (0..4).map(|n| adapter("small", &format!("a{n}")));
    let mut loaded = 0;
    for (at, key) in smaller.enumerate() {
        let now = 2_000 + 1_000 * at as u64;
        for plan in plans_for(&mut planner, now, &[key]) {
            loaded += usize::from(plan.evict.is_none());
            planner.ended(Time(now + 100), &plan, PlanOutcome::Done, Some(ms(100)));
        }
    }
    assert!(loaded <= 1, "1,000 MB, 900 of them for the late order: {loaded} of 100 were loaded");
}

/// Guards against loads beside adapters that are larger than the configuration says by now: it has changed since they
/// were loaded. And against a server that stays without adapters because a model that it holds is no longer named.
#[test]
fn adapters_count_with_a_size_that_the_configuration_had_when_they_were_loaded() {
    let models =
        |adapter_mb: f64| ["m0", "m1"].map(|name| model(name, MODEL_MB, adapter_mb)).to_vec();
    let held: [Rc<str>; 2] = ["m0".into(), "m1".into()];
    let mut planner = planner(&configuration(SERVER_MB, SLOTS, models(200.0)), &held);
    let loaded = load_all(&mut planner, (0..5).map(|n| adapter("m0", &format!("a{n}"))));
    assert_eq!(loaded.len(), 5, "1,000 MB hold five of 200 MB");
    planner.set_config(Time(100_000), configuration(SERVER_MB, SLOTS, models(50.0)));
    let plans = plans_for(&mut planner, 110_000, &[adapter("m0", "b1")]);
    assert!(plans.iter().all(|plan| plan.evict.is_some()), "no room is left: {plans:?}");

    let mut planner = self::planner(&configuration(SERVER_MB, SLOTS, models(200.0)), &held);
    let first = vec![model("m0", MODEL_MB, 200.0)];
    planner.set_config(Time(100_000), configuration(SERVER_MB, SLOTS, first));
    let loaded = load_all(&mut planner, (0..9).map(|n| adapter("m0", &format!("c{n}"))));
    let most = loaded.iter().map(|load| load.held.len()).max();
    assert_eq!(most, Some(5), "m1 is still loaded, and needs its 22,000 MB");
}

/// Guards against loads beside a model that an entry older than the last report does not list yet.
#[test]
fn a_late_entry_hides_a_model_that_the_server_holds() {
    let models = ["m0", "m1"].map(|name| model(name, MODEL_MB, ADAPTER_MB));
    let config = configuration(SERVER_MB, SLOTS, models.to_vec());
    let held: [Rc<str>; 2] = ["m0".into(), "m1".into()];
    let mut planner = planner(&config, &held);
    let mut late = backend("s1", &[]);
    late.models = vec![HeldModel { name: "m0".into(), adapters: Vec::new() }];
    planner.update_server(Time(5_000), &late);
    assert!(plans_for(&mut planner, 5_100, &[adapter("m0", "a0")]).is_empty(), "not surveyed");
    let report = ServerReport { models: held.to_vec(), ..ServerReport::default() };
    planner.reported(Time(5_200), "s1", &report);
    let loaded = load_all(&mut planner, (0..40).map(|n| adapter("m0", &format!("a{n}"))));
    let most = loaded.iter().map(|load| load.held.len()).max();
    assert_eq!(most, Some(15), "1,000 MB are left beside both models");
}

/// Guards against a server that gets no loads any more because the holder before had ordered three, whose end nobody
/// looks at.
#[test]
fn loads_of_the_holder_before_block_a_server_for_good() {
    let config = configuration(42_000.0, SLOTS, vec![model(MODEL, 40_000.0, 10.0)]);
    let mut planner = planner(&config, &[MODEL.into()]);
    let listed: Vec<_> = ["p1", "p2", "p3"].iter().map(|name| (key(name), 1)).collect();
    let models: Vec<Rc<str>> = vec![MODEL.into()];
    let pending =
        ServerReport { models: models.clone(), pending: listed.clone(), ..ServerReport::default() };
    planner.reported(Time(10_000), "s1", &pending);
    assert!(plans_for(&mut planner, 10_100, &[key("b1")]).is_empty(), "three loads are under way");
    let server: Rc<str> = "s1".into();
    planner.plan(Time(13_000), std::slice::from_ref(&server));
    assert_eq!(planner.needing_survey(std::slice::from_ref(&server)).len(), 1);
    let done = ServerReport { models, held: listed, ..ServerReport::default() };
    planner.reported(Time(13_100), "s1", &done);
    assert_eq!(plans_for(&mut planner, 13_200, &[key("b1")]).len(), 1);
}
