//! Rendezvous (highest random weight) hashing: nodes with the same list make the same choice.

use std::hash::Hasher;
use xxhash_rust::xxh3::Xxh3;

fn weight(key: &str, name: &str) -> u64 {
    let mut hasher = Xxh3::new();
    hasher.update(key.as_bytes());
    hasher.update(&[0]);
    hasher.update(name.as_bytes());
    hasher.finish()
}

/// The name with the highest weight for this key.
pub fn highest<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    names: impl IntoIterator<Item = &'a T>,
) -> Option<&'a T> {
    names.into_iter().max_by_key(|name| (weight(key, name.as_ref()), name.as_ref().to_owned()))
}

/// The names in order of decreasing weight for this key.
pub fn ranked<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    names: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let mut all: Vec<&T> = names.into_iter().collect();
    all.sort_by_cached_key(|name| {
        let name = name.as_ref();
        (std::cmp::Reverse(weight(key, name)), name.to_owned())
    });
    all
}
