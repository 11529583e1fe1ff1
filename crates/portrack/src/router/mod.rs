//! Selection of the engine for a request.

mod choice;
mod engine;
mod prefix;
mod view;
mod wanted;
mod weights;

pub use choice::{Choice, Path};
pub use engine::{BackendKind, BackendServer, EngineState};
pub use prefix::PrefixMemory;
pub use view::View;
pub use wanted::Wanted;
pub use weights::Weights;
