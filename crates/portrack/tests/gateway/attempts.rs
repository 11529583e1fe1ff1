//! When further peers are asked for an update, and which large reply is received.

use portrack::gateway::{CatchUpAttempts, LARGE_REPLY_BYTES, MAX_ATTEMPTS, SyncTimings};
use portrack::types::Time;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A first response is expected after a tenth of this bound, 200 ms.
const BOUND: Duration = Duration::from_millis(2_000);
const LARGE: u32 = 10 * LARGE_REPLY_BYTES;

fn timings() -> SyncTimings {
    SyncTimings::new(BOUND)
}

fn peers(count: u16) -> Vec<SocketAddr> {
    (1..=count).map(|port| SocketAddr::from(([127, 0, 0, 1], port))).collect()
}

/// Asks whom it is time to ask, and returns the peers asked.
fn ask(attempts: &mut CatchUpAttempts, now: u64, candidates: &[SocketAddr]) -> Vec<SocketAddr> {
    let asked = attempts.peers_to_ask(Time(now), timings(), candidates);
    for peer in &asked {
        attempts.start(Time(now), *peer);
    }
    asked
}

/// Guards against peers that are given up because their replies begin late: others are asked beside them.
#[test]
fn further_peers_are_asked_while_earlier_attempts_go_on() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(8));
    assert_eq!(ask(&mut attempts, 0, &peers), peers[..3]);
    assert!(ask(&mut attempts, 190, &peers).is_empty());
    assert_eq!(ask(&mut attempts, 200, &peers), peers[3..6]);
    assert!(ask(&mut attempts, 590, &peers).is_empty());
    assert_eq!(ask(&mut attempts, 600, &peers)[..2], peers[6..]);
}

/// Guards against attempts that make room for others before any reply can begin, where all begin late and there are
/// many peers.
#[test]
fn an_attempt_has_seconds_to_begin_however_many_peers_there_are() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(200));
    let mut started_at = BTreeMap::new();
    let mut shortest = u64::MAX;
    for now in (0..30_000).step_by(50) {
        for peer in attempts.peers_to_ask(Time(now), timings(), &peers[started_at.len()..]) {
            let (id, replaced) = attempts.start(Time(now), peer);
            started_at.insert(id, now);
            let lived = replaced.map(|replaced| now - started_at[&replaced.id]);
            shortest = shortest.min(lived.unwrap_or(u64::MAX));
        }
    }
    assert!((2_500..30_000).contains(&shortest), "{shortest} ms");
}

/// Guards against a request that is lost on the way and waited for, where there is no other peer.
#[test]
fn the_only_peer_is_asked_again_at_growing_intervals() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(1));
    let asked_at: Vec<u64> = (0..10_000)
        .step_by(50)
        .filter(|now| !ask(&mut attempts, *now, &peers).is_empty())
        .collect();
    assert_eq!(asked_at, [0, 400, 1_200, 2_800, 6_000]);
}

/// Guards against the same reply being asked for again while it arrives.
#[test]
fn a_peer_whose_reply_arrives_is_not_asked_again() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(1));
    let (id, _) = attempts.start(Time(0), peers[0]);
    attempts.begun(Time(100), id, LARGE);
    for now in (200..60_000).step_by(100) {
        attempts.received(Time(now), id, 100);
        assert!(ask(&mut attempts, now, &peers).is_empty(), "{now}");
    }
    attempts.finish(id);
    assert_eq!(ask(&mut attempts, 60_000, &peers), peers);
}

/// Guards against a wait for the rest of a reply that was lost midway, where there is no other peer.
#[test]
fn the_only_peer_is_asked_again_soon_after_its_reply_has_stopped() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(1));
    let (id, _) = attempts.start(Time(0), peers[0]);
    attempts.begun(Time(100), id, LARGE);
    attempts.received(Time(3_000), id, 100);
    assert!(ask(&mut attempts, 3_300, &peers).is_empty());
    assert_eq!(ask(&mut attempts, 3_500, &peers), peers);
}

/// Guards against a link that is filled with replies of which one is enough.
#[test]
fn nobody_else_is_asked_while_a_large_reply_arrives_fast_enough() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(8));
    let (id, _) = attempts.start(Time(0), peers[0]);
    attempts.begun(Time(100), id, LARGE);
    attempts.received(Time(100), id, 0);
    for now in (200..=1_000).step_by(100) {
        attempts.received(Time(now), id, LARGE as usize / 10);
        assert!(ask(&mut attempts, now, &peers).is_empty(), "{now}");
    }
}

/// Guards against one reply that dribbles and keeps out all others.
#[test]
fn a_reply_that_dribbles_or_stops_keeps_nobody_out() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(8));
    let (slow, _) = attempts.start(Time(0), peers[0]);
    attempts.begun(Time(100), slow, LARGE);
    attempts.received(Time(100), slow, 0);
    let (other, _) = attempts.start(Time(150), peers[1]);
    attempts.received(Time(300), slow, 4_096);
    assert!(!attempts.is_on_course(Time(300), timings(), Some(other)));
    attempts.received(Time(301), slow, LARGE as usize / 2);
    assert!(attempts.is_on_course(Time(301), timings(), Some(other)));
    assert!(!attempts.is_on_course(Time(301), timings(), Some(slow)));
    assert!(!attempts.is_on_course(Time(1_500), timings(), Some(other)));
    assert_eq!(ask(&mut attempts, 1_500, &peers), peers[2..5]);
}

/// Guards against two replies that wait for each other.
#[test]
fn a_reply_that_is_not_read_yet_is_not_waited_for() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(2));
    let (first, _) = attempts.start(Time(0), peers[0]);
    let (second, _) = attempts.start(Time(0), peers[1]);
    attempts.begun(Time(100), first, LARGE);
    attempts.begun(Time(100), second, LARGE);
    assert!(!attempts.is_on_course(Time(100), timings(), Some(first)));
    assert!(!attempts.is_on_course(Time(100), timings(), Some(second)));
}

/// Guards against attempts that pile up, and against ending one that has made progress instead of a silent one.
#[test]
fn an_attempt_beyond_the_limit_replaces_the_one_that_is_silent_for_longest() {
    let (mut attempts, peers) = (CatchUpAttempts::default(), peers(MAX_ATTEMPTS as u16 + 1));
    let ids: Vec<_> =
        (0..MAX_ATTEMPTS).map(|n| attempts.start(Time(n as u64), peers[n]).0).collect();
    attempts.begun(Time(100), ids[0], LARGE);
    let (_, replaced) = attempts.start(Time(200), peers[MAX_ATTEMPTS]);
    assert_eq!(replaced.map(|attempt| attempt.id), Some(ids[1]));
    assert!(attempts.finish(ids[1]).is_none());
    assert!(attempts.finish(ids[0]).is_some());
}
