//! Demonstration: three daemons in two data halls and stand-ins, in one process under load.

mod guarantees;
mod load;
mod observations;
mod plan;
mod report;

use crate::args::Demo;
use crate::failure::Failure;
use guarantees::GuaranteeChecker;
use load::Load;
use portrack::node::Tunables;
use portrack::settings::Edit;
use portrack_standins::engine::EngineConfig;
use portrack_standins::weights::WeightsConfig;
use portrack_standins::world::{World, WorldConfig, adapter};
use std::path::PathBuf;
use std::time::Duration;

/// Adapter loads per second that the weight store allows.
const LOADS_PER_SECOND: u64 = 10;
/// Concurrent adapter loads.
const LOADS_AT_ONCE: u64 = 4;
/// How long idempotency keys are remembered; short, so that the demonstration need not wait at the start.
const KEY_WINDOW_S: u64 = 2;

/// Runs the demonstration.
pub async fn run(args: &Demo) -> Result<(), Failure> {
    let folder = std::env::temp_dir().join(format!("portrack-demo-{}", std::process::id()));
    let mut world = World::start(config(), folder.clone()).await?;
    println!("bringing up {} adapters, 4 engines of 4 slots, 3 daemons", args.adapters);
    let revision = settings(&world, args.adapters).await;
    if !world.settled(revision).await {
        return Err(Failure::Daemon("the daemons did not become ready".into()));
    }
    let result = match args.serve {
        true => serve(&world).await,
        false => load(&mut world, args).await,
    };
    clean_up(folder);
    result
}

fn clean_up(folder: PathBuf) {
    if let Err(error) = std::fs::remove_dir_all(&folder) {
        eprintln!("portrack: {}: {error}", folder.display());
    }
}

fn config() -> WorldConfig {
    let weights = WeightsConfig {
        per_second: LOADS_PER_SECOND as f64,
        at_once: LOADS_AT_ONCE as usize,
        load: Duration::from_millis(250),
    };
    let engine = EngineConfig { slots: 4, batch: 16, ..EngineConfig::default() };
    WorldConfig { weights, engine, tunables: Tunables::default(), ..WorldConfig::default() }
}

async fn settings(world: &World, adapters: usize) -> u64 {
    world.set("load_per_second", LOADS_PER_SECOND).await;
    world.set("load_at_once", LOADS_AT_ONCE).await;
    world.set("key_window_s", KEY_WINDOW_S).await;
    let mut revision = 0;
    for at in 0..adapters {
        let name = plan::adapter_name(at);
        let spec = Some(adapter(&name, &["v1", "v2"]));
        let name = name.parse().expect("a valid name");
        revision = world.change(Edit::Adapter { name, spec }).await;
    }
    revision
}

async fn serve(world: &World) -> Result<(), Failure> {
    for (name, daemon) in &world.daemons {
        let Some(daemon) = daemon else { continue };
        println!("{name}: callers {} operators {}", daemon.callers(), daemon.operators());
    }
    let first = world.daemon("a1");
    println!(
        "try: curl -N http://{}/v1/completions -H 'content-type: application/json' \
         -d '{{\"model\":\"{}\",\"prompt\":\"hello\",\"stream\":true}}'",
        first.callers(),
        plan::adapter_name(0)
    );
    println!("     portrack --node {} status", first.operators());
    actix_rt::signal::ctrl_c().await?;
    Ok(())
}

async fn load(world: &mut World, args: &Demo) -> Result<(), Failure> {
    let plan = plan::Plan::new(args);
    let mut load = Load::new(world, plan);
    let mut checker = GuaranteeChecker::default();
    load.run(world, &mut checker).await;
    let observed = load.finish().await;
    let guarantees = checker.check(world, &observed);
    print!("{}", report::text(world, &observed, &checker, &guarantees));
    match guarantees.iter().map(|guarantee| guarantee.broken).sum() {
        0 => Ok(()),
        count => Err(Failure::Broken(count)),
    }
}
