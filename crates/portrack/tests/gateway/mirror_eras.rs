//! Copies of a store that comes back from older copies of itself, at a daemon that watches it and at one that follows.

use portrack::gateway::{Mirror, MirrorUpdate, RestoreConflict, RetainFn};
use portrack::store::{KvChange, KvEntry, KvList, StoreEra, StorePosition};
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Believes all that was known.
const ALL_KEPT: RetainFn<'static> = &|_: RestoreConflict<'_>| true;

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
        let held = KvEntry { key, revision: self.revision, value: vec![value] };
        self.history.push(KvChange::Put(held));
    }

    fn remove(&mut self, key: u8) {
        self.revision += 1;
        let key = format!("k{key}");
        self.items.remove(&key);
        self.history.push(KvChange::Deleted { key, revision: self.revision });
    }

    fn come_back(&mut self, copy: Self) {
        *self = Self { era: self.era + 1, ..copy };
    }

    fn list(&self) -> KvList {
        let held = |(key, (revision, value)): (&String, &(u64, Vec<u8>))| KvEntry {
            key: key.clone(),
            revision: *revision,
            value: value.clone(),
        };
        let entries = self.items.iter().map(held).collect();
        KvList { era: self.era(), revision: self.revision, entries }
    }

    fn after(&self, revision: u64) -> impl Iterator<Item = KvChange> + '_ {
        let later = move |change: &&KvChange| match change {
            KvChange::Put(held) => held.revision > revision,
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

/// The daemon that watches learns what changed, or reads all.
fn watch(mirror: &mut Mirror, store: &Store) {
    let StorePosition { era, revision } = mirror.position();
    if era != store.era() || revision == 0 {
        mirror.apply_all("", store.list(), ALL_KEPT);
    } else {
        store.after(revision).for_each(|change| drop(mirror.apply(era, change)));
    }
    mirror.whole_up_to(StorePosition::new(store.era(), store.revision));
}

/// The one that follows gets a frame.
fn feed(follower: &mut Mirror, source: &Mirror) {
    let MirrorUpdate { position, whole, items, step } = source.news_after(follower.position());
    if position.era < follower.era() {
        return;
    }
    let taken = match (whole, step) {
        (true, _) => Some(follower.apply_whole("", position, items, ALL_KEPT)),
        (false, Some(step)) => follower.take_step(position, step, items, ALL_KEPT),
        (false, None) => Some(follower.apply_items(position.era, items)),
    };
    if taken.is_none() {
        let MirrorUpdate { position, items, .. } = source.news_after(StorePosition::default());
        follower.apply_whole("", position, items, ALL_KEPT);
    }
    follower.adopt(source.kept_items());
    follower.whole_up_to(position);
}

#[derive(Debug, Clone)]
enum Step {
    Put(u8, u8),
    Remove(u8),
    Copy,
    Return,
    Watch,
    Feed,
    /// The source is asked by the follower, or the other way round after a cut.
    FeedBack,
    Believe,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0_u8..6, any::<u8>()).prop_map(|(key, value)| Step::Put(key, value)),
        3 => (0_u8..6).prop_map(Step::Remove),
        2 => Just(Step::Copy),
        1 => Just(Step::Return),
        5 => Just(Step::Watch),
        4 => Just(Step::Feed),
        1 => Just(Step::FeedBack),
        1 => Just(Step::Believe),
    ]
}

fn check_kept(mirror: &Mirror) -> Result<(), TestCaseError> {
    let kept = mirror.kept_items();
    prop_assert_eq!(mirror.kept(), kept.len());
    let news = mirror.news_after(StorePosition::default());
    for item in kept {
        let told = news.items.iter().find(|told| told.key == item.key);
        let stored = told.and_then(|told| told.value.clone());
        prop_assert_eq!(stored, item.stored, "what is believed is not told as the store's");
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 3_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_lost_both_copies_end_as_the_store_is(
        steps in proptest::collection::vec(step(), 0..60)
    ) {
        let (mut store, mut copy) = (Store::default(), Store::default());
        let (mut source, mut follower) = (Mirror::default(), Mirror::default());
        for step in steps {
            match step {
                Step::Put(key, value) => store.put(key, value),
                Step::Remove(key) => store.remove(key),
                Step::Copy => copy = store.clone(),
                Step::Return => {
                    let era = store.era;
                    store.come_back(copy.clone());
                    store.era = era + 1;
                }
                Step::Watch => watch(&mut source, &store),
                Step::Feed => feed(&mut follower, &source),
                Step::FeedBack => feed(&mut source, &follower),
                Step::Believe => {
                    source.believe_store();
                    follower.believe_store();
                }
            }
            check_kept(&source)?;
            check_kept(&follower)?;
        }
        watch(&mut source, &store);
        feed(&mut follower, &source);
        source.believe_store();
        follower.believe_store();
        prop_assert_eq!(values(&source), store.values());
        prop_assert_eq!(values(&follower), store.values());
    }

    #[test]
    fn what_is_written_after_a_return_is_believed_at_once(
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
        store.come_back(copy);
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
fn what_a_copy_lacks_is_believed_and_told_apart_until_it_ends() {
    let mut store = Store::default();
    store.put(1, 10);
    let copy = store.clone();
    store.put(1, 11);
    store.put(2, 20);
    let mut mirror = Mirror::default();
    watch(&mut mirror, &store);
    store.come_back(copy);
    assert_eq!(mirror.apply_all("", store.list(), ALL_KEPT), [], "nothing changes at first");
    assert_eq!(values(&mirror), [("k1".into(), vec![11]), ("k2".into(), vec![20])].into());
    assert_eq!(mirror.kept(), 2);
    // A former reading that comes late changes nothing.
    let late = KvList { era: StoreEra::from_number(0), revision: 9, entries: Vec::new() };
    assert_eq!(mirror.apply_all("", late, ALL_KEPT), []);
    mirror.believe_store();
    assert_eq!(values(&mirror), store.values());
}

/// What is sent of items, in bytes.
fn sent(news: &MirrorUpdate) -> usize {
    let gone = news.step.as_ref().map_or(0, |step| step.gone.iter().map(String::len).sum());
    gone + postcard::to_allocvec(&news.items).expect("it can be written").len()
}

#[test]
fn a_return_is_told_to_followers_without_what_is_the_same() {
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
    store.come_back(copy);
    store.put(3, 9);
    watch(&mut source, &store);
    let (step, whole) =
        (source.news_after(follower.position()), source.news_after(StorePosition::default()));
    assert!(step.step.is_some() && whole.whole);
    assert!(sent(&step) * 1_000 < sent(&whole), "{} and {}", sent(&step), sent(&whole));
    feed(&mut follower, &source);
    assert_eq!(values(&follower).len(), ITEMS as usize + 6, "what was lost is believed");
    source.believe_store();
    follower.believe_store();
    assert_eq!(values(&follower), store.values());
}
