//! One hall of real daemon processes on loopback, measured from outside.

mod daemon;
mod meters;

use crate::FleetArgs;
use daemon::Daemon;
use meters::Meters;
use portrack_standins::engine::EngineConfig;
use portrack_standins::world::{World, WorldConfig};
use serde_json::json;
use std::time::{Duration, Instant};

/// Daemons of the fleet settle within this.
const SETTLE: Duration = Duration::from_secs(15);
/// Changes whose way through the fleet is timed.
const CHANGES: usize = 5;
/// Between looks at the daemons' revisions.
const LOOK: Duration = Duration::from_millis(10);
/// A change that is not everywhere by then is given up.
const GIVE_UP: Duration = Duration::from_secs(20);

/// Brings up the fleet, waits, and prints what the daemons measured of themselves.
pub async fn run(args: &FleetArgs) -> std::io::Result<()> {
    let folder = std::env::temp_dir().join(format!("portrack-fleet-{}", std::process::id()));
    let config = WorldConfig {
        daemons: vec![0],
        engines: vec![args.engines],
        services: vec![1],
        engine: EngineConfig { slots: 16, batch: 32, ..EngineConfig::default() },
        ..WorldConfig::default()
    };
    let world = World::start(config, folder.clone()).await?;
    for at in 0..args.adapters {
        world.add_adapter(&format!("adapter-{at:05}"), "v1").await;
    }
    let mut daemons = Vec::new();
    for at in 0..args.daemons {
        let name = format!("a-n{at:03}");
        daemons.push(Daemon::start(&world, &folder, &args.portrackd, &name)?);
    }
    let members: Vec<_> = daemons.iter().map(|d| (d.name.as_str(), d.members)).collect();
    world.publish_daemons(&members);
    actix_rt::time::sleep(SETTLE).await;
    let client = awc::Client::builder().timeout(Duration::from_secs(10)).finish();
    let before = Meters::read(&client, &daemons).await;
    let (reads, writes) = world.kv.calls();
    let began = Instant::now();
    load(&client, &daemons, args).await;
    let seconds = began.elapsed().as_secs_f64();
    let after = Meters::read(&client, &daemons).await;
    let (more_reads, more_writes) = world.kv.calls();
    println!("{} daemons, {} engines, {seconds:.0} s", args.daemons, args.engines);
    print!("{}", after.since(&before, daemons.len(), seconds));
    let rate = |n: u64| n as f64 / seconds;
    println!(
        "key-value service, all daemons: {:.2} reads/s, {:.2} writes/s",
        rate(more_reads - reads),
        rate(more_writes - writes)
    );
    propagation(&client, &world, &daemons).await;
    drop(daemons);
    std::fs::remove_dir_all(folder)
}

/// Sends completions at a steady rate, in turn to every daemon.
async fn load(client: &awc::Client, daemons: &[Daemon], args: &FleetArgs) {
    let began = Instant::now();
    let pause = Duration::from_secs_f64(1.0 / args.rate.max(0.1));
    let mut sent = Vec::new();
    while began.elapsed() < Duration::from_secs(args.seconds) {
        let number = sent.len();
        let url = format!("http://{}/v1/completions", daemons[number % daemons.len()].callers);
        let model = format!("adapter-{:05}", number * 7 % args.adapters.max(1));
        let body = json!({ "model": model, "prompt": format!("{number}"), "max_tokens": 40 });
        let request = client.post(url).timeout(Duration::from_secs(40)).send_json(&body);
        sent.push(actix_rt::spawn(async move {
            request.await.is_ok_and(|response| response.status().is_success())
        }));
        actix_rt::time::sleep(pause).await;
    }
    let mut answered = 0;
    let all = sent.len();
    for request in sent {
        answered += usize::from(request.await.unwrap_or(false));
    }
    println!("{answered} of {all} requests answered");
}

/// Times how long accepted changes take to be in force in every daemon.
async fn propagation(client: &awc::Client, world: &World, daemons: &[Daemon]) {
    let mut times = Vec::new();
    for change in 0..CHANGES {
        let revision = world.add_adapter(&format!("late-{change}"), "v1").await;
        let began = Instant::now();
        while began.elapsed() < GIVE_UP {
            let revisions = meters::revisions(client, daemons).await;
            if revisions.iter().all(|seen| *seen >= revision) {
                break;
            }
            actix_rt::time::sleep(LOOK).await;
        }
        times.push(began.elapsed().as_millis());
        actix_rt::time::sleep(Duration::from_secs(2)).await;
    }
    println!("changes in force everywhere after ms: {times:?}");
}
