//! A request's idempotency key, from its claim to its end.

use super::core::{Core, Signal};
use crate::node::Input;
use crate::reserve::Token;
use crate::types::{Reason, Refusal, Run, Time};
use crate::wire::KeyVerdict;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// When to come back if it cannot be told yet whether a key was used.
const MEMORY_RETRY: Duration = Duration::from_secs(2);

/// A key that is this request's.
pub struct HeldKey {
    token: Token,
    use_by: Time,
}

impl HeldKey {
    /// Claims a key, or says why the request may not be sent.
    pub async fn claim(core: &Rc<Core>, service: &str, key: &str) -> Result<Self, Refusal> {
        let (token, mut signals) = core.open_token();
        let key = xxh3_128(format!("{service}\0{key}").as_bytes());
        core.feed(Input::Claim { token, key });
        let settled = loop {
            match signals.recv().await {
                Some(Signal::Key(verdict, use_by)) => break Some((verdict, use_by)),
                Some(_) => {}
                None => break None,
            }
        };
        core.close_token(token);
        match settled {
            Some((KeyVerdict::Yours, use_by)) => Ok(Self { token, use_by }),
            Some((KeyVerdict::Taken, _)) => {
                let detail = "a request with this idempotency key is running or has run";
                Err(Refusal::unknown(Reason::DuplicateKey, detail))
            }
            _ => Err(untold()),
        }
    }

    /// Looked at right before the request is sent: after a pause the key may be another's.
    pub fn check(&self, core: &Rc<Core>) -> Result<(), Refusal> {
        match core.now() < self.use_by {
            true => Ok(()),
            false => Err(untold()),
        }
    }

    /// Lets go of the key if its request certainly was not run, and keeps it otherwise.
    pub fn settle(self, core: &Rc<Core>, run: Option<Run>) {
        let token = self.token;
        core.feed(match run {
            Some(Run::No) => Input::FreeKey { token },
            _ => Input::KeepKey { token },
        });
    }
}

fn untold() -> Refusal {
    let detail = "it cannot be told yet whether this idempotency key was used";
    Refusal::not_run(Reason::KeyMemory, detail).after(MEMORY_RETRY)
}
