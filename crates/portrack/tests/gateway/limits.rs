//! Compares two ways to divide the limit that a server advertises: one granter, or a share for each
//! node.
//!
//! The results of both are printed; the granter, which is the one in use, is checked against the
//! bound that users set.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{
    AnnouncementQueue, GrantAnswer, GrantEnd, GrantRequest, Granter, LimitRule, PrefillRate,
    RateBucket, RateLimit, ServerRule,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;

const DURATION_MS: u64 = 40_000;
const WINDOW_MS: u64 = 4_000;
/// Demand as a multiple of what the server accepts.
const DEMAND: f64 = 5.0;
/// A request that cannot be sent within this time is refused.
const TIME_LEFT_MS: u32 = 600;
const NODES: [usize; 4] = [3, 24, 60, 360];
const LIMITS: [f64; 3] = [0.5, 2.0, 50.0];

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).expect("a valid limit")
}

fn rule(rate: f64, may_be_shared: bool) -> LimitRule {
    LimitRule { limit: limit(rate), since: Time(0), may_be_shared }
}

fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW_MS as f64 / 1_000.0 + 5.0
}

fn max_in_window(arrivals: &[u64]) -> usize {
    let in_window =
        |from: &u64| arrivals.iter().filter(|at| **at >= *from && **at < from + WINDOW_MS).count();
    arrivals.iter().map(in_window).max().unwrap_or(0)
}

/// The part of the server's capacity that was used.
fn utilisation(arrivals: &[u64], rate: f64) -> f64 {
    arrivals.len() as f64 * 1_000.0 / (rate * DURATION_MS as f64)
}

/// Arrival times of requests, each with its node.
fn demand(seed: u64, rate: f64, nodes: usize) -> Vec<(u64, usize)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut now = 0.0;
    let mut all = Vec::new();
    while now < DURATION_MS as f64 {
        now += -random.random_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / (rate * DEMAND);
        all.push((now as u64, random.random_range(0..nodes)));
    }
    all
}

/// Each node has a bucket with its share of the limit.
fn simulate_shares(rate: f64, nodes: usize) -> Vec<u64> {
    let mut buckets = vec![RateBucket::default(); nodes];
    let share = rule(rate / nodes as f64, false);
    let arrivals = demand(1, rate, nodes).into_iter().filter(|(at, node)| {
        buckets[*node].set(Time(*at), Some(share));
        let goes = buckets[*node].has_room(Time(*at));
        if goes {
            buckets[*node].take(Time(*at));
        }
        goes
    });
    arrivals.map(|(at, _)| at).collect()
}

fn ask(number: u32) -> GrantRequest {
    GrantRequest {
        ask: number,
        server: 1,
        organisation: None,
        tokens: 0,
        priority: 0,
        left_ms: TIME_LEFT_MS,
        most_ms: TIME_LEFT_MS * 2,
        gap_ms: 0,
        event_ms: 0,
        limit: None,
    }
}

fn from(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into()
}

/// A granter and the times of its grants.
struct SimulatedGranter {
    granter: Granter,
    rule: ServerRule,
    grants: Vec<u64>,
}

impl SimulatedGranter {
    fn new(now: u64, rate: f64, may_be_shared: bool) -> Self {
        let limit = LimitRule { since: Time(now), ..rule(rate, may_be_shared) };
        let rule = ServerRule { cold: None, limit: Some(limit) };
        Self { granter: Granter::new(Time(now)), rule, grants: Vec::new() }
    }

    fn apply(&mut self, now: u64, replies: Vec<portrack::gateway::GrantReply>) {
        for (id, answer) in replies {
            if matches!(answer, GrantAnswer::Granted(_)) {
                self.grants.push(now);
                let mut pace = PrefillRate::default();
                let end = GrantEnd::Begun(5);
                let more = self.granter.ended(Time(now), id, end, &self.rule, &mut pace);
                self.apply(now, more);
            }
        }
    }

    fn ask(&mut self, now: u64, node: usize, number: u32) {
        let replies = self.granter.ask(Time(now), from(node), ask(number), &self.rule, 1.0);
        self.apply(now, replies);
    }

    fn tick(&mut self, now: u64) {
        let replies = self.granter.tick(Time(now), &self.rule, 1.0);
        self.apply(now, replies);
    }
}

/// Simulates one granter. With `restarts` it is replaced every three seconds; with `split` half of
/// the nodes send their requests to a second granter that stands in for it.
fn simulate_granter(rate: f64, nodes: usize, restarts: bool, split: bool) -> Vec<u64> {
    let mut all = [SimulatedGranter::new(0, rate, false), SimulatedGranter::new(0, rate, true)];
    let mut before: Vec<u64> = Vec::new();
    let mut arrivals = demand(1, rate, nodes).into_iter().enumerate().peekable();
    for now in 0..DURATION_MS {
        if restarts && now.is_multiple_of(3_000) {
            let previous = std::mem::replace(&mut all[0], SimulatedGranter::new(now, rate, false));
            before.extend(previous.grants);
        }
        while let Some((number, (_, node))) = arrivals.next_if(|(_, (at, _))| *at <= now) {
            let target = usize::from(split && node % 2 == 1);
            all[target].ask(now, node, number as u32);
        }
        if now.is_multiple_of(20) {
            all.iter_mut().for_each(|simulated| simulated.tick(now));
        }
    }
    before.extend(all.into_iter().flat_map(|simulated| simulated.grants));
    before.sort();
    before
}

#[test]
fn a_granter_enforces_and_uses_the_limit_with_any_number_of_nodes() {
    for rate in LIMITS {
        for nodes in NODES {
            let shares = simulate_shares(rate, nodes);
            let granted = simulate_granter(rate, nodes, false, false);
            println!(
                "limit {rate}, {nodes} nodes, allowed {:.0}: shares {} ({:.2} used), granter {} ({:.2} used)",
                allowed(rate),
                max_in_window(&shares),
                utilisation(&shares, rate),
                max_in_window(&granted),
                utilisation(&granted, rate)
            );
            assert!(max_in_window(&granted) as f64 <= allowed(rate), "{rate}, {nodes}");
            assert!(
                utilisation(&granted, rate) > 0.9,
                "{rate}, {nodes}: {}",
                utilisation(&granted, rate)
            );
        }
    }
}

#[test]
fn the_limit_holds_while_granters_are_replaced_or_two_of_them_grant() {
    for rate in LIMITS {
        for (restarts, split) in [(true, false), (false, true), (true, true)] {
            let grants = simulate_granter(rate, 24, restarts, split);
            let most = max_in_window(&grants);
            assert!(most as f64 <= allowed(rate), "{rate}, {restarts}, {split}: {most}");
            assert!(utilisation(&grants, rate) > 0.5, "{rate}: {}", utilisation(&grants, rate));
        }
    }
}

#[test]
fn a_request_that_was_not_sent_frees_its_turn() {
    let mut simulated = SimulatedGranter::new(0, 1.0, false);
    let replies = simulated.granter.ask(Time(1_000), from(1), ask(1), &simulated.rule, 1.0);
    let [(id, GrantAnswer::Granted(_))] = replies[..] else { panic!("{replies:?}") };
    simulated.ask(1_001, 1, 2);
    assert!(simulated.grants.is_empty(), "the limit allows no second request yet");
    let mut pace = PrefillRate::default();
    simulated.granter.ended(Time(1_002), id, GrantEnd::Unsent, &simulated.rule, &mut pace);
    simulated.ask(1_003, 1, 3);
    assert_eq!(simulated.grants.len(), 1);
}

#[test]
fn a_request_that_would_wait_too_long_is_refused_with_a_retry_time() {
    let mut simulated = SimulatedGranter::new(0, 1.0, false);
    simulated.ask(1_000, 1, 1);
    let refused = |replies: Vec<portrack::gateway::GrantReply>| match replies[..] {
        [(_, GrantAnswer::Refused(after))] => after,
        _ => panic!("{replies:?}"),
    };
    let mut again = |number| {
        refused(simulated.granter.ask(Time(1_010), from(1), ask(number), &simulated.rule, 1.0))
    };
    let first = again(2);
    assert!(first >= 900, "the next turn is in {first} ms");
    assert!(again(3) > first, "turns come one after the other");
}

#[test]
fn urgent_requests_go_first() {
    let mut simulated = SimulatedGranter::new(0, 2.0, false);
    simulated.ask(1_000, 1, 1);
    let urgent = GrantRequest { priority: 0, ..ask(3) };
    let late = GrantRequest { priority: 5, ..ask(2) };
    let waits = |replies: &[portrack::gateway::GrantReply]| {
        replies.iter().any(|(_, answer)| matches!(answer, GrantAnswer::Waits(_)))
    };
    assert!(waits(&simulated.granter.ask(Time(1_010), from(1), late, &simulated.rule, 1.0)));
    let replies = simulated.granter.ask(Time(1_020), from(1), urgent, &simulated.rule, 1.0);
    let refused: Vec<u32> = replies
        .iter()
        .filter(|(_, answer)| matches!(answer, GrantAnswer::Refused(_)))
        .map(|(id, _)| id.call)
        .collect();
    assert_eq!(refused, [2], "the less urgent request is displaced: {replies:?}");
}

#[test]
fn announcements_of_a_constantly_changing_limit_are_rate_limited() {
    let mut queue = AnnouncementQueue::default();
    let mut announced = 0;
    for now in 0..3_000 {
        queue.add(Time(now), 7);
        announced += queue.due(Time(now)).len();
    }
    assert!((1..=11).contains(&announced), "{announced} announcements in three seconds");
    let after = (3_000..6_000).filter(|now| !queue.due(Time(*now)).is_empty()).count();
    assert_eq!(after, 3, "the last change is announced three times");
    assert_eq!(ms(1_200).as_millis(), 1_200);
}
