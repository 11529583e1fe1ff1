//! Arrivals at a server are granted: one daemon a server, its granter, knows what is under way there.
//!
//! In come asks for a server (prompt tokens, urgency, organisation, time left) and how requests began or
//! failed there; out go a grant, a wait of bounded length, or a refusal with the time to come back. A
//! server that may be cold must never get more in a second than it bears, whoever sends and whatever is
//! lost; for what a server reads, doubt costs time, never a request. [`Granter`] is a state machine
//! without sockets; [`Grants`] asks and answers by datagrams; [`PendingCalls`], [`RetryScheduler`] and [`choose_evicted`]
//! are shared with the dispatchers of small services.

mod asks;
mod cold;
mod fairness;
mod granter;
mod grants;
mod guard;
mod knowing;
mod message;
mod note;
mod pace;
mod promises;
mod quantile;
mod reading;
mod share;

pub use asks::{ANSWER_TIMEOUT, CallId, PendingCalls, next_answer};
pub use cold::{ColdBound, ColdRule, ColdWindow};
pub use fairness::choose_evicted;
pub use granter::{Granter, ServerRule};
pub use grants::{GrantDeps, GrantMetrics, GrantNeed, GrantOutcome, Grants};
pub use guard::{GrantGuard, WaitingGrant};
pub use message::{GrantAnswer, GrantEnd, GrantMessage, GrantReply, GrantRequest};
pub use note::GrantTimings;
pub use pace::PrefillRate;
pub use promises::RetryScheduler;
pub use quantile::Quantile;
pub use reading::{PrefillLimit, PrefillWindow};
pub use share::FallbackShares;
