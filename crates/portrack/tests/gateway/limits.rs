//! Who gives out the limit that a server names: one granter, or every node a share of it.
//!
//! The figures that the ways come to are printed; what is built is held to the users' bound.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{
    AnnouncementQueue, GrantAnswer, GrantEnd, GrantRequest, Granter, LimitRule, PrefillRate,
    RateBucket, RateLimit, ServerRule,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;

const LENGTH_MS: u64 = 40_000;
const SPAN_MS: u64 = 4_000;
/// So many times what the server takes is asked for.
const DEMAND: f64 = 5.0;
/// A request that cannot be sent within this is refused.
const LEFT_MS: u32 = 600;
const NODES: [usize; 4] = [3, 24, 60, 360];
const LIMITS: [f64; 3] = [0.5, 2.0, 50.0];

fn limit(rate: f64) -> RateLimit {
    RateLimit::per_second(rate).expect("a limit")
}

fn rule(rate: f64, may_be_shared: bool) -> LimitRule {
    LimitRule { limit: limit(rate), since: Time(0), may_be_shared }
}

fn allowed(rate: f64) -> f64 {
    1.5 * rate * SPAN_MS as f64 / 1_000.0 + 5.0
}

fn most_in_span(arrivals: &[u64]) -> usize {
    let in_span =
        |from: &u64| arrivals.iter().filter(|at| **at >= *from && **at < from + SPAN_MS).count();
    arrivals.iter().map(in_span).max().unwrap_or(0)
}

/// Of what the server takes, the share that it got.
fn used(arrivals: &[u64], rate: f64) -> f64 {
    arrivals.len() as f64 * 1_000.0 / (rate * LENGTH_MS as f64)
}

/// When requests come, each with its node.
fn demand(seed: u64, rate: f64, nodes: usize) -> Vec<(u64, usize)> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut now = 0.0;
    let mut all = Vec::new();
    while now < LENGTH_MS as f64 {
        now += -random.random_range(f64::MIN_POSITIVE..1.0).ln() * 1_000.0 / (rate * DEMAND);
        all.push((now as u64, random.random_range(0..nodes)));
    }
    all
}

/// Each node has a bucket with its part of the limit.
fn play_shares(rate: f64, nodes: usize) -> Vec<u64> {
    let mut buckets = vec![RateBucket::default(); nodes];
    let part = rule(rate / nodes as f64, false);
    let comes = demand(1, rate, nodes).into_iter().filter(|(at, node)| {
        buckets[*node].set(Time(*at), Some(part));
        let goes = buckets[*node].has_room(Time(*at));
        if goes {
            buckets[*node].take(Time(*at));
        }
        goes
    });
    comes.map(|(at, _)| at).collect()
}

fn ask(number: u32) -> GrantRequest {
    GrantRequest {
        ask: number,
        server: 1,
        organisation: None,
        tokens: 0,
        priority: 0,
        left_ms: LEFT_MS,
        most_ms: LEFT_MS * 2,
        gap_ms: 0,
        event_ms: 0,
        limit: None,
    }
}

fn from(node: usize) -> SocketAddr {
    ([10, 0, (node / 250) as u8, (node % 250) as u8], 7_000).into()
}

/// A granter with what it has given.
struct Giving {
    granter: Granter,
    rule: ServerRule,
    given: Vec<u64>,
}

impl Giving {
    fn new(now: u64, rate: f64, may_be_shared: bool) -> Self {
        let limit = LimitRule { since: Time(now), ..rule(rate, may_be_shared) };
        let rule = ServerRule { cold: None, limit: Some(limit) };
        Self { granter: Granter::new(Time(now)), rule, given: Vec::new() }
    }

    fn take(&mut self, now: u64, orders: Vec<portrack::gateway::GrantReply>) {
        for (id, answer) in orders {
            if matches!(answer, GrantAnswer::Granted(_)) {
                self.given.push(now);
                let mut pace = PrefillRate::default();
                let end = GrantEnd::Begun(5);
                let more = self.granter.ended(Time(now), id, end, &self.rule, &mut pace);
                self.take(now, more);
            }
        }
    }

    fn ask(&mut self, now: u64, node: usize, number: u32) {
        let orders = self.granter.ask(Time(now), from(node), ask(number), &self.rule, 1.0);
        self.take(now, orders);
    }

    fn pass_time(&mut self, now: u64) {
        let orders = self.granter.tick(Time(now), &self.rule, 1.0);
        self.take(now, orders);
    }
}

/// One granter; with `restarts` another one takes its place each three seconds, and with `split` half of the nodes ask one
/// that stands in for it.
fn play_granter(rate: f64, nodes: usize, restarts: bool, split: bool) -> Vec<u64> {
    let mut all = [Giving::new(0, rate, false), Giving::new(0, rate, true)];
    let mut before: Vec<u64> = Vec::new();
    let mut comes = demand(1, rate, nodes).into_iter().enumerate().peekable();
    for now in 0..LENGTH_MS {
        if restarts && now.is_multiple_of(3_000) {
            let former = std::mem::replace(&mut all[0], Giving::new(now, rate, false));
            before.extend(former.given);
        }
        while let Some((number, (_, node))) = comes.next_if(|(_, (at, _))| *at <= now) {
            let asked = usize::from(split && node % 2 == 1);
            all[asked].ask(now, node, number as u32);
        }
        if now.is_multiple_of(20) {
            all.iter_mut().for_each(|giving| giving.pass_time(now));
        }
    }
    before.extend(all.into_iter().flat_map(|giving| giving.given));
    before.sort();
    before
}

#[test]
fn a_granter_keeps_the_limit_with_any_number_of_nodes_and_uses_it() {
    for rate in LIMITS {
        for nodes in NODES {
            let shares = play_shares(rate, nodes);
            let granted = play_granter(rate, nodes, false, false);
            println!(
                "limit {rate}, {nodes} nodes, allowed {:.0}: shares {} ({:.2} used), granter {} ({:.2} used)",
                allowed(rate),
                most_in_span(&shares),
                used(&shares, rate),
                most_in_span(&granted),
                used(&granted, rate)
            );
            assert!(most_in_span(&granted) as f64 <= allowed(rate), "{rate}, {nodes}");
            assert!(used(&granted, rate) > 0.9, "{rate}, {nodes}: {}", used(&granted, rate));
        }
    }
}

#[test]
fn it_is_kept_while_granters_take_each_others_place_or_two_of_them_give() {
    for rate in LIMITS {
        for (restarts, split) in [(true, false), (false, true), (true, true)] {
            let given = play_granter(rate, 24, restarts, split);
            let most = most_in_span(&given);
            assert!(most as f64 <= allowed(rate), "{rate}, {restarts}, {split}: {most}");
            assert!(used(&given, rate) > 0.5, "{rate}: {}", used(&given, rate));
        }
    }
}

#[test]
fn a_request_that_was_not_sent_leaves_its_turn_to_another_one() {
    let mut giving = Giving::new(0, 1.0, false);
    let orders = giving.granter.ask(Time(1_000), from(1), ask(1), &giving.rule, 1.0);
    let [(id, GrantAnswer::Granted(_))] = orders[..] else { panic!("{orders:?}") };
    giving.ask(1_001, 1, 2);
    assert!(giving.given.is_empty(), "there is no room for a second one");
    let mut pace = PrefillRate::default();
    giving.granter.ended(Time(1_002), id, GrantEnd::Unsent, &giving.rule, &mut pace);
    giving.ask(1_003, 1, 3);
    assert_eq!(giving.given.len(), 1);
}

#[test]
fn what_cannot_have_its_turn_in_time_is_refused_at_once_with_a_time_to_come_back() {
    let mut giving = Giving::new(0, 1.0, false);
    giving.ask(1_000, 1, 1);
    let refused = |orders: Vec<portrack::gateway::GrantReply>| match orders[..] {
        [(_, GrantAnswer::Refused(after))] => after,
        _ => panic!("{orders:?}"),
    };
    let mut again =
        |number| refused(giving.granter.ask(Time(1_010), from(1), ask(number), &giving.rule, 1.0));
    let first = again(2);
    assert!(first >= 900, "there is a turn in {first} ms");
    assert!(again(3) > first, "one after the other");
}

#[test]
fn urgent_requests_have_their_turns_first() {
    let mut giving = Giving::new(0, 2.0, false);
    giving.ask(1_000, 1, 1);
    let urgent = GrantRequest { priority: 0, ..ask(3) };
    let late = GrantRequest { priority: 5, ..ask(2) };
    let waits = |orders: &[portrack::gateway::GrantReply]| {
        orders.iter().any(|(_, answer)| matches!(answer, GrantAnswer::Waits(_)))
    };
    assert!(waits(&giving.granter.ask(Time(1_010), from(1), late, &giving.rule, 1.0)));
    let orders = giving.granter.ask(Time(1_020), from(1), urgent, &giving.rule, 1.0);
    let refused: Vec<u32> = orders
        .iter()
        .filter(|(_, answer)| matches!(answer, GrantAnswer::Refused(_)))
        .map(|(id, _)| id.call)
        .collect();
    assert_eq!(refused, [2], "the other one makes way: {orders:?}");
}

#[test]
fn a_limit_that_changes_all_the_time_is_told_of_now_and_then() {
    let mut telling = AnnouncementQueue::default();
    let mut told = 0;
    for now in 0..3_000 {
        telling.add(Time(now), 7);
        told += telling.due(Time(now)).len();
    }
    assert!((1..=11).contains(&told), "told {told} times in three seconds");
    let after = (3_000..6_000).filter(|now| !telling.due(Time(*now)).is_empty()).count();
    assert_eq!(after, 3, "the last change is told three times");
    assert_eq!(ms(1_200).as_millis(), 1_200);
}
