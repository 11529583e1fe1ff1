//! Whose request it is, and whether that may be believed now.

use super::credential::Credential;
use super::organisations::{Organisation, RevokedKeys};
use super::proof::FreshnessProof;
use crate::gateway::fleet::config::{FleetConfig, Route};
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::types::Time;
use std::rc::Rc;
use std::time::Duration;

/// Kept back of the time within which a key must have ceased to work: while the store drops its
/// history, a watch may tell for a second that nothing changed although something did.
const PROOF_RESERVE: Duration = Duration::from_millis(1_000);
/// When to come back if the proof is too old. Daemons turn to a peer within half of that.
const PROOF_RETRY: Duration = Duration::from_millis(500);

/// How old proof of the configuration may be.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyFreshnessRules {
    /// For a request that a key opens; any age if left out.
    pub keyed: Option<Duration>,
    /// For saying that a key or a route does not exist: it may be newer than the proof.
    pub unknown: Duration,
}

impl KeyFreshnessRules {
    /// The rules where a key must work nowhere `revoked_within` after it was taken away, and a
    /// configuration is in force `in_force_within`.
    pub fn new(revoked_within: Option<Duration>, in_force_within: Duration) -> Self {
        let keyed = revoked_within.map(|within| within.saturating_sub(PROOF_RESERVE));
        Self { keyed, unknown: in_force_within }
    }

    /// True if a key may be believed in.
    pub fn accepts_keys(&self, now: Time, proof: &FreshnessProof) -> bool {
        self.keyed.is_none_or(|bound| proof.is_within(now, bound))
    }

    /// A refusal of what is not in the configuration, if that is sure enough; else one that asks to
    /// come back.
    pub fn unknown(&self, now: Time, proof: &FreshnessProof, reason: RefusalReason) -> Refused {
        match proof.is_within(now, self.unknown) {
            true => Refused::new(reason, None),
            false => Refused::new(RefusalReason::NoProof, Some(PROOF_RETRY)),
        }
    }
}

/// A request that the keys let in.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AuthenticatedCaller {
    /// Whose key it showed.
    pub organisation: Option<Rc<Organisation>>,
    /// Keys are shown in this deployment.
    pub keyed: bool,
}

/// The organisation of a request on a route, or why it is refused.
pub fn authenticate(
    now: Time,
    config: &FleetConfig,
    route: &Route,
    shown: Credential,
    revoked: &RevokedKeys,
    rules: &KeyFreshnessRules,
    proof: &FreshnessProof,
) -> Result<AuthenticatedCaller, Refused> {
    let Some(organisations) = &config.organisations else {
        return Ok(AuthenticatedCaller::default());
    };
    let believed = rules.accepts_keys(now, proof);
    let holder = match shown {
        Credential::Key(key) if believed => organisations.by_key(&key).cloned(),
        _ => None,
    };
    if route.public || holder.is_some() {
        return Ok(AuthenticatedCaller { organisation: holder, keyed: true });
    }
    match shown {
        Credential::Missing => Err(Refused::new(RefusalReason::MissingKey, None)),
        Credential::Multiple => Err(Refused::new(RefusalReason::MultipleKeys, None)),
        Credential::Malformed => Err(Refused::new(RefusalReason::MalformedKey, None)),
        Credential::Key(_) if !believed => {
            Err(Refused::new(RefusalReason::NoProof, Some(PROOF_RETRY)))
        }
        Credential::Key(key) if revoked.holds(&key) => {
            Err(rules.unknown(now, proof, RefusalReason::RevokedKey))
        }
        Credential::Key(_) => Err(rules.unknown(now, proof, RefusalReason::UnknownKey)),
    }
}
