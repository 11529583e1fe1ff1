//! Tests of the retry budgets: one account, the lease of the slack, and fleets without sockets.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{
    RetryAccount, RetryBounds, SLACK_LEASE_TTL, SlackAccount, SlackHolder, SlackLease,
};
use proptest::prelude::*;

const WINDOW_MS: u64 = 10_000;
/// Start of all scenarios; the clock does not begin at zero.
const START: u64 = 1_000_000;

fn bounds(slack: f64) -> RetryBounds {
    RetryBounds { ratio: 0.2, slack, window: ms(WINDOW_MS) }
}

fn take_all(account: &mut RetryAccount, now: u64) -> usize {
    (0..1_000).filter(|_| account.try_take(Time(now)).is_some()).count()
}

#[test]
fn requests_earn_retries() {
    let mut account = RetryAccount::new(bounds(0.0));
    assert_eq!(take_all(&mut account, START), 0);
    (0..100).for_each(|_| account.record_request(Time(START)));
    let taken = take_all(&mut account, START + 5);
    assert!((8..=10).contains(&taken), "half of what they earn in the next window too: {taken}");
}

#[test]
fn a_retry_that_was_not_sent_is_given_back() {
    let mut account = RetryAccount::new(bounds(0.0));
    (0..50).for_each(|_| account.record_request(Time(START)));
    let slot = account.try_take(Time(START)).expect("requests have earned a retry");
    let left = take_all(&mut account, START);
    account.give_back(slot);
    assert_eq!(take_all(&mut account, START), 1, "{left} before");
}

#[test]
fn a_burst_of_requests_earns_its_retries_once() {
    let mut account = RetryAccount::new(bounds(0.0));
    (0..100).for_each(|_| account.record_request(Time(START)));
    let taken: usize =
        (0..40).map(|step| take_all(&mut account, START + step * 1_000)).sum::<usize>();
    assert!((8..=10).contains(&taken), "{taken}");
}

#[test]
fn no_window_of_the_slack_exceeds_it() {
    let mut slack = SlackAccount::new(bounds(50.0));
    let grants: Vec<u64> = (START..START + 60_000)
        .step_by(20)
        .filter(|now| slack.try_grant(Time(*now)).is_some())
        .collect();
    let within =
        |from: u64| grants.iter().filter(|at| (from..from + WINDOW_MS).contains(at)).count();
    assert_eq!(within(START), 45, "the part of it that is used");
    assert!(grants.iter().all(|from| within(*from) <= 50));
}

#[test]
fn windows_of_any_length_are_counted_in_full() {
    for window in [100_u64, 199, 1_990, 10_050] {
        let bounds = RetryBounds { ratio: 0.2, slack: 50.0, window: ms(window) };
        let mut slack = SlackAccount::new(bounds);
        let grants: Vec<u64> = (START..START + 5 * window)
            .filter(|now| slack.try_grant(Time(*now)).is_some())
            .collect();
        let within =
            |from: u64| grants.iter().filter(|at| (from..from + window).contains(at)).count();
        let most = grants.iter().map(|from| within(*from)).max().unwrap_or(0);
        assert!(most <= 50, "{most} in a window of {window} ms");
    }
}

#[test]
fn a_new_holder_of_the_slack_waits_for_the_grants_of_the_one_before() {
    let mut lease = SlackLease::new(bounds(50.0));
    lease.acquired(Time(START), 1, Time(START));
    let grants_from = (START..START + 60_000).step_by(100).find(|now| {
        lease.renewed(1, Time(*now));
        lease.may_grant(Time(*now))
    });
    let waited = grants_from.expect("it grants at some time") - START;
    assert!(waited >= WINDOW_MS + SLACK_LEASE_TTL.as_millis() as u64, "{waited}");
    assert!(waited <= WINDOW_MS + 4_500, "{waited}");
}

#[test]
fn grants_stop_before_the_lease_expires() {
    let mut lease = SlackLease::new(bounds(50.0));
    lease.acquired(Time(START), 1, Time(START));
    let sent = START + 20_000;
    lease.renewed(1, Time(sent));
    assert!(lease.may_grant(Time(sent + 2_000)));
    assert!(!lease.may_grant(Time(sent + SLACK_LEASE_TTL.as_millis() as u64)));
    lease.renewed(2, Time(sent + 5_000));
    assert!(!lease.may_grant(Time(sent + 5_000)), "the renewal of another lease");
}

#[test]
fn the_record_of_the_holder_is_read_as_written() {
    let holder = SlackHolder { address: "10.1.0.38:7380".parse().expect("an address") };
    assert_eq!(SlackHolder::read(&holder.bytes()), Some(holder));
    assert_eq!(SlackHolder::read(b"\xff\xff"), None);
}

/// The store's record of the holder: its node and life, and when its lease ends.
type StoredHolder = Option<(usize, u32, u64)>;

/// A daemon of the model.
struct Node {
    life: u32,
    up: bool,
    cut_off: bool,
    account: RetryAccount,
    slack: SlackAccount,
    lease: SlackLease,
    renewed_at: u64,
}

/// Daemons, the store's lease, and what reaches the servers.
struct Fleet {
    bounds: RetryBounds,
    nodes: Vec<Node>,
    holder: StoredHolder,
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Fleet {
    fn new(nodes: usize, slack: f64) -> Self {
        let bounds = bounds(slack);
        let nodes = (0..nodes).map(|_| Self::node(bounds, 0)).collect();
        Self { bounds, nodes, holder: None, requests: Vec::new(), retries: Vec::new() }
    }

    fn node(bounds: RetryBounds, life: u32) -> Node {
        Node {
            life,
            up: true,
            cut_off: false,
            account: RetryAccount::new(bounds),
            slack: SlackAccount::new(bounds),
            lease: SlackLease::new(bounds),
            renewed_at: 0,
        }
    }

    fn restart(&mut self, n: usize) {
        self.nodes[n] = Self::node(self.bounds, self.nodes[n].life + 1);
    }

    /// The store ends leases, and nodes that reach it renew theirs or take a free one.
    fn tick_leases(&mut self, now: u64) {
        let ttl = SLACK_LEASE_TTL.as_millis() as u64;
        self.holder = self.holder.filter(|(_, _, until)| now < *until);
        for (n, node) in self.nodes.iter_mut().enumerate() {
            if !node.up || node.cut_off || now < node.renewed_at + 1_000 {
                continue;
            }
            let is_mine =
                self.holder.is_some_and(|(holder, life, _)| holder == n && life == node.life);
            if node.lease.id().is_some() && !is_mine {
                node.lease.lost();
            }
            if self.holder.is_none() {
                node.lease.acquired(Time(now), now, Time(now));
            } else if is_mine {
                node.lease.renewed(node.lease.id().unwrap_or_default(), Time(now));
            } else {
                continue;
            }
            node.renewed_at = now;
            self.holder = Some((n, node.life, now + ttl));
        }
    }

    fn request(&mut self, n: usize, now: u64) {
        self.requests.push(now);
        if self.nodes[n].up {
            self.nodes[n].account.record_request(Time(now));
        }
    }

    /// A retry at a node: earned, or granted by a holder that the node reaches.
    fn retry(&mut self, n: usize, now: u64) {
        if !self.nodes[n].up {
            return;
        }
        let earned = self.nodes[n].account.try_take(Time(now)).is_some();
        // A node that is cut off asks itself only; others ask whoever believes to hold the lease.
        let cut_off = self.nodes[n].cut_off;
        let reaches =
            |other: usize, node: &Node| other == n || (node.up && !cut_off && !node.cut_off);
        let granted = earned
            || self.nodes.iter_mut().enumerate().any(|(other, node)| {
                reaches(other, node)
                    && node.lease.may_grant(Time(now))
                    && node.slack.try_grant(Time(now)).is_some()
            });
        if granted {
            self.retries.push(now);
        }
    }

    /// Retries and allowed retries of the window that exceeds the users' bound most, or comes closest.
    fn worst_window(&self) -> (usize, f64) {
        let count = |times: &[u64], from: u64| {
            times.partition_point(|at| *at < from + WINDOW_MS)
                - times.partition_point(|at| *at < from)
        };
        let windows = self.retries.iter().map(|from| {
            let starts = [*from, from - WINDOW_MS / 2, from - WINDOW_MS];
            let most = starts.iter().map(|start| count(&self.requests, *start)).max().unwrap_or(0);
            let allowed = self.bounds.ratio * most as f64 + self.bounds.slack;
            (count(&self.retries, *from), allowed)
        });
        let excess = |window: &(usize, f64)| window.0 as f64 - window.1;
        windows.max_by(|a, b| excess(a).total_cmp(&excess(b))).unwrap_or((0, 0.0))
    }
}

/// A fault at a node, and whether the whole fleet suffers it.
#[derive(Debug, Clone)]
enum Fault {
    Restart { node: usize, all: bool },
    Down { node: usize },
    Cut { node: usize, half: bool },
    Heal,
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0..6_usize, any::<bool>()).prop_map(|(node, all)| Fault::Restart { node, all }),
        (0..6_usize).prop_map(|node| Fault::Down { node }),
        (0..6_usize, any::<bool>()).prop_map(|(node, half)| Fault::Cut { node, half }),
        Just(Fault::Heal),
    ]
}

impl Fleet {
    fn apply(&mut self, fault: &Fault) {
        let all = self.nodes.len();
        match fault {
            Fault::Restart { node, all: false } => self.restart(*node),
            Fault::Restart { all: true, .. } => (0..all).for_each(|n| self.restart(n)),
            Fault::Down { node } => self.nodes[*node].up = false,
            Fault::Cut { node, half: false } => self.nodes[*node].cut_off = true,
            Fault::Cut { half: true, .. } => {
                self.nodes.iter_mut().step_by(2).for_each(|node| node.cut_off = true);
            }
            Fault::Heal => {
                (0..all)
                    .filter(|n| !self.nodes[*n].up)
                    .collect::<Vec<_>>()
                    .into_iter()
                    .for_each(|n| self.restart(n));
                self.nodes.iter_mut().for_each(|node| node.cut_off = false);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Every request fails, and each is to be repeated twice.
    #[test]
    fn no_window_of_the_fleet_exceeds_the_budget_whatever_restarts_or_is_cut_off(
        faults in prop::collection::vec((fault(), 10_u64..4_000), 1..24),
        slack in 0_u64..80,
        phases in prop::collection::vec(0_u64..60, 12),
    ) {
        let mut fleet = Fleet::new(6, slack as f64);
        let mut now = START;
        let mut next = faults.iter();
        let mut due = START + 15_000;
        for step in 0..4_000_u64 {
            now += 10;
            fleet.tick_leases(now);
            if now >= due && let Some((fault, pause)) = next.next() {
                fleet.apply(fault);
                due = now + pause;
            }
            let phase = (now - START) / 3_400 % 12;
            let node = (step % 6) as usize;
            if step * 7 % 60 < phases[phase as usize] {
                fleet.request(node, now);
                fleet.retry(node, now + 3);
                fleet.retry(node, now + 5);
            }
        }
        let (retries, allowed) = fleet.worst_window();
        prop_assert!(retries as f64 <= allowed, "{retries} retries, {allowed} allowed");
    }
}

/// Share of the budget that a calm fleet uses on average if all requests fail.
fn used_share(nodes: usize, slack: f64, requests_per_s: u64) -> f64 {
    let mut fleet = Fleet::new(nodes, slack);
    let gap = 1_000_000 / requests_per_s;
    for n in 0..100 * requests_per_s {
        let now = START + n * gap / 1_000;
        fleet.tick_leases(now);
        let node = (n.wrapping_mul(2_654_435_761) % nodes as u64) as usize;
        fleet.request(node, now);
        fleet.retry(node, now);
    }
    let (from, until) = (START + 25_000, START + 100_000);
    let used = fleet.retries.iter().filter(|at| (from..until).contains(at)).count();
    let windows = (until - from) as f64 / WINDOW_MS as f64;
    used as f64 / windows / (0.2 * (requests_per_s * 10) as f64 + slack)
}

#[test]
fn a_calm_fleet_uses_most_of_its_budget_at_any_size() {
    for (nodes, slack, requests_per_s) in
        [(6, 52.0, 110), (6, 52.0, 20), (75, 190.0, 360), (360, 500.0, 2_000)]
    {
        let used = used_share(nodes, slack, requests_per_s);
        println!("{nodes} nodes, {requests_per_s} requests a second: {used:.3} used");
        assert!((0.75..=1.0).contains(&used), "{nodes} nodes: {used:.3} used");
    }
}
