//! Whose request it is, and when that may be believed.

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

struct World {
    config: FleetConfig,
    revoked: RevokedKeys,
    proof: FreshnessProof,
}

impl World {
    fn new() -> Self {
        let organisations = Some(organisations(&[("north", "key-n"), ("south", "key-s")]));
        let config = FleetConfig { version: 1, organisations, ..FleetConfig::default() };
        let proof = FreshnessProof::default();
        proof.renew(Time(1_000));
        Self { config, revoked: RevokedKeys::default(), proof }
    }

    fn ask(&self, now: u64, public: bool, shown: Credential) -> Result<String, RefusalReason> {
        let rules = KeyFreshnessRules::new(Some(ms(REVOKED_WITHIN_MS)), ms(IN_FORCE_WITHIN_MS));
        let (config, revoked, proof) = (&self.config, &self.revoked, &self.proof);
        let asked = authenticate(Time(now), config, &route(public), shown, revoked, &rules, proof);
        let name = |organisation: Rc<Organisation>| organisation.name.to_string();
        asked
            .map(|admitted| admitted.organisation.map(name).unwrap_or_default())
            .map_err(|refused| refused.reason)
    }
}

fn shown(key: &str) -> Credential {
    Credential::Key(KeyDigest::of(key))
}

#[test]
fn a_key_opens_the_routes_for_its_organisation_only() {
    let world = World::new();
    assert_eq!(world.ask(1_100, false, shown("key-n")), Ok("north".into()));
    assert_eq!(world.ask(1_100, false, shown("key-s")), Ok("south".into()));
    assert_eq!(world.ask(1_100, false, shown("key-x")), Err(RefusalReason::UnknownKey));
    assert_eq!(world.ask(1_100, false, Credential::Missing), Err(RefusalReason::MissingKey));
    assert_eq!(world.ask(1_100, false, Credential::Multiple), Err(RefusalReason::MultipleKeys));
    assert_eq!(world.ask(1_100, false, Credential::Malformed), Err(RefusalReason::MalformedKey));
}

#[test]
fn public_routes_ask_for_no_key_and_go_on_without_proof() {
    let world = World::new();
    for now in [1_100, 100_000] {
        assert_eq!(world.ask(now, true, Credential::Missing), Ok(String::new()));
        assert!(world.ask(now, true, shown("key-n")).is_ok());
    }
}

#[test]
fn without_organisations_nobody_needs_a_key() {
    let world = World { config: FleetConfig::default(), ..World::new() };
    assert_eq!(world.ask(1_100, false, Credential::Missing), Ok(String::new()));
}

/// A hall was cut off from the store at 3 s; a key was taken away at 4.071 s, and two nodes of the
/// hall still ran requests with it at 9.6 s.
#[test]
fn no_key_works_once_proof_is_older_than_its_bound_less_a_reserve() {
    let world = World::new();
    assert_eq!(world.ask(5_000, false, shown("key-n")), Ok("north".into()));
    assert_eq!(world.ask(5_001, false, shown("key-n")), Err(RefusalReason::NoProof));
    assert_eq!(world.ask(5_001, false, shown("key-x")), Err(RefusalReason::NoProof));
}

#[test]
fn an_unknown_key_may_be_newer_than_the_proof_and_is_told_to_come_back() {
    let world = World::new();
    assert_eq!(world.ask(4_000, false, shown("key-x")), Err(RefusalReason::UnknownKey));
    assert_eq!(world.ask(4_001, false, shown("key-x")), Err(RefusalReason::NoProof));
}

#[test]
fn a_key_that_was_taken_away_is_told_from_one_that_never_was() {
    let mut world = World::new();
    let after = organisations(&[("north", "key-n")]);
    world.revoked.update(world.config.organisations.as_ref(), Some(&after));
    world.config.organisations = Some(after);
    assert_eq!(world.ask(1_100, false, shown("key-s")), Err(RefusalReason::RevokedKey));
    assert_eq!(world.ask(1_100, false, shown("key-x")), Err(RefusalReason::UnknownKey));
    let again = organisations(&[("south", "key-s")]);
    world.revoked.update(world.config.organisations.as_ref(), Some(&again));
    world.config.organisations = Some(again);
    assert_eq!(world.ask(1_100, false, shown("key-s")), Ok("south".into()));
}

#[test]
fn a_daemon_that_starts_has_no_proof() {
    let world = World { proof: FreshnessProof::default(), ..World::new() };
    assert_eq!(world.ask(0, false, shown("key-n")), Err(RefusalReason::NoProof));
}

/// A daemon that had just started took proof that was older than itself for as old as itself, and
/// served keys by a peer that had lost the store long before.
#[test]
fn proof_may_be_older_than_the_daemon_that_learns_of_it() {
    let world = World { proof: FreshnessProof::default(), ..World::new() };
    world.proof.renew_from_peer(Time(50), ms(5_000));
    assert_eq!(world.proof.age(Time(60)), Some(ms(5_010)));
    assert_eq!(world.ask(60, false, shown("key-n")), Err(RefusalReason::NoProof));
}

#[test]
fn a_digest_shows_nothing_of_its_key_and_comes_back_from_text() {
    let digest = KeyDigest::of("key-n");
    let text = digest.to_string();
    assert!(!text.contains("key"), "{text}");
    assert_eq!(KeyDigest::parse(&text), Some(digest));
    for foreign in ["", "key-n", &text[1..], &text.replace(&text[..1], "x")] {
        assert_eq!(KeyDigest::parse(foreign), None, "{foreign}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// A chain of daemons hands proof on: each asks the one before it at some time, and is answered
    /// some time later. However late the answers come, what each believes is never younger than the
    /// moment at which the first one's question left for the store.
    #[test]
    fn proof_that_is_handed_on_is_never_younger_than_it_was(
        delays in proptest::collection::vec((0_u64..2_000, 0_u64..2_000, 0_u64..20_000), 1..6),
        clocks in proptest::collection::vec(0_u64..1_000_000, 7),
    ) {
        let store_asked_at = 50_000_u64;
        let mut world_time = store_asked_at;
        let mut before = FreshnessProof::default();
        before.renew(Time(store_asked_at + clocks[0]));
        for (n, (asks_before, answered_after, arrives_after)) in delays.into_iter().enumerate() {
            let (clock, other) = (clocks[n + 1], clocks[n]);
            // The question may leave before the proof that answers it was there.
            let asked_at = (world_time + answered_after).saturating_sub(asks_before);
            let answered_at = world_time + answered_after;
            let age = before.age_for_peer(Time(answered_at + other)).expect("there is proof");
            let arrived_at = answered_at.max(asked_at) + arrives_after;
            let proof = FreshnessProof::default();
            proof.renew_from_peer(Time(asked_at + clock), ms(age.into()));
            let believed = proof.age(Time(arrived_at + clock)).expect("there is proof");
            prop_assert!(believed >= ms(arrived_at - store_asked_at));
            (before, world_time) = (proof, arrived_at);
        }
    }
}
