//! Command line arguments.

use crate::output::Output;
use argh::FromArgs;
use std::path::PathBuf;

/// operate a portrack fleet
#[derive(FromArgs)]
pub struct Args {
    /// operators' address of any daemon (default 127.0.0.1:9090)
    #[argh(option, default = "\"127.0.0.1:9090\".to_owned()")]
    pub node: String,
    /// file with the operator's token
    #[argh(option)]
    pub token_file: Option<PathBuf>,
    /// output format: text or json
    #[argh(option, default = "Output::Text")]
    pub output: Output,
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
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

/// run three daemons and stand-ins on loopback under load, and check the guarantees
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// seconds of load (default 15)
    #[argh(option, default = "15")]
    pub seconds: u64,
    /// requests per second (default 40)
    #[argh(option, default = "40")]
    pub rate: u64,
    /// number of adapters (default 200)
    #[argh(option, default = "200")]
    pub adapters: usize,
    /// print the addresses and keep running without load
    #[argh(switch)]
    pub serve: bool,
}

/// collect the log lines about one request from the logs of several daemons
#[derive(FromArgs)]
#[argh(subcommand, name = "trace")]
pub struct Trace {
    /// request id
    #[argh(positional)]
    pub id: String,
    /// log files, one per daemon (default: standard input)
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// show the settings at nodes of the settings tree
#[derive(FromArgs)]
#[argh(subcommand, name = "get")]
pub struct Get {
    /// path of a node, for instance fleet/hall:a (default: all nodes)
    #[argh(positional)]
    pub path: Option<String>,
}

/// set a key at a node of the settings tree
#[derive(FromArgs)]
#[argh(subcommand, name = "set")]
pub struct Set {
    /// path of the node, for instance fleet/hall:a
    #[argh(positional)]
    pub path: String,
    /// the key
    #[argh(positional)]
    pub key: String,
    /// the value
    #[argh(positional)]
    pub value: u64,
    /// reason, recorded in the audit trail
    #[argh(option, default = "String::new()")]
    pub why: String,
}

/// remove a key from a node, so that its value is inherited
#[derive(FromArgs)]
#[argh(subcommand, name = "unset")]
pub struct Unset {
    /// path of the node, for instance fleet/hall:a
    #[argh(positional)]
    pub path: String,
    /// the key
    #[argh(positional)]
    pub key: String,
    /// reason, recorded in the audit trail
    #[argh(option, default = "String::new()")]
    pub why: String,
}

/// show where the value of a key comes from
#[derive(FromArgs)]
#[argh(subcommand, name = "explain")]
pub struct Explain {
    /// path of a node, for instance fleet/hall:a/service:chat
    #[argh(positional)]
    pub path: String,
    /// the key (default: all keys)
    #[argh(positional)]
    pub key: Option<String>,
}

/// apply a settings file, after showing the differences
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub struct Apply {
    /// the settings file (TOML)
    #[argh(positional)]
    pub file: PathBuf,
    /// only show the differences
    #[argh(switch)]
    pub dry_run: bool,
    /// reason, recorded in the audit trail
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

/// Subcommands of `adapter`.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum AdapterCommand {
    Add(AdapterAdd),
    List(AdapterList),
}

/// add an adapter or a version of an adapter
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
    /// location in the weight store
    #[argh(option)]
    pub weights: String,
    /// share of the requests without a version that this version gets (default 100)
    #[argh(option, default = "100")]
    pub share: u32,
    /// reason, recorded in the audit trail
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
    /// only changes whose subject contains this text
    #[argh(option)]
    pub what: Option<String>,
    /// number of latest changes to show (default 50)
    #[argh(option, default = "50")]
    pub last: usize,
}

/// show the status of a daemon and its view of the other daemons
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// start the planned stop of a daemon
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {}
