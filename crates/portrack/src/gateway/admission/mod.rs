//! Deciding whose requests are let in: keys, proof that the configuration is fresh, quotas.
//!
//! In come what a request shows, the configuration, and what other daemons have counted; out go the
//! organisation a request belongs to, or why it is refused. A key that was taken away must work
//! nowhere after its bound, and no key in clear goes further than [`KeyDigest::of`]. All but
//! [`Quotas`] are state machines without sockets.

mod blind;
mod bucket;
mod credential;
mod keys;
mod ledger;
mod organisations;
mod pace;
mod proof;
mod quotas;

pub use blind::FallbackShare;
pub use bucket::TokenBucket;
pub use credential::{Credential, KeyDigest};
pub use keys::{AuthenticatedCaller, KeyFreshnessRules, authenticate};
pub use ledger::{QuotaDecision, QuotaLedger};
pub use organisations::{
    Organisation, OrganisationHash, Organisations, Quota, QuotaUnit, RevokedKeys,
};
pub use pace::DecayingRate;
pub use proof::FreshnessProof;
pub(in crate::gateway) use quotas::COUNTS_INTERVAL;
pub use quotas::{
    Charge, QuotaAnswer, QuotaCount, QuotaCounts, QuotaMessage, QuotaRefunds, QuotaRequest, Quotas,
};
