//! The arguments.

use crate::output::Output;
use argh::FromArgs;
use std::path::PathBuf;

/// operate a portrack fleet
#[derive(FromArgs)]
pub struct Args {
    /// the operators' address of any daemon (default 127.0.0.1:9090)
    #[argh(option, default = "\"127.0.0.1:9090\".to_owned()")]
    pub node: String,
    /// a file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// text or json
    #[argh(option, default = "Output::Text")]
    pub output: Output,
    #[argh(subcommand)]
    pub command: Command,
}

/// The commands.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    Demo(Demo),
    Get(Get),
    Set(Set),
    Unset(Unset),
    Explain(Explain),
    Apply(Apply),
    Adapter(Adapter),
    Audit(Audit),
    Status(Status),
    Drain(Drain),
    Trace(Trace),
}

/// bring up stand-ins and three daemons on loopback, send load, and judge the promises
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// seconds of load (default 15)
    #[argh(option, default = "15")]
    pub seconds: u64,
    /// requests a second (default 40)
    #[argh(option, default = "40")]
    pub rate: u64,
    /// adapters (default 200)
    #[argh(option, default = "200")]
    pub adapters: usize,
    /// stay up without load, and print the addresses
    #[argh(switch)]
    pub serve: bool,
}

/// join the log lines that explain one request, from the logs of several daemons
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// the request's id
    #[argh(positional)]
    pub id: String,
    /// log files, one a daemon; standard input if left out
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// show what a node of the settings tree sets
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// for instance fleet/hall:a; all nodes if left out
    #[argh(positional)]
    pub path: Option<String>,
}

/// set a key at a node of the settings tree
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
    /// for instance fleet/hall:a
    #[argh(positional)]
    pub path: String,
    /// the key
    #[argh(positional)]
    pub key: String,
    /// the value
    #[argh(positional)]
    pub value: u64,
    /// why, for the audit trail
    #[argh(option, default = "String::new()")]
    pub why: String,
}

/// let a key be inherited again
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
pub struct Unset {
    /// for instance fleet/hall:a
    #[argh(positional)]
    pub path: String,
    /// the key
    #[argh(positional)]
    pub key: String,
    /// why, for the audit trail
    #[argh(option, default = "String::new()")]
    pub why: String,
}

/// tell where the value of a key comes from
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// for instance fleet/hall:a/service:chat
    #[argh(positional)]
    pub path: String,
    /// the key; all keys if left out
    #[argh(positional)]
    pub key: Option<String>,
}

/// make a file of settings hold; shows the differences first
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the file, in TOML
    #[argh(positional)]
    pub file: PathBuf,
    /// only show the differences
    #[argh(switch)]
    pub dry_run: bool,
    /// why, for the audit trail
    #[argh(option, default = "String::new()")]
    pub why: String,
}

/// add or list adapters
#[derive(FromArgs)]
#[argh(subcommand, name = "adapter")]
pub struct Adapter {
    #[argh(subcommand)]
    pub command: AdapterCommand,
}

/// What to do with adapters.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum AdapterCommand {
    Add(AdapterAdd),
    List(AdapterList),
}

/// add an adapter, or a version of one
#[derive(FromArgs)]
#[argh(subcommand, name = "add")]
pub struct AdapterAdd {
    /// the adapter
    #[argh(positional)]
    pub name: String,
    /// the version
    #[argh(positional)]
    pub version: String,
    /// the base model
    #[argh(option)]
    pub base: String,
    /// where the weight store keeps it
    #[argh(option)]
    pub weights: String,
    /// its share of requests that name no version (default 100)
    #[argh(option, default = "100")]
    pub share: u32,
    /// why, for the audit trail
    #[argh(option, default = "String::new()")]
    pub why: String,
}

/// list adapters with their versions
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub struct AdapterList {}

/// show the audit trail
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub struct Audit {
    /// only changes by this operator
    #[argh(option)]
    pub who: Option<String>,
    /// only changes whose subject has this text in it
    #[argh(option)]
    pub what: Option<String>,
    /// the last so many (default 50)
    #[argh(option, default = "50")]
    pub last: usize,
}

/// show a daemon and what it knows of the others
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// begin a daemon's planned stop
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}
