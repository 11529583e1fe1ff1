//! Compares placement and routing policies on the same seeded traces.
//!
//! Simulates the policies' decisions, the engines' slots and batches, and the weight store's rate, but
//! neither nodes nor the network nor message faults.

mod baseline;
mod engine;
mod ours;
mod plot;
mod result;
mod run;
mod store;
mod trace;
mod trial;

use result::Outcome;
use run::Policy;
use trace::Shape;
pub use trial::{Setting, Trial};

/// Runs the policies on both load shapes and returns tables; also writes a chart if `picture` is set.
pub fn report(trial: &Trial, ours_only: bool, picture: Option<&std::path::Path>) -> String {
    let policies = if ours_only { &Policy::ALL[..1] } else { &Policy::ALL[..] };
    let mut text = String::new();
    let mut all = Vec::new();
    for shape in [Shape::pedala(), Shape::gopherline()] {
        text.push_str(&format!("\n{}\n\n{}", shape.name, Outcome::table_header()));
        for policy in policies {
            let outcome = run::run(&shape, *policy, trial);
            text.push_str(&outcome.table_row());
            all.push((shape.name, outcome));
        }
    }
    if let Some(file) = picture {
        let written = std::fs::write(file, plot::svg(&all));
        if let Err(error) = written {
            text.push_str(&format!("\n{}: {error}\n", file.display()));
        }
    }
    text
}
