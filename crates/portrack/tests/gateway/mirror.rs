//! The copy of the store never goes back.

use portrack::gateway::{Mirror, MirrorChange, MirrorItem, RetainFn};
use portrack::store::{KvChange, KvEntry, KvList, StoreEra, StorePosition};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Of a store that tells none.
const ERA: StoreEra = StoreEra::NONE;
/// No reading begins a new era.
const NOTHING_KEPT: RetainFn<'static> = &|_| false;

fn at(revision: u64) -> StorePosition {
    StorePosition::new(ERA, revision)
}

fn held(key: &str, revision: u64) -> KvEntry {
    KvEntry { key: key.into(), revision, value: revision.to_be_bytes().to_vec() }
}

fn gone(key: &str, revision: u64) -> KvChange {
    KvChange::Deleted { key: key.into(), revision }
}

#[test]
fn an_older_value_never_replaces_a_newer_one() {
    let mut mirror = Mirror::default();
    assert!(mirror.apply(ERA, KvChange::Put(held("a", 5))).is_some());
    assert_eq!(mirror.apply(ERA, KvChange::Put(held("a", 4))), None);
    assert_eq!(mirror.apply(ERA, KvChange::Put(held("a", 5))), None);
    assert_eq!(mirror.apply(ERA, gone("a", 4)), None);
    assert_eq!(mirror.apply(ERA, gone("a", 6)), Some(MirrorChange::Removed("a".into())));
    assert_eq!(mirror.apply(ERA, KvChange::Put(held("a", 5))), None, "a removed key stays removed");
    assert!(mirror.apply(ERA, KvChange::Put(held("a", 7))).is_some());
}

#[test]
fn a_whole_reading_removes_what_it_does_not_list() {
    let mut mirror = Mirror::default();
    for (key, revision) in [("p/a", 2), ("p/b", 3), ("q/c", 4), ("p/new", 9)] {
        mirror.apply(ERA, KvChange::Put(held(key, revision)));
    }
    let list = KvList {
        era: Default::default(),
        revision: 8,
        entries: vec![held("p/b", 3), held("p/d", 7)],
    };
    let changes = mirror.apply_all("p/", list, NOTHING_KEPT);
    assert_eq!(changes, [MirrorChange::Removed("p/a".into()), MirrorChange::Put(held("p/d", 7))]);
    let left: Vec<String> =
        mirror.items_after(0).into_iter().filter(|i| i.value.is_some()).map(|i| i.key).collect();
    assert_eq!(left, ["p/b", "p/d", "p/new", "q/c"], "what is newer than the reading stays");
}

#[test]
fn a_peer_with_an_old_copy_brings_nothing_back() {
    let mut mirror = Mirror::default();
    mirror.apply(ERA, KvChange::Put(held("a", 5)));
    mirror.apply(ERA, gone("a", 8));
    let old = MirrorItem { key: "a".into(), revision: 5, value: Some(vec![1]) };
    assert!(mirror.apply_items(ERA, vec![old]).is_empty());
    let mut other = Mirror::default();
    other.apply(ERA, KvChange::Put(held("a", 5)));
    let changes = other.apply_items(ERA, mirror.items_after(5));
    assert_eq!(
        changes,
        [MirrorChange::Removed("a".into())],
        "removals reach a peer that catches up"
    );
}

/// A copy that was read whole at revision 10 and has seen `b` go since.
fn read_at_ten() -> Mirror {
    let mut mirror = Mirror::default();
    let entries = vec![held("a", 5), held("b", 6)];
    mirror.apply_all("", KvList { era: ERA, revision: 10, entries }, NOTHING_KEPT);
    mirror.whole_up_to(at(10));
    mirror.apply(ERA, gone("b", 12));
    mirror.whole_up_to(at(12));
    mirror
}

#[test]
fn a_follower_that_knows_the_first_reading_gets_what_changed() {
    let news = read_at_ten().news_after(at(10));
    assert_eq!((news.position, news.whole), (at(12), false));
    let keys: Vec<&str> = news.items.iter().map(|item| &*item.key).collect();
    assert_eq!(keys, ["b"], "and its removal is told");
}

#[test]
fn a_follower_that_may_believe_in_keys_removed_before_the_first_reading_gets_everything() {
    let news = read_at_ten().news_after(at(9));
    assert!(news.whole);
    let mut follower = Mirror::default();
    follower.apply(ERA, KvChange::Put(held("a", 5)));
    follower.apply(ERA, KvChange::Put(held("removed unseen", 7)));
    let changes = follower.apply_whole("", news.position, news.items, NOTHING_KEPT);
    assert_eq!(changes, [MirrorChange::Removed("removed unseen".into())]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_order_of_changes_ends_in_the_newest(
        changes in proptest::collection::vec((0_u8..4, 1_u64..40, any::<bool>()), 0..40)
    ) {
        let mut newest: BTreeMap<String, (u64, bool)> = BTreeMap::new();
        let mut mirror = Mirror::default();
        for (key, revision, put) in changes {
            let key = format!("k{key}");
            let before = newest.get(&key).copied();
            if before.is_none_or(|(held, _)| held < revision) {
                newest.insert(key.clone(), (revision, put));
            }
            let change = if put { KvChange::Put(held(&key, revision)) } else { gone(&key, revision) };
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
