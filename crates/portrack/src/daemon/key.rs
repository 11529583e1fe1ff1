//! Claims and settles the idempotency key of a request.

use super::core::{Core, Signal};
use crate::node::Input;
use crate::reserve::Token;
use crate::types::{Reason, Refusal, Run, Time};
use crate::wire::KeyVerdict;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_128;

/// Suggested retry delay if it cannot be determined yet whether a key was used.
const MEMORY_RETRY: Duration = Duration::from_secs(2);

/// An idempotency key claimed for a request.
pub struct ClaimedKey {
    token: Token,
    use_by: Time,
}

impl ClaimedKey {
    /// Claims a key, or returns why the request may not be sent.
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
            _ => Err(key_state_unknown()),
        }
    }

    /// Checked right before the request is sent: after a pause of this process, another request may
    /// hold the key.
    pub fn check(&self, core: &Rc<Core>) -> Result<(), Refusal> {
        match core.now() < self.use_by {
            true => Ok(()),
            false => Err(key_state_unknown()),
        }
    }

    /// Frees the key if its request certainly did not run, and keeps it otherwise.
    pub fn settle(self, core: &Rc<Core>, run: Option<Run>) {
        let token = self.token;
        core.feed(match run {
            Some(Run::No) => Input::FreeKey { token },
            _ => Input::KeepKey { token },
        });
    }
}

fn key_state_unknown() -> Refusal {
    let detail = "it cannot be told yet whether this idempotency key was used";
    Refusal::not_run(Reason::KeyMemory, detail).after(MEMORY_RETRY)
}
