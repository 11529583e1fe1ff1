//! Cache of the engine that last served each prompt prefix.

use crate::types::EngineName;
use std::collections::HashMap;

/// A bounded cache with two generations: when the recent one is full, the previous one is dropped.
#[derive(Debug, Clone)]
pub struct PrefixMemory {
    generation_size: usize,
    recent: HashMap<u64, EngineName>,
    previous: HashMap<u64, EngineName>,
}

impl PrefixMemory {
    /// Creates a cache of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        let generation_size = (capacity / 2).max(1);
        Self { generation_size, recent: HashMap::new(), previous: HashMap::new() }
    }

    /// Records that the engine has the prefix cached.
    pub fn note(&mut self, prefix: u64, engine: EngineName) {
        if self.recent.len() >= self.generation_size {
            self.previous = std::mem::take(&mut self.recent);
        }
        self.recent.insert(prefix, engine);
    }

    /// The engine that last served the prefix.
    pub fn engine(&self, prefix: u64) -> Option<&EngineName> {
        self.recent.get(&prefix).or_else(|| self.previous.get(&prefix))
    }

    /// Number of cached prefixes.
    pub fn len(&self) -> usize {
        self.recent.len() + self.previous.len()
    }

    /// True if the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.recent.is_empty() && self.previous.is_empty()
    }
}
