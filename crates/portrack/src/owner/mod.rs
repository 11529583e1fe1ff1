//! The owner of a model engine: the only daemon that orders loads and admits requests there.
//!
//! The highest fence that the engine has accepted acts as the lock. An owner grants reservations
//! only while a recent status report showed its own fence. A new owner unloads nothing until every
//! grant of the previous owner has either started, and so is reported as running, or has expired.

mod answer;
mod ask;
mod end;
mod engine;
mod event;
mod grant;
mod load_time;
mod load_wait;
mod loading;
mod order;
mod pin;
mod queue;
mod reconcile;
mod report;
mod slot;
mod tuning;
mod view;

pub use answer::{Answer, Verdict};
pub use ask::Ask;
pub use end::End;
pub use engine::{EngineOwner, Lock};
pub use event::{Event, Output};
pub use load_time::LoadTimeAverage;
pub use load_wait::LoadWaitEstimator;
pub use order::{Order, OrderId, OrderKind, OrderResult};
pub use pin::Pin;
pub use queue::{Queue, WaitingRequest};
pub use report::{Report, Running};
pub use slot::{Slot, SlotState};
pub use tuning::Tuning;
pub use view::{Holdings, Load};
