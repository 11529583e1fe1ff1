//! State of the key-value service: keys, revisions and leases.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A stored key's value and revisions.
#[derive(Debug, Clone)]
pub struct Held {
    /// Its value.
    pub value: Vec<u8>,
    /// The revision that created the key.
    pub created: u64,
    /// The revision of the last change.
    pub changed: u64,
    /// The lease that the key is attached to, 0 for none.
    pub lease: u64,
}

/// A change of a key, as watches report it.
#[derive(Debug, Clone)]
pub struct Changed {
    /// The key.
    pub key: Vec<u8>,
    /// The revision of the change.
    pub revision: u64,
    /// The new value; `None` for a removal.
    pub value: Option<Vec<u8>>,
}

#[derive(Debug, Clone)]
struct Lease {
    ttl: Duration,
    renewed: Instant,
}

/// All keys, leases and changes.
#[derive(Debug, Clone, Default)]
pub struct Store {
    /// Increases with every change.
    pub revision: u64,
    keys: BTreeMap<Vec<u8>, Held>,
    /// All changes, oldest first.
    pub history: Vec<Changed>,
    leases: BTreeMap<u64, Lease>,
    next_lease: u64,
}

impl Store {
    /// Restores the store from an earlier `copy`. The copy's leases count as renewed now.
    pub fn come_back(&mut self, copy: Self) {
        *self = copy;
        self.leases.values_mut().for_each(|lease| lease.renewed = Instant::now());
    }

    /// All keys.
    pub fn keys(&self) -> impl Iterator<Item = (&Vec<u8>, &Held)> {
        self.keys.iter()
    }

    /// The keys from `start` to `end`, excluding `end`; only `start` if `end` is empty.
    pub fn range(&self, start: &[u8], end: &[u8]) -> Vec<(Vec<u8>, Held)> {
        let one = end.is_empty();
        let within = |key: &[u8]| if one { key == start } else { key >= start && key < end };
        let keys = self.keys.iter().filter(|(key, _)| within(key));
        keys.map(|(key, held)| (key.clone(), held.clone())).collect()
    }

    /// The entry of a key.
    pub fn get(&self, key: &[u8]) -> Option<&Held> {
        self.keys.get(key)
    }

    /// Writes keys, each with a lease id, in one revision.
    pub fn put(&mut self, puts: Vec<(Vec<u8>, Vec<u8>, u64)>) {
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in puts {
            let created = self.keys.get(&key).map_or(revision, |held| held.created);
            let held = Held { value: value.clone(), created, changed: revision, lease };
            self.keys.insert(key.clone(), held);
            self.history.push(Changed { key, revision, value: Some(value) });
        }
    }

    /// Removes a key if it exists.
    pub fn remove(&mut self, key: Vec<u8>) {
        if self.keys.remove(&key).is_some() {
            self.revision += 1;
            self.history.push(Changed { key, revision: self.revision, value: None });
        }
    }

    fn remove_leased(&mut self, lease: u64) {
        let gone: Vec<Vec<u8>> =
            self.keys.iter().filter(|(_, h)| h.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in gone {
            self.remove(key);
        }
    }

    /// Grants a lease and returns its id.
    pub fn grant(&mut self, ttl: Duration) -> u64 {
        self.next_lease += 1;
        let id = 7_000 + self.next_lease;
        self.leases.insert(id, Lease { ttl, renewed: Instant::now() });
        id
    }

    /// Renews a lease. Returns its time to live in seconds, `None` if it has expired.
    pub fn renew(&mut self, id: u64) -> Option<u64> {
        self.lapse();
        let lease = self.leases.get_mut(&id)?;
        lease.renewed = Instant::now();
        Some(lease.ttl.as_secs().max(1))
    }

    /// True if the lease exists or `id` is 0, which stands for no lease.
    pub fn has_lease(&self, id: u64) -> bool {
        id == 0 || self.leases.contains_key(&id)
    }

    /// Ends a lease and removes the keys attached to it.
    pub fn revoke(&mut self, id: u64) {
        if self.leases.remove(&id).is_some() {
            self.remove_leased(id);
        }
    }

    /// Ends the leases that were not renewed in time. True if any lease ended.
    pub fn lapse(&mut self) -> bool {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.renewed.elapsed() >= lease.ttl)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.revoke(*id);
        }
        !expired.is_empty()
    }
}
