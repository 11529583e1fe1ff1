//! Model engines: the calls to them and their response streams.

mod call;
mod chunk;
mod client;
mod status;
mod stream;

pub use call::{Call, Endpoint};
pub use chunk::{Chunk, ChunkCheck, ChunkVerdict};
pub use client::{EngineClient, OpenError, ResumeError};
pub use status::{FenceAnswer, FenceOrder, LoadOrder, RunningStatus, Status, UnloadOrder};
pub use stream::{ChunkStream, StreamError};
