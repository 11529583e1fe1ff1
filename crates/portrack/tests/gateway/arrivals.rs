//! Grants for arrivals at a server.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{
    CallId, ColdBound, ColdRule, ColdStart, FallbackShares, GrantAnswer, GrantEnd, GrantReply,
    GrantRequest, Granter, OrganisationHash, PrefillRate, ServerRule, choose_evicted,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

const RATE: f64 = 20.0;
const UNLIMITED: ServerRule = ServerRule { cold: None, limit: None };

fn from(node: u16) -> SocketAddr {
    let [high, low] = node.to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

fn ask(number: u32, tokens: u32) -> GrantRequest {
    GrantRequest {
        ask: number,
        server: 1,
        organisation: Some(OrganisationHash(1)),
        tokens,
        priority: 1,
        left_ms: 700,
        most_ms: 2_200,
        gap_ms: 300,
        event_ms: 35,
        limit: None,
    }
}

fn id(number: u32) -> CallId {
    CallId { from: from(1), call: number }
}

fn bound() -> ColdBound {
    let start = ColdStart { duration: ms(3_000), per_second: 8.5 };
    ColdBound::new(&start, 1.5, 5.0)
}

/// Maximum arrivals per second at a cold server: 8.5 times 1.5, plus 5, rounded down.
const COLD_BOUND: usize = 17;

fn cold(cold: bool) -> ServerRule {
    ServerRule { cold: Some(ColdRule { bound: bound(), cold, is_stand_in: false }), limit: None }
}

fn granted(orders: &[GrantReply]) -> Vec<u32> {
    let granted = orders.iter().filter(|(_, answer)| matches!(answer, GrantAnswer::Granted(_)));
    granted.map(|(id, _)| id.call).collect()
}

fn end(granter: &mut Granter, now: u64, number: u32, end: GrantEnd) -> Vec<u32> {
    granted(&granter.ended(Time(now), id(number), end, &UNLIMITED, &mut PrefillRate::default()))
}

#[test]
fn prefill_beyond_one_event_gap_waits() {
    let mut granter = Granter::new(Time(0));
    assert_eq!(granted(&granter.ask(Time(0), from(1), ask(1, 3_000), &UNLIMITED, RATE)), [1]);
    let second = granter.ask(Time(1), from(1), ask(2, 3_000), &UNLIMITED, RATE);
    assert!(matches!(second[..], [(_, GrantAnswer::Waits(1..300))]), "{second:?}");
    assert_eq!(end(&mut granter, 160, 1, GrantEnd::Begun(150)), [0_u32; 0]);
    assert_eq!(granter.tick(Time(299), &UNLIMITED, RATE), []);
    assert_eq!(granted(&granter.tick(Time(301), &UNLIMITED, RATE)), [2]);
}

/// The report that a prompt was read may be lost. Until two gaps have passed, unreported prefill
/// must delay further prompts, but never refuse them.
#[test]
fn unreported_prefill_counts_for_one_more_gap() {
    let mut granter = Granter::new(Time(0));
    granter.ask(Time(0), from(1), ask(1, 3_000), &UNLIMITED, RATE);
    granter.ask(Time(1), from(1), ask(2, 3_000), &UNLIMITED, RATE);
    assert_eq!(granter.tick(Time(599), &UNLIMITED, RATE), []);
    assert_eq!(granted(&granter.tick(Time(601), &UNLIMITED, RATE)), [2]);
}

#[test]
fn grant_reports_the_prefill_backlog() {
    let mut granter = Granter::new(Time(0));
    granter.ask(Time(0), from(1), ask(1, 2_000), &UNLIMITED, RATE);
    let second = granter.ask(Time(40), from(1), ask(2, 1_000), &UNLIMITED, RATE);
    assert_eq!(
        second,
        [(id(2), GrantAnswer::Granted(60))],
        "2,000 tokens at 20 per ms, started 40 ms ago"
    );
}

/// If the grant arrives after the caller has left, the granted prefill must be released.
#[test]
fn unsent_grants_are_released() {
    let mut granter = Granter::new(Time(0));
    granter.ask(Time(0), from(1), ask(1, 4_000), &UNLIMITED, RATE);
    granter.ask(Time(1), from(1), ask(2, 4_000), &UNLIMITED, RATE);
    assert_eq!(end(&mut granter, 5, 1, GrantEnd::Unsent), [2]);
    granter.ask(Time(6), from(1), ask(3, 4_000), &UNLIMITED, RATE);
    end(&mut granter, 7, 3, GrantEnd::Unsent);
    assert_eq!(
        granted(&granter.tick(Time(400), &UNLIMITED, RATE)),
        [0_u32; 0],
        "request 3 has ended"
    );
}

#[test]
fn duplicate_request_is_answered_once() {
    let mut granter = Granter::new(Time(0));
    assert_eq!(granter.ask(Time(0), from(1), ask(1, 10), &UNLIMITED, RATE).len(), 1);
    assert_eq!(granter.ask(Time(1), from(1), ask(1, 10), &UNLIMITED, RATE), []);
}

#[test]
fn urgent_requests_go_first_and_late_ones_go_last() {
    let soon = |number| GrantRequest { left_ms: 1_500, ..ask(number, 4_000) };
    let mut granter = Granter::new(Time(0));
    granter.ask(Time(0), from(1), ask(1, 4_000), &UNLIMITED, RATE);
    granter.ask(Time(1), from(1), GrantRequest { left_ms: 0, ..ask(2, 4_000) }, &UNLIMITED, RATE);
    granter.ask(Time(2), from(1), soon(3), &UNLIMITED, RATE);
    granter.ask(Time(3), from(1), GrantRequest { priority: 0, ..soon(4) }, &UNLIMITED, RATE);
    let mut order = Vec::new();
    for now in (5..2_000).step_by(5) {
        order.extend(granted(&granter.tick(Time(now), &UNLIMITED, RATE)));
    }
    assert_eq!(order, [4, 3, 2]);
}

/// Nobody waits any more for an answer that would come so late.
#[test]
fn requests_that_would_wait_too_long_are_refused_with_a_retry_delay() {
    let mut granter = Granter::new(Time(0));
    let mut refused = Vec::new();
    for number in 0..40 {
        for (_, answer) in granter.ask(Time(0), from(1), ask(number, 4_000), &UNLIMITED, RATE) {
            if let GrantAnswer::Refused(millis) = answer {
                refused.push(millis);
            }
        }
    }
    assert!((28..36).contains(&refused.len()), "{}", refused.len());
    assert!(refused.iter().all(|millis| (1_000..=2_000).contains(millis)), "{refused:?}");
}

#[test]
fn evicts_the_last_request_of_the_organisation_with_most_waiting() {
    let hash = |organisation| Some(OrganisationHash(organisation));
    let waiting = [(hash(1), 5), (hash(2), 9), (hash(1), 7), (hash(1), 6), (hash(2), 1)];
    assert_eq!(choose_evicted(&waiting), 2);
    assert_eq!(
        choose_evicted(&[(hash(1), 5), (hash(2), 4)]),
        1,
        "the newest, if no organisation has several"
    );
    assert_eq!(
        choose_evicted(&[(None, 5), (None, 6), (hash(2), 4)]),
        2,
        "requests without an organisation are not counted as one"
    );
}

/// An engine that prefills prompts in pieces between the steps of its streams.
struct Engine {
    queue: VecDeque<(u32, f64)>,
    now: f64,
    steps: Vec<f64>,
}

impl Engine {
    fn until(&mut self, now: f64) -> Vec<u32> {
        let mut read = Vec::new();
        while self.now < now {
            let mut piece = 2_048.0;
            let mut took = 10.0;
            while let Some((number, tokens)) = self.queue.front_mut() {
                let now = tokens.min(piece);
                piece -= now;
                took += now / RATE;
                *tokens -= now;
                if *tokens > 0.0 {
                    break;
                }
                read.push(*number);
                self.queue.pop_front();
            }
            self.now += took;
            self.steps.push(took);
        }
        read
    }

    /// The longest duration of three consecutive steps, which make up one event.
    fn longest_pause(&self) -> f64 {
        self.steps.windows(3).map(|steps| steps.iter().sum()).fold(0.0, f64::max)
    }
}

struct Simulation {
    longest_pause: f64,
    /// Waits for the grant, with prompt tokens and organisation.
    waits: Vec<(u32, u64, u64)>,
    refused: BTreeMap<u64, usize>,
    asked: BTreeMap<u64, usize>,
}

/// Simulates thirty seconds of prompts for one engine. Organisation 0 sends `hot` times the usual
/// rate of the others.
fn simulate(seed: u64, per_second: f64, hot: f64, with_grants: bool) -> Simulation {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut engine = Engine { queue: VecDeque::new(), now: 0.0, steps: Vec::new() };
    let mut granter = Granter::new(Time(0));
    let mut rate = PrefillRate::default();
    let mut asks: BTreeMap<u32, (u64, GrantRequest)> = BTreeMap::new();
    let mut simulation = Simulation {
        longest_pause: 0.0,
        waits: Vec::new(),
        refused: BTreeMap::new(),
        asked: BTreeMap::new(),
    };
    let mut number = 0;
    for now in 0..30_000_u64 {
        let mut orders = Vec::new();
        for organisation in 0..4_u64 {
            let rate = per_second / 4.0 * if organisation == 0 { hot } else { 1.0 };
            if random.random::<f64>() >= rate / 1_000.0 {
                continue;
            }
            number += 1;
            let tokens = (200.0 + 800.0 * -random.random::<f64>().max(0.01).ln()) as u32;
            let organisation = OrganisationHash(organisation);
            let ask = GrantRequest { organisation: Some(organisation), ..ask(number, tokens) };
            *simulation.asked.entry(organisation.0).or_default() += 1;
            asks.insert(number, (now, ask.clone()));
            match with_grants {
                true => orders.extend(granter.ask(Time(now), from(1), ask, &UNLIMITED, RATE)),
                false => orders.push((id(number), GrantAnswer::Granted(0))),
            }
        }
        if now % 20 == 0 {
            orders.extend(granter.tick(Time(now), &UNLIMITED, RATE));
        }
        for read in engine.until(now as f64) {
            let begun = GrantEnd::Begun(100);
            orders.extend(granter.ended(Time(now), id(read), begun, &UNLIMITED, &mut rate));
        }
        for (id, answer) in orders {
            let (at, ask) = asks[&id.call].clone();
            let organisation = ask.organisation.map_or(0, |hash| hash.0);
            match answer {
                GrantAnswer::Granted(_) => {
                    simulation.waits.push((ask.tokens, organisation, now - at));
                    engine.queue.push_back((id.call, ask.tokens.into()));
                }
                GrantAnswer::Refused(_) => {
                    *simulation.refused.entry(organisation).or_default() += 1
                }
                GrantAnswer::Waits(_) => {}
            }
        }
    }
    simulation.longest_pause = engine.longest_pause();
    simulation
}

/// Guards against bursts of prompts pausing streams. On a server that spent 30% of its time on
/// prefill, 3,535 of the 15,750 streams of a day paused for more than the 300 ms that their route
/// allows.
#[test]
fn prefill_does_not_pause_streams_beyond_their_objective() {
    let without = simulate(1, 6.0, 1.0, false);
    assert!(without.longest_pause > 300.0, "{}", without.longest_pause);
    for seed in 0..8 {
        let simulation = simulate(seed, 6.0, 1.0, true);
        assert!(simulation.longest_pause <= 300.0, "seed {seed}: {}", simulation.longest_pause);
        let mean = simulation.waits.iter().map(|wait| wait.2).sum::<u64>() as usize
            / simulation.waits.len();
        assert!(mean < 150, "seed {seed}: {mean}");
        assert!(simulation.refused.is_empty(), "seed {seed}: {:?}", simulation.refused);
    }
}

#[test]
fn large_prompts_are_not_starved_by_small_ones() {
    for seed in 0..8 {
        let mut simulation = simulate(seed, 10.0, 1.0, true);
        simulation.waits.sort_by_key(|wait| wait.0);
        let tenth = simulation.waits.len() / 10;
        let mean = |waits: &[(u32, u64, u64)]| {
            waits.iter().map(|wait| wait.2 as f64).sum::<f64>() / waits.len() as f64
        };
        let large = &simulation.waits[simulation.waits.len() - tenth..];
        let all = mean(&simulation.waits);
        assert!(mean(large) < 2.0 * all + 150.0, "seed {seed}: {} of {all}", mean(large));
        assert!(large.iter().all(|wait| wait.2 <= 2_200), "seed {seed}");
    }
}

#[test]
fn busy_organisation_causes_few_refusals_for_others() {
    for seed in 0..6 {
        let simulation = simulate(seed, 5.0, 14.0, true);
        let refused = |organisations: std::ops::Range<u64>| -> usize {
            organisations.filter_map(|one| simulation.refused.get(&one)).sum()
        };
        let others: usize = (1..4).filter_map(|one| simulation.asked.get(&one)).sum();
        let waits: Vec<u64> =
            simulation.waits.iter().filter(|wait| wait.1 > 0).map(|wait| wait.2).collect();
        let mean = waits.iter().sum::<u64>() as usize / waits.len();
        assert!(mean < 700, "seed {seed}: mean wait of the others is {mean} ms");
        assert!(
            refused(0..1) > 50,
            "seed {seed}: the busy organisation exceeds the server's capacity"
        );
        assert!(refused(1..4) * 20 <= others, "seed {seed}: {} of {others}", refused(1..4));
    }
}

#[test]
fn new_granter_grants_nothing_to_a_cold_server_for_one_second() {
    let mut granter = Granter::new(Time(5_000));
    let first = granter.ask(Time(5_000), from(1), ask(1, 10), &cold(true), RATE);
    assert!(matches!(first[..], [(_, GrantAnswer::Refused(1_000..))]), "{first:?}");
    let warm = granter.ask(Time(5_001), from(1), ask(2, 10), &cold(false), RATE);
    assert_eq!(granted(&warm), [2]);
    assert_eq!(granted(&granter.ask(Time(6_000), from(1), ask(3, 10), &cold(true), RATE)), [3]);
}

#[test]
fn requests_waiting_for_a_cold_server_are_granted_after_one_second() {
    let mut granter = Granter::new(Time(0));
    let rule = cold(true);
    let mut rate = PrefillRate::default();
    let mut given = Vec::new();
    for number in 0..20 {
        given.extend(granted(&granter.ask(Time(2_000), from(1), ask(number, 10), &rule, RATE)));
    }
    assert_eq!(given.len(), 6, "half of 17.75, less four for daemons without a grant");
    for number in given {
        granter.ended(Time(2_100), id(number), GrantEnd::Begun(50), &rule, &mut rate);
    }
    assert_eq!(granter.tick(Time(2_500), &rule, RATE), []);
    let left = GrantRequest { left_ms: 900, ..ask(100, 10) };
    let waits = granter.ask(Time(2_600), from(1), left, &rule, RATE);
    assert!(matches!(waits[..], [(_, GrantAnswer::Waits(_))] | [_, _]), "{waits:?}");
    assert!(!granted(&granter.tick(Time(3_100), &rule, RATE)).is_empty());
}

#[test]
fn rejected_requests_do_not_count_as_arrivals() {
    let mut granter = Granter::new(Time(0));
    let rule = cold(true);
    for number in 0..100 {
        let now = Time(2_000 + u64::from(number));
        assert_eq!(granted(&granter.ask(now, from(1), ask(number, 0), &rule, RATE)), [number]);
        let rate = &mut PrefillRate::default();
        granter.ended(now, id(number), GrantEnd::TurnedAway, &rule, rate);
    }
}

#[test]
fn few_daemons_send_without_a_grant_and_not_in_their_first_second() {
    let everybody: Vec<SocketAddr> = (0..60).map(from).collect();
    let sharers = |server| {
        let is_sharer = |me: &&SocketAddr| {
            let mut shares = FallbackShares::new(Time(0));
            shares.update_daemons(Time(0), everybody.iter().copied());
            shares.is_sharer(server, **me, 2)
        };
        everybody.iter().filter(is_sharer).count()
    };
    assert!((0..20).all(|server| sharers(server) == 2));
    let mut shares = FallbackShares::new(Time(0));
    assert!(!shares.take(Time(900), 1), "it may have sent before its restart");
    assert!(shares.take(Time(1_300), 1) && !shares.take(Time(2_400), 1));
    assert!(shares.take(Time(2_400), 2) && shares.take(Time(2_600), 1));
}

/// A daemon that is partitioned from all others must not believe that it is one of only a few.
#[test]
fn partitioned_daemon_keeps_its_share() {
    let mut shares = FallbackShares::new(Time(0));
    shares.update_daemons(Time(0), (0..60).map(from));
    let before: Vec<bool> = (0..50).map(|server| shares.is_sharer(server, from(7), 2)).collect();
    shares.update_daemons(Time(120_000), std::iter::empty());
    let after: Vec<bool> = (0..50).map(|server| shares.is_sharer(server, from(7), 2)).collect();
    assert_eq!(before, after);
    assert!(before.contains(&true) && before.contains(&false));
}

#[test]
fn prefill_rate_is_separated_from_latency() {
    let mut random = SmallRng::seed_from_u64(4);
    let mut rate = PrefillRate::default();
    assert!(rate.get() <= 10.0, "servers are assumed slow until observed");
    for _ in 0..200 {
        let tokens = random.random_range(200..4_000);
        let queue = if random.random::<f64>() < 0.1 { 400.0 } else { 0.0 };
        let noise = random.random_range(0.0..20.0);
        rate.observe(tokens, 70.0 + f64::from(tokens) / 19.2 + noise + queue);
    }
    assert!((16.0..23.0).contains(&rate.get()), "{}", rate.get());
    for _ in 0..400 {
        let tokens = random.random_range(200..4_000);
        rate.observe(tokens, 40.0 + f64::from(tokens) / 40.0);
    }
    assert!(rate.get() > 30.0, "older samples decay: {}", rate.get());
}

/// A datagram between a daemon and a granter, or a request on its way to the server.
enum Transit {
    Ask(usize, u32),
    Answer(u32, GrantAnswer),
    Ended(usize, u32, GrantEnd),
    Arrives(Option<(usize, u32)>),
}

/// Simulates sixty daemons that send to one permanently cold server. Two of them act as its granter
/// at the same time, because daemons have different views of the fleet. Granters restart, messages
/// are lost, delayed and duplicated, and daemons whose granter does not answer use their own share.
fn cold_arrivals(seed: u64, failure_rate: f64) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let rule = cold(true);
    let mut rate = PrefillRate::default();
    let mut granters = [Granter::new(Time(0)), Granter::new(Time(0))];
    let mut shares: Vec<FallbackShares> = (0..60)
        .map(|_| {
            let mut shares = FallbackShares::new(Time(0));
            shares.update_daemons(Time(0), (0..60).map(from));
            shares
        })
        .collect();
    // Per open call: the calling node, the granter asked, and until when the node waits.
    let mut asking: BTreeMap<u32, (usize, usize, u64)> = BTreeMap::new();
    let mut in_transit: Vec<(u64, Transit)> = Vec::new();
    let mut arrived = Vec::new();
    let (mut number, mut silent_until) = (0, [0, 0]);
    for now in 0..20_000_u64 {
        let mut sent = Vec::new();
        let delay = |random: &mut SmallRng| match random.random::<f64>() {
            chance if chance < 0.05 => now + random.random_range(50..600),
            _ => now + random.random_range(0..5),
        };
        let mut send = |random: &mut SmallRng, make: &dyn Fn() -> Transit| {
            let copies = match random.random::<f64>() {
                chance if chance < 0.05 => 0,
                chance if chance < 0.10 => 2,
                _ => 1,
            };
            (0..copies).for_each(|_| in_transit.push((delay(random), make())));
        };
        if random.random::<f64>() < 0.08 {
            number += 1;
            let (node, granter) = (random.random_range(0..60), random.random_range(0..2));
            asking.insert(number, (node, granter, now + 60));
            send(&mut random, &|| Transit::Ask(granter, number));
        }
        for granter in 0..2 {
            if random.random::<f64>() < failure_rate {
                granters[granter] = Granter::new(Time(now));
            }
            if random.random::<f64>() < failure_rate {
                silent_until[granter] = now + 2_000;
            }
        }
        let late: Vec<u32> =
            asking.iter().filter(|(_, ask)| ask.2 < now).map(|(ask, _)| *ask).collect();
        for ask in late {
            let Some((node, granter, _)) = asking.remove(&ask) else { continue };
            send(&mut random, &|| Transit::Ended(granter, ask, GrantEnd::Unsent));
            let share = &mut shares[node];
            if share.is_sharer(1, from(node as u16), bound().sharers()) && share.take(Time(now), 1)
            {
                let at = now + random.random_range(0..40);
                sent.push((at, Transit::Arrives(None)));
            }
        }
        let due: Vec<Transit> =
            in_transit.extract_if(.., |(at, _)| *at <= now).map(|(_, one)| one).collect();
        let mut orders = Vec::new();
        for one in due {
            match one {
                Transit::Ask(granter, _) | Transit::Ended(granter, ..)
                    if now < silent_until[granter] => {}
                Transit::Ask(granter, number) => {
                    let new =
                        granters[granter].ask(Time(now), from(1), ask(number, 0), &rule, RATE);
                    orders.extend(new);
                }
                Transit::Ended(granter, ask, end) => {
                    let ended = granters[granter].ended(Time(now), id(ask), end, &rule, &mut rate);
                    orders.extend(ended);
                }
                Transit::Answer(ask, GrantAnswer::Waits(_)) => {
                    asking.entry(ask).and_modify(|asking| asking.2 = now + 2_200);
                }
                Transit::Answer(ask, GrantAnswer::Refused(_)) => drop(asking.remove(&ask)),
                Transit::Answer(ask, GrantAnswer::Granted(_)) => {
                    if let Some((_, granter, _)) = asking.remove(&ask) {
                        let at = now + random.random_range(0..40);
                        in_transit.push((at, Transit::Arrives(Some((granter, ask)))));
                    }
                }
                Transit::Arrives(grant) => {
                    arrived.push(now);
                    if let Some((granter, ask)) = grant {
                        let at = now + random.random_range(20..300);
                        in_transit.push((at, Transit::Ended(granter, ask, GrantEnd::Begun(50))));
                    }
                }
            }
        }
        if now % 20 == 0 {
            granters.iter_mut().for_each(|one| orders.extend(one.tick(Time(now), &rule, RATE)));
        }
        for (id, answer) in orders {
            let copies = usize::from(random.random::<f64>() > 0.05);
            (0..copies).for_each(|_| {
                in_transit.push((delay(&mut random), Transit::Answer(id.call, answer)))
            });
        }
    }
    arrived
}

#[test]
fn cold_server_never_exceeds_its_arrival_bound() {
    for seed in 0..40 {
        let few_failures = seed % 4 == 0;
        let arrived = cold_arrivals(seed, if few_failures { 0.000_05 } else { 0.000_4 });
        let most = arrived
            .iter()
            .map(|at| arrived.iter().filter(|other| (*at..at + 1_000).contains(other)).count())
            .max();
        assert!(most.is_some_and(|most| most <= COLD_BOUND), "seed {seed}: {most:?}");
        assert!(
            arrived.len() > if few_failures { 100 } else { 20 },
            "seed {seed}: {}",
            arrived.len()
        );
    }
}

/// Guards against a granter and its stand-in exceeding the bound together. A granter on a busy
/// machine did not answer one of four daemons in time. That daemon asked the next granter for two
/// seconds while the others stayed with the first. A server that had turned cold unnoticed received
/// 11 requests from one and 8 from the other within a second, where 17 are allowed.
#[test]
fn granter_and_stand_in_together_stay_within_the_bound() {
    let count_granted = |rule: &ServerRule, first: u64| {
        let mut granter = Granter::new(Time(0));
        let orders = (0..40).map(|number| {
            granter.ask(Time(first + u64::from(number)), from(1), ask(number, 10), rule, RATE)
        });
        granted(&orders.flatten().collect::<Vec<_>>()).len()
    };
    let rule = |is_stand_in: bool| ServerRule {
        cold: Some(ColdRule { bound: bound(), cold: false, is_stand_in }),
        limit: None,
    };
    let others = 2 * bound().sharers();
    let (first, stand_in) = (count_granted(&rule(false), 5_000), count_granted(&rule(true), 5_000));
    assert!(first >= 10, "a warm server is not delayed: {first}");
    assert!(stand_in >= 1 && first + stand_in + others <= COLD_BOUND, "{first}, {stand_in}");
    let new = count_granted(&rule(false), 0);
    assert!(first + new + others <= COLD_BOUND, "{first}, and {new} from a new granter");
    let cold = ServerRule {
        cold: Some(ColdRule { bound: bound(), cold: true, is_stand_in: true }),
        limit: None,
    };
    assert_eq!(count_granted(&cold, 0), 0, "a new granter grants nothing to a cold server");
    let cold_stand_in = count_granted(&cold, 5_000);
    assert!(
        first + cold_stand_in + others <= COLD_BOUND,
        "{first}, and {cold_stand_in} from a stand-in that assumes a cold server"
    );
}
