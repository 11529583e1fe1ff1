//! The organisations of a configuration, with their keys and quotas.

use super::credential::KeyDigest;
use crate::gateway::fleet::regions::AllowedRegions;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Hash of an organisation's name, which identifies it in messages between daemons.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct OrganisationHash(pub u64);

impl OrganisationHash {
    /// Hashes a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// An organisation whose requests are served.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// The name, which is forwarded to servers.
    pub name: Rc<str>,
    /// Priority of its requests, 0 is highest; the route's priority if `None`.
    pub priority: Option<u8>,
    /// The quota; unlimited if `None`.
    pub quota: Option<Quota>,
    /// The regions in which its requests may be served; any region if `None`.
    pub allowed_regions: Option<AllowedRegions>,
}

impl Organisation {
    /// The hash of the name.
    pub fn name_hash(&self) -> OrganisationHash {
        OrganisationHash::of(&self.name)
    }
}

/// The unit in which a quota is counted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt plus the maximum number of generated ones.
    Tokens {
        /// Units of a request that states no token count.
        plain: f64,
    },
}

/// The rate limit of an organisation across all daemons.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// The unit.
    pub unit: QuotaUnit,
    /// Units per second.
    pub per_second: f64,
    /// Units that may be used at once on top of the rate.
    pub burst: f64,
}

impl Quota {
    /// The units of a request.
    pub fn units(&self, tokens: Option<u64>) -> f64 {
        match (self.unit, tokens) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens { .. }, Some(tokens)) => tokens as f64,
            (QuotaUnit::Tokens { plain }, None) => plain,
        }
    }

    /// The units that become available in a time span.
    pub fn refill(&self, span: Duration) -> f64 {
        self.per_second * span.as_secs_f64()
    }
}

/// The organisations of a configuration, indexed by key and by hash.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Organisations {
    by_key: HashMap<KeyDigest, Rc<Organisation>>,
    by_hash: HashMap<OrganisationHash, Rc<Organisation>>,
}

impl Organisations {
    /// Adds an organisation with its keys.
    pub fn add(&mut self, organisation: Organisation, keys: impl IntoIterator<Item = KeyDigest>) {
        let organisation = Rc::new(organisation);
        self.by_hash.insert(organisation.name_hash(), organisation.clone());
        self.by_key.extend(keys.into_iter().map(|key| (key, organisation.clone())));
    }

    /// The organisation that a key belongs to.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Rc<Organisation>> {
        self.by_key.get(key)
    }

    /// The organisation with this name hash.
    pub fn by_hash(&self, hash: OrganisationHash) -> Option<&Rc<Organisation>> {
        self.by_hash.get(&hash)
    }

    /// The number of organisations.
    pub fn count(&self) -> usize {
        self.by_hash.len()
    }

    fn has(&self, key: &KeyDigest) -> bool {
        self.by_key.contains_key(key)
    }
}

/// Maximum number of revoked keys to remember; beyond it, all of them are dropped at once. They only
/// make the reason of a refusal more precise.
const MAX_REVOKED_KEYS: usize = 16 * 1024;

/// Keys that configurations have revoked since this daemon started.
#[derive(Debug, Clone, Default)]
pub struct RevokedKeys(HashSet<KeyDigest>);

impl RevokedKeys {
    /// Adds the keys that a new configuration lacks, and removes those that it has again.
    pub fn update(&mut self, before: Option<&Organisations>, after: Option<&Organisations>) {
        if self.0.len() > MAX_REVOKED_KEYS {
            self.0.clear();
        }
        let is_gone = |key: &KeyDigest| after.is_none_or(|after| !after.has(key));
        self.0.retain(is_gone);
        let keys = before.into_iter().flat_map(|before| before.by_key.keys());
        self.0.extend(keys.copied().filter(is_gone));
    }

    /// Whether a key was revoked.
    pub fn contains(&self, key: &KeyDigest) -> bool {
        self.0.contains(key)
    }
}
