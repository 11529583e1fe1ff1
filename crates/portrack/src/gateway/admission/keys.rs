//! Authentication by API keys, as far as the configuration is known to be fresh enough.

use super::credential::Credential;
use super::freshness::FreshnessProof;
use super::organisations::{Organisation, RevokedKeys};
use crate::gateway::fleet::config::{FleetConfig, Route};
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Safety margin within the time after which a revoked key must not be accepted: while the store
/// compacts its history, a watch may report for a second that nothing changed although something did.
const PROOF_RESERVE: Duration = Duration::from_millis(1_000);
/// Retry delay if the proof is too old. Daemons switch to a peer within half of it.
const PROOF_RETRY: Duration = Duration::from_millis(500);

/// Maximum ages of the proof that the configuration is fresh.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyFreshnessRules {
    /// For accepting a key; unlimited if `None`.
    pub keyed: Option<Duration>,
    /// For stating that a key or a route does not exist: it may be newer than the proof.
    pub unknown: Duration,
}

impl KeyFreshnessRules {
    /// The rules if a revoked key must be refused everywhere after `revoked_within`, and a
    /// configuration is in force after `in_force_within`.
    pub fn new(revoked_within: Option<Duration>, in_force_within: Duration) -> Self {
        let keyed = revoked_within.map(|within| within.saturating_sub(PROOF_RESERVE));
        Self { keyed, unknown: in_force_within }
    }

    /// Whether the proof is fresh enough to accept keys.
    pub fn accepts_keys(&self, now: Time, proof: &FreshnessProof) -> bool {
        self.keyed.is_none_or(|bound| proof.is_within(now, bound))
    }

    /// The refusal for something that is not in the configuration: with `reason` if the proof is fresh
    /// enough, otherwise one to be retried.
    pub fn unknown(&self, now: Time, proof: &FreshnessProof, reason: RefusalReason) -> Refused {
        match proof.is_within(now, self.unknown) {
            true => Refused::new(reason, None),
            false => Refused::new(RefusalReason::NoProof, Some(PROOF_RETRY)),
        }
    }
}

/// The caller of a request whose credential was accepted.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AuthenticatedCaller {
    /// The organisation that the key belongs to.
    pub organisation: Option<Rc<Organisation>>,
    /// Whether this deployment uses keys.
    pub keyed: bool,
}

/// Authenticates a request on a route by its credential, or refuses it.
pub fn authenticate(
    now: Time,
    config: &FleetConfig,
    route: &Route,
    credential: Credential,
    revoked: &RevokedKeys,
    rules: &KeyFreshnessRules,
    proof: &FreshnessProof,
) -> Result<AuthenticatedCaller, Refused> {
    let Some(organisations) = &config.organisations else {
        return Ok(AuthenticatedCaller::default());
    };
    let accepted = rules.accepts_keys(now, proof);
    let organisation = match credential {
        Credential::Key(key) if accepted => organisations.by_key(&key).cloned(),
        _ => None,
    };
    if route.public || organisation.is_some() {
        return Ok(AuthenticatedCaller { organisation, keyed: true });
    }
    match credential {
        Credential::Missing => Err(Refused::new(RefusalReason::MissingKey, None)),
        Credential::Multiple => Err(Refused::new(RefusalReason::MultipleKeys, None)),
        Credential::Malformed => Err(Refused::new(RefusalReason::MalformedKey, None)),
        Credential::Key(_) if !accepted => {
            Err(Refused::new(RefusalReason::NoProof, Some(PROOF_RETRY)))
        }
        Credential::Key(key) if revoked.contains(&key) => {
            Err(rules.unknown(now, proof, RefusalReason::RevokedKey))
        }
        Credential::Key(_) => Err(rules.unknown(now, proof, RefusalReason::UnknownKey)),
    }
}
