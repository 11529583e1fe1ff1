//! Reservation of a request on an engine; always released when dropped.

use super::core::{Core, Signal};
use crate::node::Input;
use crate::reserve::{Grant, Spec, Token};
use crate::types::{Reason, Refusal};
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Requests a reservation, holds it, and releases it when dropped.
pub struct Reservation {
    core: Rc<Core>,
    token: Token,
    signals: UnboundedReceiver<Signal>,
    held: Option<Grant>,
}

impl Reservation {
    /// Starts to request a reservation.
    pub fn request(core: &Rc<Core>, spec: Spec) -> Self {
        let (token, signals) = core.open_token();
        core.feed(Input::Begin { token, spec });
        Self { core: core.clone(), token, signals, held: None }
    }

    /// Waits for a grant that can still be used in time.
    pub async fn granted(&mut self) -> Result<Grant, Refusal> {
        loop {
            match self.signals.recv().await {
                Some(Signal::Start(grant)) => {
                    self.held = Some(grant.clone());
                    if self.core.now() < grant.start_by {
                        return Ok(grant);
                    }
                    self.not_run();
                }
                Some(Signal::GiveUp(refusal)) => return Err(refusal),
                Some(Signal::Key(..)) => {}
                None => return Err(Refusal::not_run(Reason::NoBackend, "the node is stopping")),
            }
        }
    }

    /// The engine did not run the request: releases the grant and requests another.
    pub fn not_run(&mut self) {
        self.release(false);
    }

    /// Like `not_run`, and reports to the owner that the adapter is not loaded.
    pub fn missing(&mut self) {
        self.release(true);
    }

    fn release(&mut self, missing: bool) {
        let Some(grant) = self.held.take() else { return };
        let (token, engine, id) = (self.token, grant.engine, grant.id);
        self.core.feed(Input::NotRun { token, engine, id, missing });
    }

    /// The request is over; `ended` states that the engine has certainly stopped running it.
    pub fn finish(&mut self, ended: bool) {
        let Some(grant) = self.held.take() else { return };
        let (token, engine, id) = (self.token, grant.engine, grant.id);
        self.core.feed(Input::Finished { token, engine, id, ended });
    }

    /// Cancels the request at the engine, then releases the grant.
    pub async fn cancel(&mut self) {
        let Some(grant) = self.held.clone() else { return };
        let ended = cancel(&self.core, &grant).await;
        self.finish(ended);
    }
}

async fn cancel(core: &Rc<Core>, grant: &Grant) -> bool {
    let Some(server) = core.server(&grant.engine) else { return false };
    core.engines.cancel(&server.address, grant.id).await
}

impl Drop for Reservation {
    /// Runs when the caller disconnects or the request is over.
    fn drop(&mut self) {
        self.core.close_token(self.token);
        let (core, token) = (self.core.clone(), self.token);
        let Some(grant) = self.held.take() else {
            core.feed(Input::Cancel(token));
            return;
        };
        actix_rt::spawn(async move {
            let ended = cancel(&core, &grant).await;
            let (engine, id) = (grant.engine, grant.id);
            core.feed(Input::Finished { token, engine, id, ended });
        });
    }
}
