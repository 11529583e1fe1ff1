//! Measures portrack.

mod adapters;
mod arrivals;
mod capacity;
mod credit;
mod days;
mod fleet;
mod policy;
mod quotas;

use argh::FromArgs;
use std::alloc::System;

/// Counts what is allocated, for slopes of memory.
#[global_allocator]
static ALLOCATOR: &stats_alloc::StatsAlloc<System> = &stats_alloc::INSTRUMENTED_SYSTEM;

/// measure portrack
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(Capacity),
    Policy(Policy),
    Fleet(FleetArgs),
    Days(Days),
    Credit(Credit),
    Adapters(Adapters),
    Quotas(Quotas),
    Arrivals(Arrivals),
}

/// one hall of real daemon processes on loopback, measured from outside
#[derive(FromArgs)]
#[argh(subcommand, name = "fleet")]
struct FleetArgs {
    /// the daemon's program
    #[argh(option)]
    portrackd: std::path::PathBuf,
    /// daemons (default 30)
    #[argh(option, default = "30")]
    daemons: usize,
    /// engines (default 60)
    #[argh(option, default = "60")]
    engines: usize,
    /// adapters (default 500)
    #[argh(option, default = "500")]
    adapters: usize,
    /// requests a second, all daemons together (default 20)
    #[argh(option, default = "20.0")]
    rate: f64,
    /// seconds measured (default 60)
    #[argh(option, default = "60")]
    seconds: u64,
}

/// load stalls and batch fullness of policies on the same traces
#[derive(FromArgs)]
#[argh(subcommand, name = "policy")]
struct Policy {
    /// traces of each shape (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// only portrack's own policy, without the baselines
    #[argh(switch)]
    ours_only: bool,
    /// a setting for portrack's policy, KEY=VALUE
    #[argh(option)]
    set: Vec<policy::Setting>,
    /// write a picture in SVG
    #[argh(option)]
    picture: Option<std::path::PathBuf>,
}

/// days for the users' bench: every kind of trouble, alone, twice, in series, and overlapping with others
#[derive(FromArgs)]
#[argh(subcommand, name = "days")]
struct Days {
    /// the folder to write to
    #[argh(positional)]
    folder: std::path::PathBuf,
    /// the service with engines, as the site file names it
    #[argh(option)]
    engines: String,
    /// a plain service
    #[argh(option)]
    plain: String,
    /// a kind of request
    #[argh(option)]
    class: String,
    /// callers show keys there: days of organisations too
    #[argh(switch)]
    organisations: bool,
}

/// the gateway's placement of adapters against baselines, on traces shaped like the users' bench
#[derive(FromArgs)]
#[argh(subcommand, name = "adapters")]
struct Adapters {
    /// traces of each shape (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// seconds of each trace (default 34)
    #[argh(option, default = "34")]
    seconds: u64,
}

/// ways to count organisations' quotas over a fleet, under the same demand and troubles
#[derive(FromArgs)]
#[argh(subcommand, name = "quotas")]
struct Quotas {
    /// plays of each trouble (default 5)
    #[argh(option, default = "5")]
    seeds: u64,
    /// nodes (default 72)
    #[argh(option, default = "72")]
    nodes: usize,
}

/// ways to agree on what one server gets, on the same simulated demand and troubles
#[derive(FromArgs)]
#[argh(subcommand, name = "arrivals")]
struct Arrivals {
    /// plays of each trouble (default 3)
    #[argh(option, default = "3")]
    seeds: u64,
    /// nodes, given once for each size (default 6, 64, 360)
    #[argh(option)]
    nodes: Vec<usize>,
}

/// where the credit of a day on the users' bench went, by cause
#[derive(FromArgs)]
#[argh(subcommand, name = "credit")]
struct Credit {
    /// the report that the bench wrote
    #[argh(positional)]
    report: std::path::PathBuf,
    /// what the daemons logged on that day
    #[argh(option)]
    log: Option<std::path::PathBuf>,
}

/// slopes of bytes, processor time and memory, and what they come to at the users' size
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
struct Capacity {
    /// only the slopes of bytes, which are the same on every machine
    #[argh(switch)]
    bytes: bool,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    match args.command {
        Command::Fleet(args) => return actix_rt::System::new().block_on(fleet::run(&args)),
        Command::Days(args) => {
            let Days { folder, engines, plain, class, organisations } = &args;
            let written = days::write(folder, engines, plain, class, *organisations)?;
            println!("{written} days");
        }
        Command::Adapters(args) => print!("{}", adapters::report(args.seeds, args.seconds)),
        Command::Quotas(args) => print!("{}", quotas::report(args.seeds, args.nodes)),
        Command::Arrivals(args) => {
            let sizes = if args.nodes.is_empty() { vec![6, 64, 360] } else { args.nodes };
            print!("{}", arrivals::report(args.seeds, &sizes));
        }
        Command::Credit(args) => {
            print!("{}", credit::text(&args.report, args.log.as_deref())?);
        }
        Command::Capacity(args) if args.bytes => print!("{}", capacity::bytes_table()),
        Command::Capacity(_) => print!("{}", capacity::all()),
        Command::Policy(args) => {
            let trial = policy::Trial { seeds: args.seeds, settings: args.set };
            print!("{}", policy::report(&trial, args.ours_only, args.picture.as_deref()));
        }
    }
    Ok(())
}
