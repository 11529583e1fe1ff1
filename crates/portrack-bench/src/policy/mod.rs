//! Placement and routing policies on the same seeded trace.
//!
//! No nodes, no network, no message faults: a trace, the decisions, the engines' slots and
//! batches, and the weight store's rate.

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

/// Runs every policy on both shapes of load and prints tables; writes a picture if asked to.
pub fn report(trial: &Trial, ours_only: bool, picture: Option<&std::path::Path>) -> String {
    let policies = if ours_only { &Policy::ALL[..1] } else { &Policy::ALL[..] };
    let mut text = String::new();
    let mut all = Vec::new();
    for shape in [Shape::pedala(), Shape::gopherline()] {
        text.push_str(&format!("\n{}\n\n{}", shape.name, Outcome::head()));
        for policy in policies {
            let outcome = run::run(&shape, *policy, trial);
            text.push_str(&outcome.row());
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
