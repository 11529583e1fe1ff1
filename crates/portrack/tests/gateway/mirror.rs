//! Items of the mirror never go back to an older revision.

use portrack::gateway::{Mirror, MirrorChange, MirrorItem, RetainFn};
use portrack::store::{KvChange, KvEntry, KvList, StoreEra, StorePosition};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// The era of a store that reports none.
const ERA: StoreEra = StoreEra::NONE;
/// No list in these tests starts a new era.
const RETAIN_NOTHING: RetainFn<'static> = &|_| false;

fn at(revision: u64) -> StorePosition {
    StorePosition::new(ERA, revision)
}

fn entry(key: &str, revision: u64) -> KvEntry {
    KvEntry { key: key.into(), revision, value: revision.to_be_bytes().to_vec() }
}

fn deleted(key: &str, revision: u64) -> KvChange {
    KvChange::Deleted { key: key.into(), revision }
}

#[test]
fn older_value_never_replaces_a_newer_one() {
    let mut mirror = Mirror::default();
    assert!(mirror.apply(ERA, KvChange::Put(entry("a", 5))).is_some());
    assert_eq!(mirror.apply(ERA, KvChange::Put(entry("a", 4))), None);
    assert_eq!(mirror.apply(ERA, KvChange::Put(entry("a", 5))), None);
    assert_eq!(mirror.apply(ERA, deleted("a", 4)), None);
    assert_eq!(mirror.apply(ERA, deleted("a", 6)), Some(MirrorChange::Removed("a".into())));
    assert_eq!(
        mirror.apply(ERA, KvChange::Put(entry("a", 5))),
        None,
        "a removed key stays removed"
    );
    assert!(mirror.apply(ERA, KvChange::Put(entry("a", 7))).is_some());
}

#[test]
fn complete_list_removes_missing_keys() {
    let mut mirror = Mirror::default();
    for (key, revision) in [("p/a", 2), ("p/b", 3), ("q/c", 4), ("p/new", 9)] {
        mirror.apply(ERA, KvChange::Put(entry(key, revision)));
    }
    let list = KvList {
        era: Default::default(),
        revision: 8,
        entries: vec![entry("p/b", 3), entry("p/d", 7)],
    };
    let changes = mirror.apply_list("p/", list, RETAIN_NOTHING);
    assert_eq!(changes, [MirrorChange::Removed("p/a".into()), MirrorChange::Put(entry("p/d", 7))]);
    let left: Vec<String> =
        mirror.items_after(0).into_iter().filter(|i| i.value.is_some()).map(|i| i.key).collect();
    assert_eq!(left, ["p/b", "p/d", "p/new", "q/c"], "keys newer than the list remain");
}

#[test]
fn old_copy_of_a_peer_restores_nothing() {
    let mut mirror = Mirror::default();
    mirror.apply(ERA, KvChange::Put(entry("a", 5)));
    mirror.apply(ERA, deleted("a", 8));
    let old = MirrorItem { key: "a".into(), revision: 5, value: Some(vec![1]) };
    assert!(mirror.apply_items(ERA, vec![old]).is_empty());
    let mut other = Mirror::default();
    other.apply(ERA, KvChange::Put(entry("a", 5)));
    let changes = other.apply_items(ERA, mirror.items_after(5));
    assert_eq!(
        changes,
        [MirrorChange::Removed("a".into())],
        "removals are sent to a peer that catches up"
    );
}

/// A copy that was read completely at revision 10, and in which `b` was removed since.
fn read_at_ten() -> Mirror {
    let mut mirror = Mirror::default();
    let entries = vec![entry("a", 5), entry("b", 6)];
    mirror.apply_list("", KvList { era: ERA, revision: 10, entries }, RETAIN_NOTHING);
    mirror.mark_complete(at(10));
    mirror.apply(ERA, deleted("b", 12));
    mirror.mark_complete(at(12));
    mirror
}

#[test]
fn follower_at_the_first_list_gets_only_changes() {
    let update = read_at_ten().update_since(at(10));
    assert_eq!((update.position, update.is_snapshot), (at(12), false));
    let keys: Vec<&str> = update.items.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, ["b"], "its removal is included");
}

#[test]
fn follower_from_before_the_first_list_gets_a_snapshot() {
    let update = read_at_ten().update_since(at(9));
    assert!(update.is_snapshot);
    let mut follower = Mirror::default();
    follower.apply(ERA, KvChange::Put(entry("a", 5)));
    follower.apply(ERA, KvChange::Put(entry("removed unseen", 7)));
    let changes = follower.apply_snapshot("", update.position, update.items, RETAIN_NOTHING);
    assert_eq!(changes, [MirrorChange::Removed("removed unseen".into())]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_changes_ends_with_the_newest_values(
        changes in proptest::collection::vec((0_u8..4, 1_u64..40, any::<bool>()), 0..40)
    ) {
        let mut newest: BTreeMap<String, (u64, bool)> = BTreeMap::new();
        let mut mirror = Mirror::default();
        for (key, revision, put) in changes {
            let key = format!("k{key}");
            let before = newest.get(&key).copied();
            if before.is_none_or(|(newest, _)| newest < revision) {
                newest.insert(key.clone(), (revision, put));
            }
            let change = if put { KvChange::Put(entry(&key, revision)) } else { deleted(&key, revision) };
            mirror.apply(ERA, change);
        }
        let items: BTreeMap<String, (u64, bool)> = mirror
            .items_after(0)
            .into_iter()
            .map(|item| (item.key, (item.revision, item.value.is_some())))
            .collect();
        prop_assert_eq!(items, newest);
    }
}
