//! A backend server as the platform lists it.

use crate::gateway::selection::load::server_hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// One incarnation of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// The server's id. A server that restarts may keep it.
    pub id: Rc<str>,
    /// Start time in milliseconds of the server's own clock. Distinguishes the incarnations under
    /// one id, and is only ever compared with other start times of that server. `None` if the
    /// servers do not report it.
    pub born: Option<u64>,
    /// The service it belongs to.
    pub service: Rc<str>,
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Rc<str>,
    /// Version of its software. Servers of several versions may run side by side in a service.
    pub software: Rc<str>,
    /// How many requests it runs at once.
    pub slots: usize,
    /// The server reports that it is leaving.
    pub draining: bool,
    /// The time until it leaves, if it reports that.
    pub leaves_in: Option<Duration>,
    /// How much longer it is slow after its start, at the time the entry was written.
    pub cold_for: Duration,
    /// Number of orders that this incarnation had accepted when the entry was written.
    pub orders_taken: u64,
    /// The entry lists the models that the server holds, which is required of servers with engines.
    pub reports_models: bool,
    /// The models that it holds.
    pub models: Vec<HeldModel>,
}

/// Length in bytes from which an id is hashed with the start time as the seed, as by all builds. XXH3 combines a
/// shorter input with its seed so that ids and times which differ in few bits have equal hashes.
const MIN_SEEDED_LENGTH: usize = 4;

impl Backend {
    /// Hash that identifies this incarnation in messages between daemons. Messages about an earlier
    /// incarnation match no server.
    pub fn incarnation_hash(&self) -> u32 {
        incarnation_hash(&self.id, self.born)
    }

    /// Returns the entry of a model that the server holds.
    pub fn model(&self, name: &str) -> Option<&HeldModel> {
        self.models.iter().find(|model| &*model.name == name)
    }
}

/// Hash of one incarnation of a server, or of its id alone if servers do not report their start.
pub fn incarnation_hash(id: &str, born: Option<u64>) -> u32 {
    match born {
        None => server_hash(id),
        Some(born) if id.len() < MIN_SEEDED_LENGTH => {
            let bytes = [id.as_bytes(), &born.to_le_bytes()].concat();
            xxhash_rust::xxh3::xxh3_64(&bytes) as u32
        }
        Some(born) => xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), born) as u32,
    }
}

/// A base model held by a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Its name.
    pub name: Rc<str>,
    /// The adapters loaded for it.
    pub adapters: Vec<HeldAdapter>,
}

/// An adapter held by a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAdapter {
    /// Its name.
    pub name: Rc<str>,
    /// Its version.
    pub version: u64,
}
