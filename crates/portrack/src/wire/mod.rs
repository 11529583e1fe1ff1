//! Messages between daemons: typed, bounded, versioned and authenticated datagrams.

mod claim;
mod codec;
mod envelope;
mod error;
mod frame;
mod heartbeat;
mod key;
mod kind;
mod message;
mod permit;
mod replay;

pub use claim::{KeyClaim, KeyReply, KeyVerdict};
pub use codec::{MAX_DATAGRAM, VERSION, cluster_hash, open, seal};
pub use envelope::Envelope;
pub use error::WireError;
pub use frame::{FetchEntry, FetchReply, FetchRequest, MAX_FRAME, open_frame, seal_frame};
pub use heartbeat::{Heartbeat, MemberState, SettingsMark};
pub use key::{Key, KeyRing, KeyRingError};
pub use kind::Kind;
pub use message::Message;
pub use permit::{PermitAsk, PermitRef};
pub use replay::ReplayWindow;
