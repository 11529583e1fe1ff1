//! Asks which server answers at an address.

use super::connection::{Connection, ExchangeError};
use super::response::ResponseHead;
use crate::gateway::dialect::{Dialect, ResponseMeta};
use std::io::Write as _;

/// What an answer tells about who gave it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Identity {
    /// The server that was asked.
    Confirmed,
    /// Another server.
    Other,
    /// It names no server.
    Unnamed,
}

/// Questions to a server that only this server answers.
pub struct IdentityCheck<'a> {
    dialect: &'a dyn Dialect,
    server: &'a str,
    health_path: &'a str,
    /// Path of its report, if it has an engine.
    report_path: Option<&'a str>,
}

impl<'a> IdentityCheck<'a> {
    /// The questions to a server with these paths.
    pub fn new(
        dialect: &'a dyn Dialect,
        server: &'a str,
        health_path: &'a str,
        report_path: Option<&'a str>,
    ) -> Self {
        Self { dialect, server, health_path, report_path }
    }

    /// The paths to ask for, in order; the next one if the answer names no server.
    pub fn paths(&self) -> impl Iterator<Item = &'a str> {
        std::iter::once(self.health_path).chain(self.report_path)
    }

    /// Asks for a path on a connection. An error tells nothing.
    pub(in crate::gateway) async fn ask(
        &self,
        connection: &mut Connection,
        path: &str,
    ) -> Result<Identity, ExchangeError> {
        connection.send(&self.encode(path)).await?;
        let head: ResponseHead = connection.read_head(self.dialect).await?;
        Ok(self.identity(path, head.status.as_u16(), &head.meta))
    }

    fn encode(&self, path: &str) -> Vec<u8> {
        let (name, value) = self.dialect.order_target(self.server);
        let mut bytes = Vec::with_capacity(128);
        write!(
            bytes,
            "GET {path} HTTP/1.1\r\nhost: {}\r\n{name}: {value}\r\nconnection: close\r\n\r\n",
            self.server
        )
        .expect("writing to memory does not fail");
        bytes
    }

    /// Who has answered. Servers that are not meant answer 421; so a rejection with another status, or a report, comes
    /// from the one that is. An answer to a request proves nothing.
    pub fn identity(&self, path: &str, status: u16, meta: &ResponseMeta) -> Identity {
        let is_report = self.report_path == Some(path) && status == 200;
        let is_rejection = meta.not_run && status != 421;
        match &meta.instance {
            Some(instance) if instance == self.server => Identity::Confirmed,
            Some(_) => Identity::Other,
            None if meta.request_id.is_some() => Identity::Unnamed,
            None if is_report || is_rejection => Identity::Confirmed,
            None => Identity::Unnamed,
        }
    }
}
