//! Large values that peers send apart from the other items.

use portrack::gateway::{
    CompressedValue, CompressedValues, LARGE_VALUE_BYTES, LargeValue, MAX_PARTIAL_VALUES,
    MirrorItem, PARTIAL_VALUE_TTL, PartialValues,
};
use portrack::store::StoreEra;
use portrack::types::Time;
use std::rc::Rc;
use std::time::Duration;

fn era(number: u64) -> StoreEra {
    StoreEra::from_number(number)
}

/// A value that cannot be compressed to nothing.
fn value(seed: u32) -> Vec<u8> {
    (0..LARGE_VALUE_BYTES as u32).flat_map(|n| (n.wrapping_mul(n ^ seed)).to_be_bytes()).collect()
}

fn item(key: &str, revision: u64, value: Vec<u8>) -> MirrorItem {
    MirrorItem { key: key.into(), revision, value: Some(value) }
}

fn compressed(seed: u32) -> CompressedValue {
    let mut items = vec![item("op/config", 7, value(seed))];
    CompressedValues::default().separate(era(3), &mut items).remove(0)
}

fn add(partial: &mut PartialValues, value: &CompressedValue, from: usize, to: usize) {
    let bytes = &value.bytes[from..to];
    partial.add(Time(0), &value.announcement, from as u32, bytes);
}

#[test]
fn only_large_values_are_sent_apart() {
    let small = item("a", 1, vec![0; LARGE_VALUE_BYTES]);
    let removed = MirrorItem { key: "c".into(), revision: 3, value: None };
    let mut items = vec![small.clone(), item("b", 2, value(1)), removed.clone()];
    let apart = CompressedValues::default().separate(era(3), &mut items);
    assert_eq!(items, [small, removed]);
    assert_eq!(apart.len(), 1);
    assert_eq!((apart[0].announcement.key.as_str(), apart[0].announcement.revision), ("b", 2));
}

/// Guards against a value of an earlier revision or era that is sent in place of the newest.
#[test]
fn a_compressed_value_is_kept_until_its_item_changes() {
    let mut values = CompressedValues::default();
    let mut separate = |era, revision, seed| {
        values.separate(era, &mut vec![item("k", revision, value(seed))]).remove(0)
    };
    let first = separate(era(3), 7, 1);
    assert_eq!(first.announcement, separate(era(3), 7, 1).announcement);
    assert_ne!(first.announcement.digest, separate(era(3), 8, 2).announcement.digest);
    assert_ne!(first.announcement.digest, separate(era(4), 8, 3).announcement.digest);
}

/// Guards against a transfer that begins anew with each connection that breaks.
#[test]
fn parts_of_a_value_from_several_peers_make_a_whole() {
    let (sent, mut partial) = (compressed(1), PartialValues::default());
    let length = sent.bytes.len();
    add(&mut partial, &sent, 0, 1_000);
    assert_eq!(partial.received(&sent.announcement), 1_000);
    add(&mut partial, &sent, 1_000, 3_000);
    add(&mut partial, &sent, 500, 2_000);
    assert_eq!(partial.received(&sent.announcement), 3_000);
    add(&mut partial, &sent, 2_500, length);
    let whole = partial.take(&sent.announcement).expect("all of it is there");
    assert_eq!(whole, item("op/config", 7, value(1)));
    assert_eq!(partial.received(&sent.announcement), 0);
}

/// Guards against bytes that are put where they do not belong.
#[test]
fn bytes_after_a_gap_are_dropped() {
    let (sent, mut partial) = (compressed(1), PartialValues::default());
    add(&mut partial, &sent, 10, 20);
    assert_eq!(partial.received(&sent.announcement), 0);
    add(&mut partial, &sent, 0, 10);
    add(&mut partial, &sent, 11, 20);
    assert_eq!(partial.received(&sent.announcement), 10);
}

/// Guards against a configuration of which some bytes are missing or wrong.
#[test]
fn a_value_that_is_not_what_was_announced_is_refused_and_forgotten() {
    let (sent, mut partial) = (compressed(1), PartialValues::default());
    let (length, announced) = (sent.bytes.len(), &sent.announcement);
    assert!(partial.take(announced).is_none());
    add(&mut partial, &sent, 0, length - 1);
    assert!(partial.take(announced).is_none());
    assert_eq!(partial.received(announced), 0);
    add(&mut partial, &sent, 0, length - 1);
    partial.add(Time(0), announced, length as u32 - 1, &[!sent.bytes[length - 1]]);
    assert!(partial.take(announced).is_none());
    for value_length in [announced.value_length - 1, announced.value_length + 1, u32::MAX] {
        let announced = LargeValue { value_length, ..announced.clone() };
        add(&mut partial, &sent, 0, length);
        assert!(partial.take(&announced).is_none(), "{value_length}");
    }
}

/// Guards against a peer that sends for ever, or announces one value after another.
#[test]
fn what_is_kept_of_values_is_bounded() {
    let mut partial = PartialValues::default();
    let all: Vec<CompressedValue> = (0..=MAX_PARTIAL_VALUES as u32).map(compressed).collect();
    for (n, value) in all.iter().enumerate() {
        partial.add(Time(n as u64), &value.announcement, 0, &value.bytes);
        partial.add(Time(n as u64), &value.announcement, value.announcement.length, &[0; 10_000]);
    }
    assert_eq!(partial.received(&all[0].announcement), 0);
    for value in &all[1..] {
        assert_eq!(partial.received(&value.announcement), value.announcement.length);
    }
}

/// Guards against a peer that announces a value of gigabytes and sends it.
#[test]
fn a_value_that_is_too_long_is_not_kept() {
    let mut partial = PartialValues::default();
    let announced = LargeValue { length: u32::MAX, ..compressed(1).announcement };
    partial.add(Time(0), &announced, 0, &[0; 1_000]);
    assert_eq!(partial.received(&announced), 0);
}

/// Guards against compressed values of keys that come and go, which would pile up.
#[test]
fn compressed_values_of_keys_that_are_not_sent_any_more_are_forgotten() {
    let mut values = CompressedValues::default();
    let mut separate = |n: u32| {
        values.separate(era(3), &mut vec![item(&format!("servers/{n}"), 7, value(n))]).remove(0)
    };
    let first = separate(0);
    (1..20).for_each(|n| drop(separate(n)));
    assert_eq!(Rc::strong_count(&first.bytes), 1);
}

/// Guards against a part of an old configuration that is kept for ever.
#[test]
fn parts_of_a_value_that_is_not_sent_any_more_are_forgotten() {
    let (sent, mut partial) = (compressed(1), PartialValues::default());
    add(&mut partial, &sent, 0, 1_000);
    partial.expire(Time(0) + PARTIAL_VALUE_TTL - Duration::from_millis(1));
    assert_eq!(partial.received(&sent.announcement), 1_000);
    partial.expire(Time(0) + PARTIAL_VALUE_TTL);
    assert_eq!(partial.received(&sent.announcement), 0);
}
