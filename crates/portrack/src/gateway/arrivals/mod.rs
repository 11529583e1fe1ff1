//! Grants arrivals at servers. Each server has one granter, a daemon that tracks the requests in
//! flight there.
//!
//! Inputs are requests for a grant (prompt tokens, priority, organisation, time left) and reports
//! of how requests started or failed. The answer is a grant, a wait of bounded length, or a refusal
//! with a retry delay. A server that may be cold must never receive more requests per second than
//! it can take, whoever sends and whatever messages are lost. For prefill limits, missing
//! information may delay a request but never refuses it. [`Granter`] is a state machine without
//! I/O; [`Grants`] sends and answers requests in datagrams. [`PendingCalls`], [`RetryScheduler`]
//! and [`choose_evicted`] are shared with the dispatchers of small services.

mod cold;
mod fairness;
mod fallback_shares;
mod granter;
mod grants;
mod guard;
mod message;
mod pending_calls;
mod prefill_rate;
mod prefill_window;
mod quantile;
mod retry_scheduler;
mod rules;
mod timings;

pub use cold::{ColdBound, ColdRule, ColdWindow};
pub use fairness::choose_evicted;
pub use fallback_shares::FallbackShares;
pub use granter::{Granter, ServerRule};
pub use grants::{GrantDeps, GrantMetrics, GrantOutcome, GrantRequirements, Grants};
pub use guard::{GrantGuard, WaitingGrant};
pub use message::{GrantAnswer, GrantEnd, GrantMessage, GrantReply, GrantRequest};
pub use pending_calls::{ANSWER_TIMEOUT, CallId, PendingCalls, next_answer};
pub use prefill_rate::PrefillRate;
pub use prefill_window::{PrefillLimit, PrefillWindow};
pub use quantile::Quantile;
pub use retry_scheduler::RetryScheduler;
pub use timings::GrantTimings;
