//! Which engine takes a request.

mod choice;
mod engine;
mod prefix;
mod view;
mod want;
mod weights;

pub use choice::{Choice, Path};
pub use engine::{BackendKind, BackendServer, EngineState};
pub use prefix::PrefixMemory;
pub use view::View;
pub use want::Wanted;
pub use weights::Weights;
