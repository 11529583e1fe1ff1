//! Idempotency keys: the same key at two entry nodes lets one request through.

mod keeper;
mod pairs;

pub use keeper::{Keeper, KeeperOutput, USE_WITHIN};
pub use pairs::{Halls, PairHistory};
