//! The organisations of a configuration, by their keys.

use super::credential::KeyDigest;
use crate::gateway::fleet::regions::AllowedRegions;
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The short name of an organisation in messages between daemons.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct OrganisationHash(pub u64);

impl OrganisationHash {
    /// The mark of a name.
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

/// One organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct Organisation {
    /// Its name, which servers are told.
    pub name: Rc<str>,
    /// Rank of its requests, 0 highest; the route's if left out.
    pub priority: Option<u8>,
    /// How much it may send; any amount if left out.
    pub quota: Option<Quota>,
    /// The only regions in which its requests may be served; any if left out.
    pub allowed_regions: Option<AllowedRegions>,
}

impl Organisation {
    /// Its short name.
    pub fn name_hash(&self) -> OrganisationHash {
        OrganisationHash::of(&self.name)
    }
}

/// What a quota counts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaUnit {
    /// Requests.
    Requests,
    /// Tokens of the prompt and the most to generate.
    Tokens {
        /// What a request counts that tells no tokens.
        plain: f64,
    },
}

/// How much an organisation may send, over all daemons together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Quota {
    /// What it counts.
    pub unit: QuotaUnit,
    /// Units a second.
    pub per_second: f64,
    /// Units on top, at once.
    pub burst: f64,
}

impl Quota {
    /// What a request takes of it.
    pub fn units(&self, tokens: Option<u64>) -> f64 {
        match (self.unit, tokens) {
            (QuotaUnit::Requests, _) => 1.0,
            (QuotaUnit::Tokens { .. }, Some(tokens)) => tokens as f64,
            (QuotaUnit::Tokens { plain }, None) => plain,
        }
    }

    /// What it allows in a span.
    pub fn refill(&self, span: Duration) -> f64 {
        self.per_second * span.as_secs_f64()
    }
}

/// All organisations of a configuration.
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

    /// Whose key this is.
    pub fn by_key(&self, key: &KeyDigest) -> Option<&Rc<Organisation>> {
        self.by_key.get(key)
    }

    /// An organisation by its short name.
    pub fn by_hash(&self, mark: OrganisationHash) -> Option<&Rc<Organisation>> {
        self.by_hash.get(&mark)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.by_hash.len()
    }

    fn has(&self, key: &KeyDigest) -> bool {
        self.by_key.contains_key(key)
    }
}

/// Keys remembered as taken away; older ones are forgotten all at once beyond that. They only make
/// a refusal tell more.
const REVOKED_KEPT: usize = 16 * 1024;

/// Keys that configurations have taken away in this daemon's life.
#[derive(Debug, Clone, Default)]
pub struct RevokedKeys(HashSet<KeyDigest>);

impl RevokedKeys {
    /// Takes note of what a new configuration lacks, and of what it brings back.
    pub fn update(&mut self, before: Option<&Organisations>, after: Option<&Organisations>) {
        if self.0.len() > REVOKED_KEPT {
            self.0.clear();
        }
        let is_gone = |key: &KeyDigest| after.is_none_or(|after| !after.has(key));
        self.0.retain(is_gone);
        let keys = before.into_iter().flat_map(|before| before.by_key.keys());
        self.0.extend(keys.copied().filter(is_gone));
    }

    /// True if a key was taken away.
    pub fn holds(&self, key: &KeyDigest) -> bool {
        self.0.contains(key)
    }
}
