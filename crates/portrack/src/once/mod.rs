//! Idempotency keys: of several requests with the same key, at any entry nodes, only one is sent.

mod keeper;
mod pairs;

pub use keeper::{Keeper, KeeperOutput, USE_WITHIN};
pub use pairs::{Halls, PairHistory};
