//! Plain services, which run beside the model engines.

use serde::{Deserialize, Serialize};

/// A plain service that requests are routed to by path.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainService {
    /// Path prefix: requests to this path or below it are routed to the service.
    pub path: String,
    /// Methods whose requests may be sent more than once.
    #[serde(default = "safe_methods")]
    pub repeatable: Vec<String>,
}

fn safe_methods() -> Vec<String> {
    ["GET", "HEAD", "OPTIONS"].map(String::from).to_vec()
}

impl PlainService {
    /// Validates the service and returns the problem found, if any.
    pub fn problem(&self) -> Option<String> {
        let reserved = ["/v1", "/healthz", "/readyz"];
        if !self.path.starts_with('/') || self.path.len() < 2 || self.path.ends_with('/') {
            return Some(format!("path {:?} must begin and not end with '/'", self.path));
        }
        let taken = reserved.iter().find(|r| self.path == **r || self.path.starts_with("/v1/"));
        taken.map(|_| format!("path {:?} is portrack's own", self.path))
    }

    /// True if a request with this path is routed to the service.
    pub fn serves(&self, path: &str) -> bool {
        let rest = path.strip_prefix(self.path.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
    }

    /// True if a request with this method may be sent again.
    pub fn is_repeatable(&self, method: &str) -> bool {
        self.repeatable.iter().any(|m| m.eq_ignore_ascii_case(method))
    }
}
