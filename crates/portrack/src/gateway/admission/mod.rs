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

pub use blind::BlindShare;
pub use bucket::TokenBucket;
pub use credential::{Credential, KeyDigest};
pub use keys::{Admitted, KeyRules, organisation_of};
pub use ledger::{Ledger, Verdict};
pub use organisations::{
    Organisation, OrganisationMark, Organisations, Quota, QuotaUnit, RevokedKeys,
};
pub use pace::Pace;
pub use proof::StoreProof;
pub(in crate::gateway) use quotas::TOLD_EVERY;
pub use quotas::{
    Charge, QuotaAnswer, QuotaAsk, QuotaCount, QuotaCounts, QuotaMessage, QuotaReturned, Quotas,
};
