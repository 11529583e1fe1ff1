//! A backend server as the platform lists it.

use crate::gateway::selection::load::server_hash;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// One life of a backend server.
#[derive(Debug, Clone, PartialEq)]
pub struct Backend {
    /// Names the server; one that starts again may keep it.
    pub id: Rc<str>,
    /// Its start, in milliseconds of its own time of day: tells the lives under one id apart, and is
    /// compared with each other only. `None` where servers do not say it.
    pub born: Option<u64>,
    /// The service it belongs to.
    pub service: Rc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Rc<str>,
    /// Requests at once.
    pub slots: usize,
    /// It says that it is leaving.
    pub draining: bool,
    /// The time it has left, if it says so.
    pub leaves_in: Option<Duration>,
    /// How much longer it is slow from its start, as it stood when the entry was written.
    pub cold_for: Duration,
    /// Orders that it had taken in this life when the entry was written.
    pub orders_taken: u64,
    /// It says what it holds, as servers with models have to.
    pub reports_models: bool,
    /// What it holds.
    pub models: Vec<HeldModel>,
}

impl Backend {
    /// The short name of this life in messages between daemons: what is told of a former one fits nothing.
    pub fn incarnation_hash(&self) -> u32 {
        incarnation_hash(&self.id, self.born)
    }

    /// What it holds of a model.
    pub fn model(&self, name: &str) -> Option<&HeldModel> {
        self.models.iter().find(|model| &*model.name == name)
    }
}

/// The short name of one life of a server; of its only one where servers do not tell lives apart.
pub fn incarnation_hash(id: &str, born: Option<u64>) -> u32 {
    match born {
        None => server_hash(id),
        Some(born) => xxhash_rust::xxh3::xxh3_64_with_seed(id.as_bytes(), born) as u32,
    }
}

/// A base model at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldModel {
    /// Its name.
    pub name: Rc<str>,
    /// The adapters loaded for it.
    pub adapters: Vec<HeldAdapter>,
}

/// An adapter at a server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldAdapter {
    /// Its name.
    pub name: Rc<str>,
    /// Its version.
    pub version: u64,
}
