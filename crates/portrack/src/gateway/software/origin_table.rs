//! The origins of streams that a daemon knows. A state machine without sockets.

use super::origin::{Origin, StreamKey};
use crate::types::Time;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;
use std::time::Duration;

/// How long an origin is kept after its stream began: longer than callers take one stream up again.
pub const ORIGIN_TTL: Duration = Duration::from_secs(120);
/// Maximum number of origins, of about 100 bytes each; the oldest are dropped.
pub const MAX_ORIGINS: usize = 50_000;

/// What is known of a stream's origin.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KnownOrigin {
    /// It began there, this long ago.
    At(Rc<Origin>, Duration),
    /// Two origins were reported under the same key, so neither is believed.
    Conflicting,
}

#[derive(Debug)]
struct Entry {
    origin: Rc<Origin>,
    began_at: Time,
    is_conflicting: bool,
}

/// The known origins, by the attempt that began the stream.
#[derive(Debug, Default)]
pub struct OriginTable {
    entries: HashMap<StreamKey, Entry>,
    /// Keys in the order in which they were learned.
    by_age: VecDeque<(Time, StreamKey)>,
    /// One copy of each distinct origin in use.
    distinct: HashSet<Rc<Origin>>,
}

impl OriginTable {
    /// Learns that a stream began `age` ago. What is known is never replaced: a different origin
    /// makes both unusable.
    pub fn learn(&mut self, now: Time, key: StreamKey, origin: &Origin, age: Duration) {
        self.expire(now);
        if age >= ORIGIN_TTL {
            return;
        }
        if let Some(known) = self.entries.get_mut(&key) {
            known.is_conflicting |= *known.origin != *origin;
            return;
        }
        let origin = self.shared(origin);
        self.entries.insert(key, Entry { origin, began_at: now - age, is_conflicting: false });
        self.by_age.push_back((now, key));
        if self.by_age.len() > MAX_ORIGINS {
            self.drop_oldest();
        }
    }

    fn shared(&mut self, origin: &Origin) -> Rc<Origin> {
        if let Some(known) = self.distinct.get(origin) {
            return known.clone();
        }
        self.distinct.retain(|known| Rc::strong_count(known) > 1);
        let shared = Rc::new(origin.clone());
        self.distinct.insert(shared.clone());
        shared
    }

    /// What is known of a stream's origin; `None` if nothing is.
    pub fn get(&self, now: Time, key: StreamKey) -> Option<KnownOrigin> {
        let entry = self.entries.get(&key)?;
        let age = now.since(entry.began_at);
        if age >= ORIGIN_TTL {
            return None;
        }
        Some(match entry.is_conflicting {
            true => KnownOrigin::Conflicting,
            false => KnownOrigin::At(entry.origin.clone(), age),
        })
    }

    /// The streams that began less than `age` ago.
    pub fn younger_than(&self, now: Time, age: Duration) -> impl Iterator<Item = StreamKey> {
        let young = self.entries.iter().filter(move |(_, entry)| now.since(entry.began_at) < age);
        young.map(|(key, _)| *key)
    }

    /// Drops origins whose time is over.
    pub fn expire(&mut self, now: Time) {
        while self.by_age.front().is_some_and(|(at, _)| now.since(*at) >= ORIGIN_TTL) {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        if let Some((_, key)) = self.by_age.pop_front() {
            self.entries.remove(&key);
        }
    }

    /// Number of distinct origins in use.
    pub fn count_distinct(&self) -> usize {
        self.distinct.len()
    }

    /// Number of streams.
    pub fn count(&self) -> usize {
        self.entries.len()
    }
}
