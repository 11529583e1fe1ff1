//! Value types shared by all modules.

mod adapter;
mod class;
mod clock;
mod fence;
mod in_flight;
mod instance;
mod name;
mod refusal;
mod reservation;
mod run;
mod time;

pub use adapter::{AdapterVersion, ParseAdapterError};
pub use class::Class;
pub use clock::{BootClock, Clock, ManualClock};
pub use fence::{Fence, FenceMaker};
pub use in_flight::{InFlight, InFlightGuard};
pub use instance::Instance;
pub use name::{AdapterName, BaseName, EngineName, HallName, NameError, NodeName, RegionName};
pub use name::{ServiceName, VersionName};
pub use refusal::{Reason, Refusal};
pub use reservation::ReservationId;
pub use run::Run;
pub use time::Time;
