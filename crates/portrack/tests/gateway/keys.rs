//! Tests of authentication by keys and of the proof of freshness.

use crate::support::ms;
use portrack::Time;
use portrack::gateway::{
    Credential, FleetConfig, FreshnessProof, KeyDigest, KeyFreshnessRules, Organisation,
    Organisations, RefusalReason, RevokedKeys, Route, RouteKind, authenticate,
};
use proptest::prelude::*;
use std::rc::Rc;

const REVOKED_WITHIN_MS: u64 = 5_000;
const IN_FORCE_WITHIN_MS: u64 = 3_000;

fn route(public: bool) -> Route {
    Route {
        name: "r".into(),
        host: "h".into(),
        prefix: "/".into(),
        kind: RouteKind::Once,
        timeout: ms(1_000),
        objective: ms(300),
        gap_objective: None,
        attempts: 1,
        priority: 2,
        targets: Vec::new(),
        resumable: false,
        public,
        allowed_regions: None,
    }
}

fn organisations(keys: &[(&str, &str)]) -> Organisations {
    let mut all = Organisations::default();
    for (name, key) in keys {
        let organisation = Organisation {
            name: (*name).into(),
            priority: None,
            quota: None,
            allowed_regions: None,
        };
        all.add(organisation, [KeyDigest::of(key)]);
    }
    all
}

struct Fixture {
    config: FleetConfig,
    revoked: RevokedKeys,
    proof: FreshnessProof,
}

impl Fixture {
    fn new() -> Self {
        let organisations = Some(organisations(&[("north", "key-n"), ("south", "key-s")]));
        let config = FleetConfig { version: 1, organisations, ..FleetConfig::default() };
        let proof = FreshnessProof::default();
        proof.renew(Time(1_000));
        Self { config, revoked: RevokedKeys::default(), proof }
    }

    fn ask(&self, now: u64, public: bool, credential: Credential) -> Result<String, RefusalReason> {
        let rules = KeyFreshnessRules::new(Some(ms(REVOKED_WITHIN_MS)), ms(IN_FORCE_WITHIN_MS));
        let (config, revoked, proof) = (&self.config, &self.revoked, &self.proof);
        let result =
            authenticate(Time(now), config, &route(public), credential, revoked, &rules, proof);
        let name = |organisation: Rc<Organisation>| organisation.name.to_string();
        result
            .map(|admitted| admitted.organisation.map(name).unwrap_or_default())
            .map_err(|refused| refused.reason)
    }
}

fn credential(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key))
}

#[test]
fn a_key_identifies_its_organisation() {
    let fixture = Fixture::new();
    assert_eq!(fixture.ask(1_100, false, credential("key-n")), Ok("north".into()));
    assert_eq!(fixture.ask(1_100, false, credential("key-s")), Ok("south".into()));
    assert_eq!(fixture.ask(1_100, false, credential("key-x")), Err(RefusalReason::UnknownKey));
    assert_eq!(fixture.ask(1_100, false, Credential::Missing), Err(RefusalReason::MissingKey));
    assert_eq!(fixture.ask(1_100, false, Credential::Multiple), Err(RefusalReason::MultipleKeys));
    assert_eq!(fixture.ask(1_100, false, Credential::Malformed), Err(RefusalReason::MalformedKey));
}

#[test]
fn public_routes_need_neither_key_nor_proof() {
    let fixture = Fixture::new();
    for now in [1_100, 100_000] {
        assert_eq!(fixture.ask(now, true, Credential::Missing), Ok(String::new()));
        assert!(fixture.ask(now, true, credential("key-n")).is_ok());
    }
}

#[test]
fn without_organisations_no_key_is_needed() {
    let fixture = Fixture { config: FleetConfig::default(), ..Fixture::new() };
    assert_eq!(fixture.ask(1_100, false, Credential::Missing), Ok(String::new()));
}

/// Guards against revoked keys that stay valid in a partition: a hall lost the store at 3 s, a key was
/// revoked at 4.071 s, and two nodes of the hall still ran requests with it at 9.6 s.
#[test]
fn no_key_is_accepted_with_proof_older_than_the_bound_less_the_margin() {
    let fixture = Fixture::new();
    assert_eq!(fixture.ask(5_000, false, credential("key-n")), Ok("north".into()));
    assert_eq!(fixture.ask(5_001, false, credential("key-n")), Err(RefusalReason::NoProof));
    assert_eq!(fixture.ask(5_001, false, credential("key-x")), Err(RefusalReason::NoProof));
}

#[test]
fn an_unknown_key_is_to_be_retried_if_the_proof_is_old() {
    let fixture = Fixture::new();
    assert_eq!(fixture.ask(4_000, false, credential("key-x")), Err(RefusalReason::UnknownKey));
    assert_eq!(fixture.ask(4_001, false, credential("key-x")), Err(RefusalReason::NoProof));
}

#[test]
fn revoked_and_unknown_keys_have_different_reasons() {
    let mut fixture = Fixture::new();
    let after = organisations(&[("north", "key-n")]);
    fixture.revoked.update(fixture.config.organisations.as_ref(), Some(&after));
    fixture.config.organisations = Some(after);
    assert_eq!(fixture.ask(1_100, false, credential("key-s")), Err(RefusalReason::RevokedKey));
    assert_eq!(fixture.ask(1_100, false, credential("key-x")), Err(RefusalReason::UnknownKey));
    let again = organisations(&[("south", "key-s")]);
    fixture.revoked.update(fixture.config.organisations.as_ref(), Some(&again));
    fixture.config.organisations = Some(again);
    assert_eq!(fixture.ask(1_100, false, credential("key-s")), Ok("south".into()));
}

#[test]
fn a_new_daemon_has_no_proof() {
    let fixture = Fixture { proof: FreshnessProof::default(), ..Fixture::new() };
    assert_eq!(fixture.ask(0, false, credential("key-n")), Err(RefusalReason::NoProof));
}

/// Guards against a new daemon that treats proof older than itself as being as old as itself: it
/// accepted keys based on a peer that had lost the store long before.
#[test]
fn proof_may_be_older_than_the_daemon_that_receives_it() {
    let fixture = Fixture { proof: FreshnessProof::default(), ..Fixture::new() };
    fixture.proof.renew_from_peer(Time(50), ms(5_000));
    assert_eq!(fixture.proof.age(Time(60)), Some(ms(5_010)));
    assert_eq!(fixture.ask(60, false, credential("key-n")), Err(RefusalReason::NoProof));
}

#[test]
fn a_digest_does_not_reveal_its_key_and_can_be_parsed() {
    let digest = KeyDigest::of("key-n");
    let text = digest.to_string();
    assert!(!text.contains("key"), "{text}");
    assert_eq!(KeyDigest::parse(&text), Some(digest));
    for invalid in ["", "key-n", &text[1..], &text.replace(&text[..1], "x")] {
        assert_eq!(KeyDigest::parse(invalid), None, "{invalid}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Proof is forwarded along a chain of daemons: each asks the previous one at some time, and gets the
    /// answer later. However late the answers are, the age that each daemon computes is never less than
    /// the time since the first daemon sent its request to the store.
    #[test]
    fn forwarded_proof_never_becomes_younger(
        delays in proptest::collection::vec((0_u64..2_000, 0_u64..2_000, 0_u64..20_000), 1..6),
        clocks in proptest::collection::vec(0_u64..1_000_000, 7),
    ) {
        let store_asked_at = 50_000_u64;
        let mut current_time = store_asked_at;
        let mut before = FreshnessProof::default();
        before.renew(Time(store_asked_at + clocks[0]));
        for (n, (asked_before, answered_after, arrives_after)) in delays.into_iter().enumerate() {
            let (clock, peer_clock) = (clocks[n + 1], clocks[n]);
            // The request may be sent before the peer has the proof that it answers with.
            let asked_at = (current_time + answered_after).saturating_sub(asked_before);
            let answered_at = current_time + answered_after;
            let age = before.age_for_peer(Time(answered_at + peer_clock)).expect("there is proof");
            let arrived_at = answered_at.max(asked_at) + arrives_after;
            let proof = FreshnessProof::default();
            proof.renew_from_peer(Time(asked_at + clock), ms(age.into()));
            let age_at_receiver = proof.age(Time(arrived_at + clock)).expect("there is proof");
            prop_assert!(age_at_receiver >= ms(arrived_at - store_asked_at));
            (before, current_time) = (proof, arrived_at);
        }
    }
}
