//! Where a stream began.

use crate::gateway::fleet::backend::Backend;
use crate::gateway::quarantine::fingerprint::{FingerprintInput, RequestFingerprint};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;

/// The service and the software version whose server made a stream's first event. What two versions
/// write does not fit together, so the stream goes on only there.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Origin {
    /// The service.
    pub service: Rc<str>,
    /// The software version. Versions are equal or not; they have no order.
    pub software: Rc<str>,
}

impl Origin {
    /// The origin of a stream whose first event this server makes.
    pub fn of(backend: &Backend) -> Self {
        Self { service: backend.service.clone(), software: backend.software.clone() }
    }

    /// Returns true if the stream may go on at a server. A version without a name equals none.
    pub fn permits(&self, backend: &Backend) -> bool {
        !self.software.is_empty()
            && self.service == backend.service
            && self.software == backend.software
    }
}

/// Identifies the attempt of a caller that began a stream. Callers choose the ids of their attempts,
/// so the caller and the request are part of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct StreamKey(RequestFingerprint);

impl StreamKey {
    /// The key of an attempt with an id; the body of `request` is ignored.
    pub fn of(request: &FingerprintInput<'_>, attempt: &str) -> Self {
        Self(RequestFingerprint::of(&FingerprintInput { body: attempt.as_bytes(), ..*request }))
    }

    /// The hash that selects the daemons that keep the origin.
    pub fn routing_key(self) -> u64 {
        self.0.routing_key()
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, out)
    }
}
