//! JSON messages of the engine's API.

use crate::owner::{Report, Running};
use crate::types::{AdapterVersion, Fence, ReservationId, Time};
use serde::{Deserialize, Serialize};

/// A running request in a status.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningStatus {
    /// Its id, 32 hexadecimal digits.
    pub id: String,
    /// `adapter@version`
    pub adapter: String,
}

/// Response to `GET /v1/status`.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Changes with every restart.
    pub epoch: u64,
    /// The highest fence accepted.
    pub fence: u64,
    /// Whether the engine is shutting down.
    #[serde(default)]
    pub leaving: bool,
    /// Number of adapter slots.
    pub slots: usize,
    /// Largest number of requests in one batch.
    pub batch: usize,
    /// Adapters in slots.
    pub loaded: Vec<String>,
    /// Adapters that are being loaded.
    pub loading: Vec<String>,
    /// Running requests.
    pub running: Vec<RunningStatus>,
}

/// Body of `POST /v1/fence`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceOrder {
    /// The fence to accept.
    pub fence: u64,
}

/// Response to a fence order, and to any order whose fence is too low.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FenceAnswer {
    /// The highest fence accepted.
    pub fence: u64,
}

/// Body of `POST /v1/load_lora_adapter`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// `adapter@version`
    pub lora_name: String,
    /// Location of the adapter in the weight store.
    pub lora_path: String,
}

/// Body of `POST /v1/unload_lora_adapter`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnloadOrder {
    /// `adapter@version`
    pub lora_name: String,
}

impl Status {
    /// Converts the status to a report for the owner. Names not of the form `adapter@version`, such
    /// as adapters loaded by hand, are left out.
    pub fn report(&self, asked_at: Time) -> Report {
        let adapters = |names: &[String]| -> Vec<AdapterVersion> {
            names.iter().filter_map(|name| name.parse().ok()).collect()
        };
        let running = self.running.iter().filter_map(|running| {
            let id: ReservationId = running.id.parse().ok()?;
            Some(Running { id, adapter: running.adapter.parse().ok()? })
        });
        Report {
            asked_at,
            epoch: self.epoch,
            fence: Fence(self.fence),
            lease_at: None,
            leaving: self.leaving,
            loaded: adapters(&self.loaded),
            loading: adapters(&self.loading),
            running: running.collect(),
            slots: self.slots,
            batch: self.batch,
        }
    }
}
