//! Tests of the keepers of idempotency keys.

use portrack::once::{Keeper, KeeperOutput};
use portrack::types::{Instance, NodeName, ReservationId, Time};
use portrack::wire::{KeyClaim, KeyReply, KeyVerdict};
use std::time::Duration;

const WINDOW: Duration = Duration::from_secs(8);
/// A time by which a keeper that started at zero has covered a whole window plus the time in which a
/// key may still be used, so that its memory is trusted.
const TRUSTED: Time = Time(20_000);

fn node(name: &str) -> NodeName {
    name.parse().unwrap()
}

/// A keeper among `nodes` of hall a whose member list was updated every second until [`TRUSTED`].
fn keeper(me: &str, nodes: &[&str]) -> Keeper {
    let mut keeper = Keeper::new(node(me), WINDOW);
    let all: Vec<NodeName> = nodes.iter().map(|name| node(name)).collect();
    for second in 0..=20 {
        let halls = [("a".parse().unwrap(), all.clone())].into();
        keeper.members(Time(second * 1_000), halls);
    }
    keeper
}

fn claim(key: u128, request: u128) -> KeyClaim {
    let entry = Instance { node: node("e"), incarnation: 1 };
    KeyClaim { key, request: ReservationId(request), entry }
}

fn reply(key: u128, request: u128, verdict: KeyVerdict) -> KeyReply {
    KeyReply { key, request: ReservationId(request), verdict }
}

/// A key whose first keeper is `me`.
fn own_key(keeper: &Keeper, me: &str) -> u128 {
    (0..).find(|key| keeper.keepers(*key).0 == Some(node(me))).unwrap()
}

fn verdicts(outputs: &[KeeperOutput]) -> Vec<KeyVerdict> {
    let replies = outputs.iter().filter_map(|output| match output {
        KeeperOutput::Reply(_, reply) => Some(reply.verdict),
        _ => None,
    });
    replies.collect()
}

#[test]
fn a_claim_is_confirmed_only_after_the_second_keeper_has_copied_it() {
    let mut first = keeper("n1", &["n1", "n2"]);
    let key = own_key(&first, "n1");
    let outputs = first.claim(TRUSTED, claim(key, 1));
    assert_eq!(outputs, [KeeperOutput::Copy(node("n2"), claim(key, 1))]);
    let outputs = first.copied(reply(key, 1, KeyVerdict::Yours));
    assert_eq!(verdicts(&outputs), [KeyVerdict::Yours]);
    assert_eq!(verdicts(&first.claim(TRUSTED, claim(key, 2))), [KeyVerdict::Taken]);
}

#[test]
fn a_claim_refused_as_taken_is_refused_again_when_repeated() {
    let mut first = keeper("n1", &["n1", "n2"]);
    let key = own_key(&first, "n1");
    first.claim(TRUSTED, claim(key, 1));
    let outputs = first.copied(reply(key, 1, KeyVerdict::Taken));
    assert_eq!(verdicts(&outputs), [KeyVerdict::Taken]);
    assert_eq!(verdicts(&first.claim(TRUSTED, claim(key, 1))), [KeyVerdict::Taken]);
}

#[test]
fn a_released_key_can_be_claimed_again() {
    let mut first = keeper("n1", &["n1", "n2"]);
    let key = own_key(&first, "n1");
    first.claim(TRUSTED, claim(key, 1));
    first.copied(reply(key, 1, KeyVerdict::Yours));
    first.free(&claim(key, 1));
    let outputs = first.claim(TRUSTED, claim(key, 2));
    assert_eq!(outputs, [KeeperOutput::Copy(node("n2"), claim(key, 2))]);
}

#[test]
fn a_key_cannot_be_released_by_another_request() {
    let mut first = keeper("n1", &["n1", "n2"]);
    let key = own_key(&first, "n1");
    first.claim(TRUSTED, claim(key, 1));
    first.copied(reply(key, 1, KeyVerdict::Yours));
    first.free(&claim(key, 2));
    assert_eq!(verdicts(&first.claim(TRUSTED, claim(key, 2))), [KeyVerdict::Taken]);
}

#[test]
fn two_new_keepers_do_not_confirm_a_claim() {
    let mut first = Keeper::new(node("n1"), WINDOW);
    let halls = [("a".parse().unwrap(), vec![node("n1"), node("n2")])].into();
    first.members(Time(0), halls);
    let key = own_key(&first, "n1");
    first.claim(Time(10), claim(key, 1));
    let outputs = first.copied(reply(key, 1, KeyVerdict::Untrusted));
    assert_eq!(verdicts(&outputs), [KeyVerdict::Untrusted]);
}

#[test]
fn a_key_is_kept_for_its_window_and_then_removed() {
    let mut first = keeper("n1", &["n1", "n2"]);
    let key = own_key(&first, "n1");
    first.claim(TRUSTED, claim(key, 1));
    first.copied(reply(key, 1, KeyVerdict::Yours));
    first.tick(TRUSTED + WINDOW);
    assert_eq!(first.len(), 1);
    first.tick(TRUSTED + WINDOW + portrack::once::USE_WITHIN);
    assert!(first.is_empty());
}

#[test]
fn keys_of_an_unreachable_hall_are_not_reassigned() {
    let mut here = Keeper::new(node("n1"), WINDOW);
    let both = |away: Vec<NodeName>| {
        [("a".parse().unwrap(), vec![node("n1")]), ("b".parse().unwrap(), away)].into()
    };
    here.members(Time(0), both(vec![node("m1")]));
    let key = own_key(&here, "m1");
    here.members(Time(1_000), both(Vec::new()));
    assert_eq!(here.keepers(key), (None, None));
}

#[test]
fn a_keeper_that_missed_updates_does_not_trust_its_memory() {
    let mut first = keeper("n1", &["n1", "n2"]);
    let key = own_key(&first, "n1");
    let resumed = Time(TRUSTED.0 + 10_000);
    let halls = [("a".parse().unwrap(), vec![node("n1"), node("n2")])].into();
    first.members(resumed, halls);
    first.claim(resumed, claim(key, 1));
    let outputs = first.copied(reply(key, 1, KeyVerdict::Untrusted));
    assert_eq!(verdicts(&outputs), [KeyVerdict::Untrusted]);
}

#[test]
fn a_trusted_keeper_confirms_a_claim_beside_a_new_one() {
    let mut first = keeper("n1", &["n1", "n2"]);
    let key = own_key(&first, "n1");
    first.claim(TRUSTED, claim(key, 1));
    let outputs = first.copied(reply(key, 1, KeyVerdict::Untrusted));
    assert_eq!(verdicts(&outputs), [KeyVerdict::Yours]);
}
