//! The owner of one model engine: the only one that orders loads and admits requests there.
//!
//! The engine's highest accepted fence is the lock. An owner grants reservations only while a
//! recent status report showed its own fence, and a new owner unloads nothing until every grant
//! of its predecessor has either started, and so shows as running, or has lapsed.

mod answer;
mod ask;
mod end;
mod engine;
mod event;
mod grant;
mod load;
mod loading;
mod order;
mod pin;
mod queue;
mod reconcile;
mod report;
mod slot;
mod tuning;
mod turns;
mod view;

pub use answer::{Answer, Verdict};
pub use ask::Ask;
pub use end::End;
pub use engine::{EngineOwner, Lock};
pub use event::{Event, Output};
pub use load::LoadTimes;
pub use order::{Order, OrderId, OrderKind, OrderResult};
pub use pin::Pin;
pub use queue::{Queue, Waiting};
pub use report::{Report, Running};
pub use slot::{Slot, SlotState};
pub use tuning::Tuning;
pub use turns::LoadTurns;
pub use view::{Holdings, Load};
