//! The store's record of the software versions that streams may have begun at. It outlives a restart
//! of all daemons.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the record.
pub const SOFTWARE_KEY: &str = "portrack/software/versions";

/// Whether streams may begin at a software version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum VersionState {
    /// Not yet: some daemon may not know of it.
    Announced,
    /// They may.
    InUse,
}

/// The software versions of a service.
pub type ServiceVersions = BTreeMap<String, VersionState>;

/// The software versions of all services.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    /// By service. A service without versions is left out.
    pub services: BTreeMap<String, ServiceVersions>,
    /// No stream that a caller may still take up again began at a version that is not listed.
    pub is_complete: bool,
}

impl SoftwareRecord {
    /// Encodes the record for the store.
    pub fn bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("encoding a record cannot fail")
    }

    /// Decodes a record; `None` if the bytes are not one.
    pub fn read(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }

    /// The state of a service's version; `None` if it is not listed.
    pub fn state(&self, service: &str, software: &str) -> Option<VersionState> {
        self.services.get(service)?.get(software).copied()
    }
}
