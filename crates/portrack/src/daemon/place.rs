//! A request's place on an engine, given back whatever happens.

use super::core::{Core, Signal};
use crate::node::Input;
use crate::reserve::{Grant, Spec, Token};
use crate::types::{Reason, Refusal};
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedReceiver;

/// Seeks a place, holds it, and gives it back when dropped.
pub struct Place {
    core: Rc<Core>,
    token: Token,
    signals: UnboundedReceiver<Signal>,
    held: Option<Grant>,
}

impl Place {
    /// Begins to seek.
    pub fn seek(core: &Rc<Core>, spec: Spec) -> Self {
        let (token, signals) = core.open_token();
        core.feed(Input::Begin { token, spec });
        Self { core: core.clone(), token, signals, held: None }
    }

    /// Waits for a place that can still be started in time.
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

    /// The engine did not run the request: seek another place.
    pub fn not_run(&mut self) {
        self.give_back(false);
    }

    /// The engine does not hold the adapter, which its owner has to hear.
    pub fn missing(&mut self) {
        self.give_back(true);
    }

    fn give_back(&mut self, missing: bool) {
        let Some(grant) = self.held.take() else { return };
        let (token, engine, id) = (self.token, grant.engine, grant.id);
        self.core.feed(Input::NotRun { token, engine, id, missing });
    }

    /// The request is over; `ended` says that the engine certainly runs nothing of it.
    pub fn finish(&mut self, ended: bool) {
        let Some(grant) = self.held.take() else { return };
        let (token, engine, id) = (self.token, grant.engine, grant.id);
        self.core.feed(Input::Finished { token, engine, id, ended });
    }

    /// Cancels at the engine, then gives the place back.
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

impl Drop for Place {
    /// The caller has gone, or the request is over.
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
