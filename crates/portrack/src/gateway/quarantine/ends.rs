//! Which servers have ended, as far as the requests tell that were lost there.

use super::fingerprint::RequestFingerprint;
use crate::types::Time;
use std::collections::HashMap;
use std::time::Duration;

/// A life whose end was seen is remembered for so long: some of its requests are found lost later.
const REMEMBERED_FOR: Duration = Duration::from_secs(10);

/// A request whose connection to a server broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRequest {
    /// The request.
    pub mark: RequestFingerprint,
    /// The id of the caller's attempt, for logs.
    pub id: Box<str>,
    /// When it was found lost.
    pub at: Time,
}

/// What is to be done about a lost request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCheck {
    /// The server has ended.
    Ended,
    /// It has to be asked whether it lives.
    Start,
    /// It is being asked.
    Pending,
}

/// Servers that lost requests.
#[derive(Debug, Default)]
pub struct ServerEnds {
    asked: HashMap<u32, Vec<LostRequest>>,
    ended: HashMap<u32, Time>,
}

impl ServerEnds {
    /// Takes note of a lost request at a server's life.
    pub fn lost(&mut self, now: Time, life: u32, request: LostRequest) -> EndCheck {
        self.ended.retain(|_, at| now.since(*at) < REMEMBERED_FOR);
        if self.ended.contains_key(&life) {
            return EndCheck::Ended;
        }
        let asked = self.asked.contains_key(&life);
        self.asked.entry(life).or_default().push(request);
        if asked { EndCheck::Pending } else { EndCheck::Start }
    }

    /// The server's life has ended: all requests that were lost there meanwhile.
    pub fn ended(&mut self, now: Time, life: u32) -> Vec<LostRequest> {
        self.ended.insert(life, now);
        self.asked.remove(&life).unwrap_or_default()
    }

    /// The server lives, or nobody can tell: how many requests were lost there.
    pub fn not_ended(&mut self, life: u32) -> usize {
        self.asked.remove(&life).map_or(0, |lost| lost.len())
    }
}
