//! Stand-ins for the users' platform, and the plays of the cases that cannot be written as days. Only the
//! standard library is used. `standins store|server|CASE`; see `run.sh` of each case.

mod fleet;
mod http;
mod json;
mod plays;
mod server;
mod store;

use std::net::TcpListener;
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words[..] {
        ["store", address] => {
            store::serve(TcpListener::bind(address).expect("the store's address is free"));
            ExitCode::SUCCESS
        }
        ["server", address, id, zone, store, unframed_one_in, models, record] => {
            let listener = TcpListener::bind(address).expect("the server's address is free");
            let plan = server::Plan {
                id: id.into(),
                zone: zone.into(),
                store: store.parse().expect("the store's address"),
                unframed_one_in: unframed_one_in.parse().expect("a number"),
                models: server::models(models),
                record: record.into(),
            };
            server::serve(listener, plan).expect("the server runs");
            ExitCode::SUCCESS
        }
        [case, daemon, record] => plays::play(case, daemon, record),
        _ => {
            eprintln!("usage: standins CASE PATH-OF-PORTRACKD RECORD");
            ExitCode::from(2)
        }
    }
}
