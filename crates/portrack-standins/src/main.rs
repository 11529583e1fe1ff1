//! Runs a single stand-in, for manual use on loopback.

use actix_rt::System;
use argh::FromArgs;
use portrack_standins::engine::{Engine, EngineConfig};
use portrack_standins::kv::KeyValue;
use portrack_standins::nodes::Nodes;
use portrack_standins::service::PlainServer;
use portrack_standins::weights::{Weights, WeightsConfig};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// stand-ins for the systems that portrack depends on
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Engine(EngineArgs),
    KeyValue(KeyValueArgs),
    Service(ServiceArgs),
    Nodes(NodesArgs),
}

/// a model engine
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// adapter slots
    #[argh(option, default = "4")]
    slots: usize,
    /// most requests in one batch
    #[argh(option, default = "8")]
    batch: usize,
    /// duration of a load, in milliseconds
    #[argh(option, default = "300")]
    load_ms: u64,
    /// accept orders with any fence
    #[argh(switch)]
    no_fence: bool,
}

/// a key-value service
#[derive(FromArgs)]
#[argh(subcommand, name = "key-value")]
struct KeyValueArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// a plain service that counts the runs of each request
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

/// a node list
#[derive(FromArgs)]
#[argh(subcommand, name = "nodes")]
struct NodesArgs {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// JSON file with the list, re-read every second
    #[argh(option)]
    file: PathBuf,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    System::new().block_on(run(args.command))
}

async fn run(command: Command) -> std::io::Result<()> {
    match command {
        Command::Engine(args) => engine(args).await,
        Command::KeyValue(args) => {
            let service = KeyValue::start(args.listen).await?;
            println!("key-value service on {}", service.url());
            actix_rt::signal::ctrl_c().await
        }
        Command::Service(args) => {
            let service = PlainServer::start(args.listen).await?;
            println!("plain service on {}", service.url());
            actix_rt::signal::ctrl_c().await
        }
        Command::Nodes(args) => nodes(args).await,
    }
}

async fn engine(args: EngineArgs) -> std::io::Result<()> {
    let load = Duration::from_millis(args.load_ms);
    let weights = Weights::new(WeightsConfig { load, ..WeightsConfig::default() });
    let config = EngineConfig {
        address: args.listen,
        slots: args.slots,
        batch: args.batch,
        checks_fence: !args.no_fence,
        ..EngineConfig::default()
    };
    let engine = Engine::start(config, weights).await?;
    println!("engine on {}", engine.url());
    actix_rt::signal::ctrl_c().await
}

async fn nodes(args: NodesArgs) -> std::io::Result<()> {
    let nodes = Nodes::start(args.listen, Duration::from_millis(500)).await?;
    println!("node list on {}", nodes.url());
    loop {
        let text = std::fs::read_to_string(&args.file)?;
        nodes.set(serde_json::from_str(&text)?);
        actix_rt::time::sleep(Duration::from_secs(1)).await;
    }
}
