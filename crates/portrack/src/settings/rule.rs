//! Rules that allow adapter versions to serve requests.

use super::AdapterSpec;
use crate::types::VersionName;
use serde::{Deserialize, Serialize};

/// Allows a version to serve requests. A condition that is left out matches everything.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The version.
    pub version: VersionName,
    /// Its share of the requests without a version, relative to the other matching rules. With 0
    /// it serves only requests that name the version.
    #[serde(default = "default_share")]
    pub share: u32,
    /// Only requests of this service.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<String>,
    /// Only requests that enter in this data hall.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hall: Option<String>,
    /// Only on engines of this node class.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<String>,
}

fn default_share() -> u32 {
    100
}

/// Result of applying the rules to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The version it runs on.
    pub version: VersionName,
    /// The node class that it is restricted to, if any.
    pub class: Option<String>,
}

impl Rule {
    fn fits(&self, service: &str, hall: &str) -> bool {
        let same = |mine: &Option<String>, its: &str| mine.as_deref().is_none_or(|m| m == its);
        same(&self.service, service) && same(&self.hall, hall)
    }
}

impl AdapterSpec {
    /// Selects the version for a request. `named` is the version that the request names; `draw` is a
    /// random number that selects between shares.
    pub fn route(
        &self,
        named: Option<&VersionName>,
        service: &str,
        hall: &str,
        draw: u64,
    ) -> Option<Route> {
        let fitting = self.rules.iter().filter(|rule| rule.fits(service, hall));
        if let Some(named) = named {
            return fitting.into_iter().find(|rule| rule.version == *named).map(Rule::route);
        }
        let fitting: Vec<&Rule> = fitting.collect();
        let total: u64 = fitting.iter().map(|rule| u64::from(rule.share)).sum();
        let mut left = draw.checked_rem(total)?;
        for rule in fitting {
            let share = u64::from(rule.share);
            if left < share {
                return Some(rule.route());
            }
            left -= share;
        }
        None
    }
}

impl Rule {
    fn route(&self) -> Route {
        Route { version: self.version.clone(), class: self.class.clone() }
    }
}
