//! Mirrors of a store that is restored from older copies, at a daemon that watches it and at a
//! follower.

use portrack::gateway::{Mirror, MirrorUpdate, RestoreConflict, RetainFn};
use portrack::store::{KvChange, KvEntry, KvList, StoreEra, StorePosition};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Retains every known value.
const RETAIN_ALL: RetainFn<'static> = &|_: RestoreConflict<'_>| true;

#[derive(Debug, Clone, Default)]
struct Store {
    era: u64,
    revision: u64,
    items: BTreeMap<String, (u64, Vec<u8>)>,
    history: Vec<KvChange>,
}

impl Store {
    fn era(&self) -> StoreEra {
        StoreEra::from_number(self.era)
    }

    fn put(&mut self, key: u8, value: u8) {
        self.revision += 1;
        let key = format!("k{key}");
        self.items.insert(key.clone(), (self.revision, vec![value]));
        let entry = KvEntry { key, revision: self.revision, value: vec![value] };
        self.history.push(KvChange::Put(entry));
    }

    fn remove(&mut self, key: u8) {
        self.revision += 1;
        let key = format!("k{key}");
        self.items.remove(&key);
        self.history.push(KvChange::Deleted { key, revision: self.revision });
    }

    fn restore(&mut self, copy: Self) {
        *self = Self { era: self.era + 1, ..copy };
    }

    fn list(&self) -> KvList {
        let entry = |(key, (revision, value)): (&String, &(u64, Vec<u8>))| KvEntry {
            key: key.clone(),
            revision: *revision,
            value: value.clone(),
        };
        let entries = self.items.iter().map(entry).collect();
        KvList { era: self.era(), revision: self.revision, entries }
    }

    fn after(&self, revision: u64) -> impl Iterator<Item = KvChange> + '_ {
        let later = move |change: &&KvChange| match change {
            KvChange::Put(entry) => entry.revision > revision,
            KvChange::Deleted { revision: at, .. } => *at > revision,
        };
        self.history.iter().filter(later).cloned()
    }

    fn values(&self) -> BTreeMap<String, Vec<u8>> {
        self.items.iter().map(|(key, (_, value))| (key.clone(), value.clone())).collect()
    }
}

fn values(mirror: &Mirror) -> BTreeMap<String, Vec<u8>> {
    mirror.all().filter_map(|item| Some((item.key, item.value?))).collect()
}

/// The watching daemon applies the changes, or a complete list.
fn watch(mirror: &mut Mirror, store: &Store) {
    let StorePosition { era, revision } = mirror.position();
    if era != store.era() || revision == 0 {
        mirror.apply_list("", store.list(), RETAIN_ALL);
    } else {
        store.after(revision).for_each(|change| drop(mirror.apply(era, change)));
    }
    mirror.mark_complete(StorePosition::new(store.era(), store.revision));
}

/// The follower receives a frame.
fn feed(follower: &mut Mirror, source: &Mirror) {
    let MirrorUpdate { position, is_snapshot, items, era_delta } =
        source.update_since(follower.position());
    if position.era < follower.era() {
        return;
    }
    let applied = match (is_snapshot, era_delta) {
        (true, _) => Some(follower.apply_snapshot("", position, items, RETAIN_ALL)),
        (false, Some(delta)) => follower.apply_era_delta(position, delta, items, RETAIN_ALL),
        (false, None) => Some(follower.apply_items(position.era, items)),
    };
    if applied.is_none() {
        let MirrorUpdate { position, items, .. } = source.update_since(StorePosition::default());
        follower.apply_snapshot("", position, items, RETAIN_ALL);
    }
    follower.adopt_retained(source.retained_items());
    follower.mark_complete(position);
}

#[derive(Debug, Clone)]
enum Step {
    Put(u8, u8),
    Remove(u8),
    Copy,
    Restore,
    Watch,
    Feed,
    /// The source receives a frame from the follower, as after a network partition.
    ReverseFeed,
    DropRetained,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..6, any::<u8>()).prop_map(|(key, value)| Step::Put(key, value)),
        3 => (0_u8..6).prop_map(Step::Remove),
        2 => Just(Step::Copy),
        1 => Just(Step::Restore),
        5 => Just(Step::Watch),
        4 => Just(Step::Feed),
        1 => Just(Step::ReverseFeed),
        1 => Just(Step::DropRetained),
    ]
}

fn check_retained(mirror: &Mirror) -> Result<(), TestCaseError> {
    let retained = mirror.retained_items();
    prop_assert_eq!(mirror.kept(), retained.len());
    let update = mirror.update_since(StorePosition::default());
    for item in retained {
        let item_sent = update.items.iter().find(|item_sent| item_sent.key == item.key);
        let stored = item_sent.and_then(|item_sent| item_sent.value.clone());
        prop_assert_eq!(stored, item.stored, "retained values are not sent as the store's");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn both_mirrors_converge_to_the_store_after_restores(
        steps in proptest::collection::vec(step(), 0..60)
    ) {
        let (mut store, mut copy) = (Store::default(), Store::default());
        let (mut source, mut follower) = (Mirror::default(), Mirror::default());
        for step in steps {
            match step {
                Step::Put(key, value) => store.put(key, value),
                Step::Remove(key) => store.remove(key),
                Step::Copy => copy = store.clone(),
                Step::Restore => {
                    let era = store.era;
                    store.restore(copy.clone());
                    store.era = era + 1;
                }
                Step::Watch => watch(&mut source, &store),
                Step::Feed => feed(&mut follower, &source),
                Step::ReverseFeed => feed(&mut source, &follower),
                Step::DropRetained => {
                    source.drop_retained();
                    follower.drop_retained();
                }
            }
            check_retained(&source)?;
            check_retained(&follower)?;
        }
        watch(&mut source, &store);
        feed(&mut follower, &source);
        source.drop_retained();
        follower.drop_retained();
        prop_assert_eq!(values(&source), store.values());
        prop_assert_eq!(values(&follower), store.values());
    }

    #[test]
    fn writes_after_a_restore_take_effect_immediately(
        before in proptest::collection::vec((0_u8..6, any::<u8>()), 1..20),
        lost in proptest::collection::vec((0_u8..6, any::<u8>()), 0..20),
        after in proptest::collection::vec((0_u8..6, any::<u8>()), 1..20),
    ) {
        let (mut store, mut source, mut follower) = (Store::default(), Mirror::default(), Mirror::default());
        before.iter().for_each(|(key, value)| store.put(*key, *value));
        watch(&mut source, &store);
        feed(&mut follower, &source);
        let copy = store.clone();
        lost.iter().for_each(|(key, value)| store.put(*key, *value));
        watch(&mut source, &store);
        feed(&mut follower, &source);
        store.restore(copy);
        watch(&mut source, &store);
        feed(&mut follower, &source);
        after.iter().for_each(|(key, value)| store.put(*key, *value));
        watch(&mut source, &store);
        feed(&mut follower, &source);
        let (stored, watched, followed) = (store.values(), values(&source), values(&follower));
        for (key, _) in &after {
            let key = format!("k{key}");
            prop_assert_eq!(watched.get(&key), stored.get(&key));
            prop_assert_eq!(followed.get(&key), stored.get(&key));
        }
    }
}

#[test]
fn values_missing_from_a_restored_copy_are_retained_until_dropped() {
    let mut store = Store::default();
    store.put(1, 10);
    let copy = store.clone();
    store.put(1, 11);
    store.put(2, 20);
    let mut mirror = Mirror::default();
    watch(&mut mirror, &store);
    store.restore(copy);
    assert_eq!(
        mirror.apply_list("", store.list(), RETAIN_ALL),
        [],
        "all known values are retained"
    );
    assert_eq!(values(&mirror), [("k1".into(), vec![11]), ("k2".into(), vec![20])].into());
    assert_eq!(mirror.kept(), 2);
    // A delayed list of an earlier era changes nothing.
    let late = KvList { era: StoreEra::from_number(0), revision: 9, entries: Vec::new() };
    assert_eq!(mirror.apply_list("", late, RETAIN_ALL), []);
    mirror.drop_retained();
    assert_eq!(values(&mirror), store.values());
}

/// The size of the items and removed keys that are sent, in bytes.
fn sent_bytes(update: &MirrorUpdate) -> usize {
    let gone =
        update.era_delta.as_ref().map_or(0, |delta| delta.gone.iter().map(String::len).sum());
    gone + postcard::to_allocvec(&update.items).expect("items are encodable").len()
}

#[test]
fn restore_sends_followers_only_the_differences() {
    const ITEMS: u64 = 3_000;
    let (mut store, mut source, mut follower) =
        (Store::default(), Mirror::default(), Mirror::default());
    for n in 0..ITEMS {
        store.revision += 1;
        store.items.insert(format!("servers/i-{n:010}"), (store.revision, vec![7; 280]));
    }
    watch(&mut source, &store);
    feed(&mut follower, &source);
    let copy = store.clone();
    (0..6).for_each(|n| store.put(n, n));
    watch(&mut source, &store);
    store.restore(copy);
    store.put(3, 9);
    watch(&mut source, &store);
    let (delta, snapshot) =
        (source.update_since(follower.position()), source.update_since(StorePosition::default()));
    assert!(delta.era_delta.is_some() && snapshot.is_snapshot);
    assert!(
        sent_bytes(&delta) * 1_000 < sent_bytes(&snapshot),
        "{} and {}",
        sent_bytes(&delta),
        sent_bytes(&snapshot)
    );
    feed(&mut follower, &source);
    assert_eq!(values(&follower).len(), ITEMS as usize + 6, "lost values are retained");
    source.drop_retained();
    follower.drop_retained();
    assert_eq!(values(&follower), store.values());
}
