//! How often each adapter is asked for, until the planner of loads is told.

use super::dialect::AdapterKey;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use tokio::sync::Notify;

/// Requests for one adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Asked {
    /// Requests that found it loaded.
    pub hits: u16,
    /// Requests that did not.
    pub misses: u16,
}

/// Requests since the planner was last told.
#[derive(Debug, Default)]
pub struct DemandLog {
    asked: RefCell<HashMap<AdapterKey, Asked>>,
    missed: Notify,
}

impl DemandLog {
    /// Counts a request that found its adapter loaded.
    pub fn hit(&self, key: &AdapterKey) {
        let mut asked = self.asked.borrow_mut();
        let entry = asked.entry(key.clone()).or_default();
        entry.hits = entry.hits.saturating_add(1);
    }

    /// Counts a request that did not, and wakes whoever tells the planner.
    pub fn miss(&self, key: &AdapterKey) {
        {
            let mut asked = self.asked.borrow_mut();
            let entry = asked.entry(key.clone()).or_default();
            entry.misses = entry.misses.saturating_add(1);
        }
        self.missed.notify_one();
    }

    /// Waits for a request that does not find its adapter loaded.
    pub async fn missed(&self) {
        self.missed.notified().await;
    }

    /// Takes everything counted so far.
    pub fn take(&self) -> Vec<(AdapterKey, Asked)> {
        self.asked.borrow_mut().drain().collect()
    }
}
