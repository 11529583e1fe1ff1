//! Stand-ins and three daemons of two data halls in one process, under load.

mod judge;
mod load;
mod plan;
mod report;
mod seen;

use crate::args::Demo;
use crate::failure::Failure;
use judge::Judge;
use load::Load;
use portrack::node::Tunables;
use portrack::settings::Edit;
use portrack_standins::engine::EngineConfig;
use portrack_standins::weights::WeightsConfig;
use portrack_standins::world::{World, WorldConfig, adapter};
use std::path::PathBuf;
use std::time::Duration;

/// Loads a second that the weight store of the demonstration allows.
const LOADS_PER_SECOND: u64 = 10;
/// Loads at the same time.
const LOADS_AT_ONCE: u64 = 4;
/// How long idempotency keys are remembered, so that the start need not be waited for.
const KEY_WINDOW_S: u64 = 2;

/// Runs the demonstration.
pub async fn run(args: &Demo) -> Result<(), Failure> {
    let folder = std::env::temp_dir().join(format!("portrack-demo-{}", std::process::id()));
    let mut world = World::start(config(), folder.clone()).await?;
    println!("bringing up {} adapters, 4 engines of 4 slots, 3 daemons", args.adapters);
    let revision = settings(&world, args.adapters).await;
    if !world.settled(revision).await {
        return Err(Failure::Daemon("the daemons did not come up".into()));
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
    let mut judge = Judge::default();
    load.run(world, &mut judge).await;
    let seen = load.finish().await;
    let broken = judge.judge(world, &seen);
    print!("{}", report::text(world, &seen, &judge, &broken));
    match broken.iter().map(|promise| promise.broken).sum() {
        0 => Ok(()),
        count => Err(Failure::Broken(count)),
    }
}
