//! Tests of what a node believes about its links to the servers.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{LinkFailure, PeerResult, Reachability, ServerLinks};
use proptest::prelude::*;
use std::rc::Rc;
use std::time::Duration;

/// Time from which callers of a node without links are to be served.
const CONTACT: Duration = Duration::from_millis(3_000);
/// Within this time, a server that is back must be probed.
const PROBED_WITHIN: Duration = Duration::from_millis(1_000);
const SERVERS: usize = 6;

fn server(n: usize) -> Rc<str> {
    format!("i-{n}").into()
}

/// An event at one node.
#[derive(Debug, Clone)]
enum Event {
    Reached(usize),
    Failed(usize, bool),
    PeerResult(usize, bool),
    Contact,
    Pause(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        2 => (0..SERVERS).prop_map(Event::Reached),
        3 => (0..SERVERS, any::<bool>()).prop_map(|(at, refused)| Event::Failed(at, refused)),
        2 => (0..SERVERS, any::<bool>()).prop_map(|(at, reached)| Event::PeerResult(at, reached)),
        1 => Just(Event::Contact),
        3 => (1_u64..900).prop_map(Event::Pause),
    ]
}

/// The outcomes of one server's attempts, kept in full.
#[derive(Debug, Clone, Default)]
struct ServerHistory {
    failing_since: Option<Time>,
    peer_failed_at: Option<Time>,
}

proptest! {
    /// Whatever happens in whatever order: a server is given up only on the word of another daemon, given
    /// after this node's own failure and lately; one that was reached last is connected to directly unless the
    /// node is cut off; and contact with any server ends that.
    #[test]
    fn no_server_is_given_up_on_one_nodes_word(events in prop::collection::vec(event(), 1..120)) {
        let links = ServerLinks::default();
        let mut known: Vec<ServerHistory> = vec![ServerHistory::default(); SERVERS];
        let (mut now, mut contact_at) = (Time(10_000), None);
        for event in events {
            match event {
                Event::Reached(at) => {
                    let was_cut_off = links.is_cut_off();
                    links.reached(now, &server(at));
                    known[at] = ServerHistory::default();
                    if was_cut_off {
                        let failed_since = |server: &ServerHistory| server.failing_since > contact_at;
                        known.iter_mut().filter(|server| failed_since(server)).for_each(|server| {
                            *server = ServerHistory::default();
                        });
                    }
                    contact_at = Some(now);
                }
                Event::Failed(at, refused) => {
                    let failure = if refused { LinkFailure::Refused } else { LinkFailure::TimedOut };
                    links.failed(now, &server(at), failure);
                    known[at].failing_since.get_or_insert(now);
                }
                Event::PeerResult(at, reached) => {
                    let result = if reached { PeerResult::Reached } else { PeerResult::Failed };
                    links.on_peer_result(now, &server(at), result);
                    let own = known[at].failing_since.is_some();
                    known[at].peer_failed_at = (own && !reached).then_some(now);
                }
                Event::Contact => {
                    links.contact().set(Some(now));
                    contact_at = Some(now);
                }
                Event::Pause(millis) => now = now + ms(millis),
            }
            for (at, history) in known.iter().enumerate() {
                match links.reachability(now, &server(at)) {
                    Reachability::Unreachable => {
                        prop_assert!(history.failing_since.is_some());
                        let told = history.peer_failed_at;
                        prop_assert!(told.is_some_and(|told| now.since(told) < ms(700)));
                    }
                    Reachability::Tunnel => {
                        prop_assert!(history.failing_since.is_some() || links.is_cut_off());
                    }
                    Reachability::Direct => prop_assert!(history.failing_since.is_none()),
                }
            }
        }
    }
}

#[test]
fn a_node_that_reaches_no_server_is_cut_off_until_it_hears_one() {
    let links = ServerLinks::default();
    for n in 0..SERVERS {
        links.reached(Time(1_000), &server(n));
    }
    links.failed(Time(1_250), &server(0), LinkFailure::TimedOut);
    assert!(!links.is_cut_off(), "one server may be down");
    assert_eq!(links.reachability(Time(1_250), &server(1)), Reachability::Direct);
    links.failed(Time(1_300), &server(1), LinkFailure::TimedOut);
    assert!(links.is_cut_off());
    assert_eq!(links.reachability(Time(1_300), &server(2)), Reachability::Tunnel);
    links.contact().set(Some(Time(1_400)));
    assert!(!links.is_cut_off(), "bytes arrive on an open connection");
    assert_eq!(links.reachability(Time(1_400), &server(2)), Reachability::Direct);
    assert_eq!(links.reachability(Time(1_400), &server(0)), Reachability::Tunnel);
}

#[test]
fn two_failing_servers_do_not_cut_off_a_node_that_hears_others() {
    let links = ServerLinks::default();
    for at in (0..5_000).step_by(100) {
        links.contact().set(Some(Time(at + 50)));
        links.failed(Time(at), &server(0), LinkFailure::TimedOut);
        links.failed(Time(at), &server(1), LinkFailure::Refused);
        assert!(!links.is_cut_off());
    }
}

#[test]
fn a_node_that_has_reached_no_server_yet_is_not_cut_off() {
    let links = ServerLinks::default();
    assert!(!links.is_cut_off());
    assert_eq!(links.reachability(Time(0), &server(0)), Reachability::Direct);
}

/// Simulates a node whose links all hang from 2 s to 14 s, with few requests: the probes alone must notice
/// the partition within the contact time, and its end within a second.
#[test]
fn a_partition_and_its_end_are_noticed_in_time() {
    let links = ServerLinks::default();
    for n in 0..SERVERS {
        links.reached(Time(1_000), &server(n));
    }
    let (from, until) = (Time(2_000), Time(14_000));
    let mut pending: Vec<(Time, Rc<str>)> = Vec::new();
    for at in (1_000..16_000).step_by(100) {
        let now = Time(at);
        let up = now < from || now >= until;
        if up {
            links.contact().set(Some(now));
        }
        for (_, id) in pending.extract_if(.., |(due, _)| *due <= now) {
            match up {
                true => links.reached(now, &id),
                false => links.failed(now, &id, LinkFailure::TimedOut),
            };
        }
        for id in links.due_probes(now, true) {
            let takes = if up { ms(10) } else { ms(250) };
            pending.push((now + takes, id));
        }
        if now >= from + CONTACT && now < until {
            assert!(links.is_cut_off(), "at {at} ms");
        }
        if now < from || now >= until + PROBED_WITHIN {
            assert!(!links.is_cut_off(), "at {at} ms");
        }
        if now >= until + PROBED_WITHIN {
            for n in 0..SERVERS {
                assert_eq!(links.reachability(now, &server(n)), Reachability::Direct, "at {at} ms");
            }
        }
    }
}

/// Probes must not load the servers of a large fleet, also while the node reaches none of them.
#[test]
fn probes_are_few_however_many_servers_are_out_of_reach() {
    let links = ServerLinks::default();
    for n in 0..1_500 {
        links.failed(Time(0), &server(n), LinkFailure::TimedOut);
    }
    let probes: usize =
        (0..10_000).step_by(100).map(|at| links.due_probes(Time(at), true).len()).sum();
    assert!(probes <= 600, "{probes} probes in 10 s");
}

/// A claim is given up only for a link that is this node's own trouble: if nobody reaches the server, another
/// holder could not order it either.
#[test]
fn a_server_that_nobody_reaches_is_not_this_nodes_own_trouble() {
    let links = ServerLinks::default();
    let (silent, id) = (ms(1_500), server(0));
    links.reached(Time(1_000), &id);
    links.failed(Time(2_000), &id, LinkFailure::TimedOut);
    links.on_peer_result(Time(2_100), &id, PeerResult::Failed);
    assert!(!links.is_only_mine(Time(9_000), &id, silent));
    links.on_peer_result(Time(2_200), &id, PeerResult::Reached);
    assert!(
        !links.is_only_mine(Time(3_400), &id, silent),
        "a sound server may be silent for a second"
    );
    assert!(links.is_only_mine(Time(3_500), &id, silent));
    links.reached(Time(3_600), &id);
    assert!(!links.is_only_mine(Time(3_600), &id, silent));
}

/// Interval at which a node looks which servers to probe.
const CHECK: u64 = 100;
/// Time after the last attempt to reach a server that is gone within which a node uses the others again.
const BACK_WITHIN: u64 = 1_000;

/// What a node does at each check, with these servers listed and all of them within reach.
fn check(links: &ServerLinks, now: Time, listed: &[Rc<str>]) {
    links.forget_unused(|server| listed.iter().any(|known| &**known == server));
    if links.is_cut_off() {
        links.add_untried(listed.iter());
    }
    for server in links.due_probes(now, false) {
        if listed.contains(&server) {
            links.reached(now, &server);
        }
    }
    links.sweep(now);
}

#[test]
fn links_of_servers_that_are_gone_cut_a_node_off_for_good() {
    let links = ServerLinks::default();
    for n in 0..3 {
        links.reached(Time(1_000), &server(n));
        links.forget(&server(n));
    }
    for n in 0..3 {
        // An attempt that was under way when the server went.
        links.failed(Time(1_200), &server(n), LinkFailure::TimedOut);
    }
    assert!(links.is_cut_off());
    let others = [server(3), server(4)];
    for at in (1_300..1_200 + BACK_WITHIN).step_by(CHECK as usize) {
        check(&links, Time(at), &others);
    }
    assert!(!links.is_cut_off());
    assert_eq!(links.reachability(Time(1_200 + BACK_WITHIN), &others[0]), Reachability::Direct);
}

/// A node has tried servers that are listed, all of which then end, while others that it never tried come.
#[test]
fn a_node_that_is_cut_off_never_tries_servers_that_it_does_not_know() {
    let links = ServerLinks::default();
    for n in 0..2 {
        links.failed(Time(1_000), &server(n), LinkFailure::Refused);
    }
    let listed: Vec<Rc<str>> = (0..4).map(server).collect();
    let tried = (1_000..3_000).step_by(CHECK as usize).flat_map(|at| {
        links.forget_unused(|server| listed.iter().any(|known| &**known == server));
        links.add_untried(listed.iter());
        links.due_probes(Time(at), false)
    });
    assert!(tried.collect::<Vec<_>>().contains(&server(3)));
}

proptest! {
    /// Servers come, go, and are tried once more after they have gone, in any order: while some listed server can be
    /// reached, no node takes itself for cut off for long.
    #[test]
    fn a_node_before_reachable_servers_stays_cut_off(
        steps in prop::collection::vec((0..SERVERS, any::<bool>(), 0_u64..400), 1..80),
    ) {
        let links = ServerLinks::default();
        let mut listed: Vec<Rc<str>> = vec![server(SERVERS)];
        let (mut now, mut next_check) = (1_000, 1_000);
        let mut cut_off_since: Option<u64> = None;
        for (at, is_listed, pause) in steps {
            let id = server(at);
            links.forget(&id);
            listed.retain(|known| *known != id);
            if is_listed {
                listed.push(id);
            } else {
                links.failed(Time(now), &id, LinkFailure::TimedOut);
            }
            now += pause;
            while next_check <= now {
                check(&links, Time(next_check), &listed);
                next_check += CHECK;
            }
            match links.is_cut_off() {
                true => { cut_off_since.get_or_insert(now); }
                false => cut_off_since = None,
            }
            prop_assert!(cut_off_since.is_none_or(|since| now - since < BACK_WITHIN), "at {now}");
        }
    }
}
