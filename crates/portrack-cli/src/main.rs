//! Command line tool for operators, with a self-contained demonstration.

mod args;
mod client;
mod commands;
mod demo;
mod failure;
mod output;

use args::{Args, Command};
use client::Client;
use failure::Failure;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    match actix_rt::System::new().block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("portrack: {failure}");
            failure.exit_code()
        }
    }
}

async fn run(args: Args) -> Result<(), Failure> {
    if let Command::Demo(demo) = &args.command {
        return demo::run(demo).await;
    }
    if let Command::Trace(trace) = &args.command {
        return commands::trace(trace);
    }
    let client = Client::new(&args.node, args.token_file.as_deref())?;
    let output = args.output;
    match args.command {
        Command::Get(get) => commands::get(&client, output, &get).await,
        Command::Set(set) => commands::set(&client, output, set).await,
        Command::Unset(unset) => commands::unset(&client, output, unset).await,
        Command::Explain(explain) => commands::explain(&client, output, &explain).await,
        Command::Apply(apply) => commands::apply(&client, output, &apply).await,
        Command::Adapter(adapter) => commands::adapter(&client, output, adapter.command).await,
        Command::Audit(audit) => commands::audit(&client, output, &audit).await,
        Command::Status(_) => commands::status(&client, output).await,
        Command::Drain(_) => commands::drain(&client, output).await,
        Command::Demo(_) | Command::Trace(_) => Ok(()),
    }
}
