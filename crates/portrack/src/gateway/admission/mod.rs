//! Admission control: API keys, the freshness of the configuration, and quotas.
//!
//! Input is a request's credential, the configuration, and the counts of other daemons; output is the
//! organisation that a request belongs to, or the reason why it is refused. A revoked key must not be
//! accepted anywhere once its bound has passed, and no plaintext key goes further than
//! [`KeyDigest::of`]. All types but [`Quotas`] are state machines without I/O.

mod bucket;
mod credential;
mod fallback;
mod freshness;
mod keys;
mod ledger;
mod organisations;
mod quotas;
mod rate;

pub use bucket::TokenBucket;
pub use credential::{Credential, KeyDigest};
pub use fallback::FallbackShare;
pub use freshness::FreshnessProof;
pub use keys::{AuthenticatedCaller, KeyFreshnessRules, authenticate};
pub use ledger::{QuotaDecision, QuotaLedger};
pub use organisations::{
    Organisation, OrganisationHash, Organisations, Quota, QuotaUnit, RevokedKeys,
};
pub(in crate::gateway) use quotas::COUNTS_INTERVAL;
pub use quotas::{
    Charge, QuotaAnswer, QuotaCount, QuotaCounts, QuotaMessage, QuotaRefunds, QuotaRequest, Quotas,
};
pub use rate::DecayingRate;
