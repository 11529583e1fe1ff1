//! HTTP server for callers and operators.

pub mod headers;
mod meta;
mod problem;
mod reply;
mod sent;
mod server;

pub use meta::Meta;
pub use problem::{problem, status_of};
pub use reply::{Reply, ReplyBody, events, json, plain};
pub use sent::certainly_not_sent;
pub use server::{Handler, Limits, read_body, serve};
