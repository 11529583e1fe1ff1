//! Ways to count quotas over a fleet, on the same simulated demand and troubles.
//!
//! There are no servers and no processors here. What is compared is how much more than a quota a way
//! lets in within a window, and how much it refuses of what the quota allows.

mod accounts;
mod demand;
mod judge;
mod network;
mod shares;

use accounts::{LateCount, WithAccountants};
use demand::{Demand, Request};
use judge::Judge;
use network::{Fleet, Trouble};
use portrack::gateway::{Quota, QuotaUnit};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use shares::{DemandShares, EqualShares};
use std::fmt::Write as _;

/// The step of the simulated clock, in milliseconds.
pub(crate) const STEP_MS: u64 = 5;
/// Length of a play, in milliseconds.
pub(crate) const LENGTH_MS: u64 = 34_000;
/// Data halls.
pub(crate) const HALLS: usize = 3;
/// The organisation that sends many times its usual on some plays, and one that never does.
pub(crate) const ORGANISATIONS: usize = 2;

/// The quota of each organisation: a large one and a small one, as the users' sheets have them.
pub(crate) const QUOTAS: [Quota; ORGANISATIONS] = [
    Quota { unit: QuotaUnit::Tokens { plain: 200.0 }, per_second: 200_000.0, burst: 200_000.0 },
    Quota { unit: QuotaUnit::Tokens { plain: 200.0 }, per_second: 20_000.0, burst: 20_000.0 },
];

/// A way to count quotas.
trait Way {
    /// The name in the table.
    fn name(&self) -> &'static str;
    /// True if a node lets a request in.
    fn admit(&mut self, now: u64, request: &Request, fleet: &mut Fleet) -> bool;
    /// Lets the nodes tell each other what they have counted.
    fn step(&mut self, now: u64, fleet: &mut Fleet);
    /// A node starts anew and has forgotten everything.
    fn restarted(&mut self, now: u64, node: usize);
}

fn ways(nodes: usize) -> Vec<Box<dyn Way>> {
    vec![
        Box::new(EqualShares::new(nodes)),
        Box::new(DemandShares::new(nodes)),
        Box::new(LateCount::new(nodes)),
        Box::new(WithAccountants::new(nodes)),
    ]
}

fn play(way: &mut dyn Way, nodes: usize, trouble: Trouble, seed: u64) -> Judge {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut demand = Demand::new(nodes, trouble, seed);
    let mut fleet = Fleet::new(nodes, trouble, seed ^ 0x5eed);
    let mut judge = Judge::default();
    for now in (0..LENGTH_MS).step_by(STEP_MS as usize) {
        for node in fleet.pass(now) {
            way.restarted(now, node);
        }
        way.step(now, &mut fleet);
        for request in demand.next(now, &mut random) {
            if fleet.is_up(request.node) {
                let admitted = way.admit(now, &request, &mut fleet);
                judge.request(now, &request, admitted);
            }
        }
    }
    judge
}

/// The table of all ways under all troubles.
pub fn report(seeds: u64, nodes: usize) -> String {
    let mut text = format!("{nodes} nodes, {seeds} plays each\n\n");
    text.push_str("| trouble | way | most in a window | refused inside the quota |\n");
    text.push_str("| --- | --- | --- | --- |\n");
    for trouble in Trouble::ALL {
        for way in 0..ways(nodes).len() {
            let plays = (0..seeds).map(|seed| {
                let mut way = ways(nodes).swap_remove(way);
                (way.name(), play(&mut *way, nodes, trouble, seed))
            });
            let plays: Vec<_> = plays.collect();
            let worst = plays.iter().map(|(_, judge)| judge.worst_window()).fold(0.0, f64::max);
            let lost = plays.iter().map(|(_, judge)| judge.refused_inside()).sum::<f64>();
            let name = plays.first().map_or("", |(name, _)| name);
            let _ = writeln!(
                text,
                "| {} | {name} | {:.2} | {:.1}% |",
                trouble.name(),
                worst,
                100.0 * lost / seeds as f64
            );
        }
    }
    text
}
