//! The portrack daemon: reads its settings file and runs until a signal or an operator stops it.

mod gateway;

use actix_rt::signal::unix::{SignalKind, signal};
use argh::FromArgs;
use futures_util::FutureExt;
use futures_util::future::select_all;
use portrack::Bootstrap;
use portrack::daemon;
use portrack::node::Tunables;
use portrack::types::BootClock;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

/// Exit code for missing or invalid settings.
const BAD_SETTINGS: u8 = 2;
/// Exit code for a failed start, or for a stop that left requests unfinished.
const FAILED: u8 = 1;

/// portrack entry node daemon
#[derive(FromArgs)]
struct Args {
    /// settings file (TOML); with --gateway, defaults to the platform's file
    #[argh(option)]
    settings: Option<PathBuf>,

    /// check the settings file and exit
    #[argh(switch)]
    check_settings: bool,

    /// run as a gateway daemon
    #[argh(switch)]
    gateway: bool,
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    if args.gateway {
        return gateway::main(args.settings, args.check_settings);
    }
    let Some(file) = args.settings else {
        eprintln!("portrackd: --settings is missing");
        return ExitCode::from(BAD_SETTINGS);
    };
    let bootstrap = match Bootstrap::read(&file) {
        Ok(bootstrap) => bootstrap,
        Err(error) => {
            eprintln!("portrackd: {error}");
            return ExitCode::from(BAD_SETTINGS);
        }
    };
    if args.check_settings {
        println!("{}: ok", file.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = daemon::init_logging(&bootstrap.log) {
        eprintln!("portrackd: cannot initialise logging: {error}");
        return ExitCode::from(BAD_SETTINGS);
    }
    actix_rt::System::new().block_on(run(bootstrap))
}

async fn run(bootstrap: Bootstrap) -> ExitCode {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        eprintln!("portrackd: cannot install signal handlers");
        return ExitCode::from(FAILED);
    };
    let running = match daemon::start(bootstrap, Rc::new(BootClock), Tunables::default()).await {
        Ok(running) => running,
        Err(error) => {
            eprintln!("portrackd: {error}");
            return ExitCode::from(FAILED);
        }
    };
    println!(
        "callers={} operators={} members={}",
        running.callers(),
        running.operators(),
        running.members()
    );
    let stop_requests = [
        terminate.recv().map(drop).boxed_local(),
        interrupt.recv().map(drop).boxed_local(),
        running.drain_requested().boxed_local(),
    ];
    select_all(stop_requests).await;
    match running.stop().await {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::from(FAILED),
    }
}
