//! Implementations of the subcommands.

mod adapter;
mod apply;
mod audit;
mod settings;
mod status;
mod trace;

pub use adapter::adapter;
pub use apply::apply;
pub use audit::audit;
pub use settings::{explain, get, set, unset};
pub use status::{drain, status};
pub use trace::trace;
