//! Messages between daemons: typed, bounded, versioned and authenticated datagrams.

mod codec;
mod envelope;
mod error;
mod frame;
mod key;
mod message;
mod replay;

pub use codec::{MAX_DATAGRAM, VERSION, cluster_mark, open, seal};
pub use envelope::Envelope;
pub use error::WireError;
pub use frame::{FetchAsk, FetchEntry, FetchReply, MAX_FRAME, open_frame, seal_frame};
pub use key::{Key, KeyRing, KeyRingError};
pub use message::{Heartbeat, KeyClaim, KeyReply, KeyVerdict, Kind, MemberState, Message};
pub use message::{PermitAsk, PermitRef, SettingsMark};
pub use replay::ReplayWindow;
