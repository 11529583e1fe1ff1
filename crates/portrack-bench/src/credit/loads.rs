//! Which loads of adapters a day made, and the least there could have been.

use portrack::gateway::log_field;
use std::collections::{BTreeMap, BTreeSet};

/// Loads of a day. Lines have to come in the order of their times.
#[derive(Debug, Clone, Default)]
pub struct Loads {
    asked: BTreeSet<String>,
    /// Where each adapter is held, and where it was held at which version.
    held: BTreeMap<String, BTreeSet<String>>,
    held_once: BTreeMap<String, BTreeMap<String, String>>,
    counts: BTreeMap<&'static str, u64>,
}

impl Loads {
    /// Takes a request's line in.
    pub fn take_request(&mut self, line: &str) {
        if let Some(adapter) = log_field(line, "adapter").filter(|name| !name.starts_with('"')) {
            self.asked.insert(adapter.to_owned());
        }
    }

    /// A server is gone with all that it held.
    pub fn take_server_gone(&mut self, line: &str) {
        let Some(server) = log_field(line, "server") else { return };
        for servers in self.held.values_mut() {
            servers.remove(server);
        }
        for servers in self.held_once.values_mut() {
            servers.remove(server);
        }
    }

    /// Takes an order's line in.
    pub fn take_order(&mut self, line: &str) {
        let field = |key| log_field(line, key).unwrap_or_default();
        let (server, adapter, version) = (field("server"), field("adapter"), field("version"));
        if field("end") != "Done" || adapter.is_empty() || adapter.starts_with('"') {
            return;
        }
        if let Some(servers) = self.held.get_mut(field("evicted")) {
            servers.remove(server);
        }
        let kind = self.kind(server, adapter, version, field("cold") == "true");
        *self.counts.entry(kind).or_default() += 1;
        self.held.entry(adapter.to_owned()).or_default().insert(server.to_owned());
        let once = self.held_once.entry(adapter.to_owned()).or_default();
        once.insert(server.to_owned(), version.to_owned());
    }

    fn kind(&self, server: &str, adapter: &str, version: &str, cold: bool) -> &'static str {
        let once = self.held_once.get(adapter);
        let elsewhere = self
            .held
            .get(adapter)
            .is_some_and(|servers| servers.iter().any(|other| other != server));
        let known = once.is_some_and(|once| once.values().any(|held| held == version));
        match (cold, known, elsewhere) {
            (false, ..) => "from what the server has at hand",
            (true, false, _) => "fetched: the first of this version",
            (true, true, true) => "fetched: a copy beside another server's",
            (true, true, false) => "fetched: a server has it at hand, or had",
        }
    }

    /// The kinds of loads, the most frequent first, and the least there could have been.
    pub fn lines(&self) -> Vec<String> {
        if self.counts.is_empty() {
            return Vec::new();
        }
        let mut counts: Vec<_> = self.counts.iter().collect();
        counts.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        let mut lines: Vec<String> =
            counts.into_iter().map(|(kind, count)| format!("{count:>8}  loads {kind}")).collect();
        lines.push(format!("{:>8}  adapters asked for: the least fetches", self.asked.len()));
        lines
    }
}
