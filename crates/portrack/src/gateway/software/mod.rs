//! Software versions of servers: which version began a stream, so that it goes on only there, and
//! which versions streams may begin at.

pub mod message;
pub mod origin;
pub mod origin_table;
pub mod record;
pub mod registry;
pub mod replicas;
pub mod resolver;
mod resuming;
mod writing;
