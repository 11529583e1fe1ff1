//! Ways to agree on what one server gets, on the same simulated demand and troubles.
//!
//! Nodes that each see few requests send them to one of two servers that hold what they need. Some
//! servers are cold and asked for far more than they bear; the others read prompts. What is compared is
//! the most that a cold server gets in a second, how long prompts wait, and the pauses they make.

mod engine;
mod play;
mod ways;

use play::{Play, Trouble};
use std::fmt::Write as _;
use ways::Way;

/// The table of all ways under all troubles, for some sizes of a fleet.
pub fn report(seeds: u64, sizes: &[usize]) -> String {
    let mut text = String::new();
    for nodes in sizes {
        let _ = writeln!(
            text,
            "{nodes} nodes, {seeds} plays each of 12 s; a cold server bears 17.75 in a second\n"
        );
        text.push_str("| trouble | way | most in a second at a cold server | median wait, ms | p99 | pauses over 300 ms, in 1,000 events | messages a second a node |\n");
        text.push_str("| --- | --- | --- | --- | --- | --- | --- |\n");
        for trouble in Trouble::ALL {
            for way in Way::ALL {
                let plays: Vec<_> =
                    (0..seeds).map(|seed| Play::new(*nodes, way, trouble, seed).run()).collect();
                let mean = |value: fn(&play::Judged) -> f64| {
                    plays.iter().map(value).sum::<f64>() / plays.len() as f64
                };
                let most = plays.iter().map(|judged| judged.most_cold).max().unwrap_or(0);
                let _ = writeln!(
                    text,
                    "| {} | {} | {most} | {:.0} | {:.0} | {:.1} | {:.1} |",
                    trouble.name(),
                    way.name(),
                    mean(|judged| judged.median_wait),
                    mean(|judged| judged.p99_wait),
                    mean(|judged| judged.pauses),
                    mean(|judged| judged.messages),
                );
            }
        }
        text.push('\n');
    }
    text
}
