//! Asks which server answers at an address.

use super::connection::{Connection, ExchangeError};
use super::response::ResponseHead;
use crate::gateway::dialect::{Dialect, ResponseMeta};
use std::io::Write as _;

/// A question to a server's health endpoint, to be answered by this server alone.
pub struct IdentityCheck<'a> {
    dialect: &'a dyn Dialect,
    server: &'a str,
    health_path: &'a str,
}

impl<'a> IdentityCheck<'a> {
    /// The question whether a server answers.
    pub fn new(dialect: &'a dyn Dialect, server: &'a str, health_path: &'a str) -> Self {
        Self { dialect, server, health_path }
    }

    /// Asks on a connection, and returns whether the server has answered. An error is none of it.
    pub(in crate::gateway) async fn ask(
        &self,
        connection: &mut Connection,
    ) -> Result<bool, ExchangeError> {
        connection.send(&self.encode()).await?;
        let head: ResponseHead = connection.read_head(self.dialect).await?;
        Ok(self.is_proved_by(head.status.as_u16(), &head.meta))
    }

    fn encode(&self) -> Vec<u8> {
        let (name, value) = self.dialect.order_target(self.server);
        let mut bytes = Vec::with_capacity(128);
        write!(
            bytes,
            "GET {} HTTP/1.1\r\nhost: {}\r\n{name}: {value}\r\nconnection: close\r\n\r\n",
            self.health_path, self.server
        )
        .expect("writing to memory does not fail");
        bytes
    }

    /// Whether an answer is the server's: it names it, or rejects the question without a name, which other servers
    /// do with a status of their own. One that belongs to a request proves nothing.
    pub fn is_proved_by(&self, status: u16, meta: &ResponseMeta) -> bool {
        let is_misdirected = status == 421;
        match &meta.instance {
            Some(instance) => instance == self.server,
            None => meta.not_run && !is_misdirected && meta.request_id.is_none(),
        }
    }
}
