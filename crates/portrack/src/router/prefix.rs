//! Which engine last served a prompt prefix.

use crate::types::EngineName;
use std::collections::HashMap;

/// A bounded memory with two generations: when the younger is full, the older is dropped.
#[derive(Debug, Clone)]
pub struct PrefixMemory {
    half: usize,
    young: HashMap<u64, EngineName>,
    old: HashMap<u64, EngineName>,
}

impl PrefixMemory {
    /// A memory of at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        let half = (capacity / 2).max(1);
        Self { half, young: HashMap::new(), old: HashMap::new() }
    }

    /// Notes that the engine has the prefix cached.
    pub fn note(&mut self, prefix: u64, engine: EngineName) {
        if self.young.len() >= self.half {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(prefix, engine);
    }

    /// The engine that last served the prefix.
    pub fn engine(&self, prefix: u64) -> Option<&EngineName> {
        self.young.get(&prefix).or_else(|| self.old.get(&prefix))
    }

    /// Prefixes remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// True if nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.young.is_empty() && self.old.is_empty()
    }
}
