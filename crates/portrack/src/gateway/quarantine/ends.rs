//! Tracks which servers have ended, starting from the requests that were lost there.

use super::fingerprint::RequestFingerprint;
use super::parts::PromptPart;
use crate::types::Time;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// How long this node trusts its own look at a server that had ended, as some of its requests are found lost later.
const CONFIRMED_FOR: Duration = Duration::from_secs(10);
/// How long an ended incarnation is remembered, as servers may not tell incarnations apart.
const REMEMBERED_FOR: Duration = Duration::from_secs(10 * 60);
/// Maximum number of ended incarnations that are remembered, 16 bytes each; the oldest are evicted first.
const MAX_ENDED: usize = 4_096;

/// A request whose connection to a server broke.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The parts of its prompt that other requests may share.
    pub parts: Rc<[PromptPart]>,
    /// The id of the caller's attempt, for logs.
    pub id: Box<str>,
    /// When it was last sent.
    pub sent: Time,
    /// When the loss was noticed.
    pub at: Time,
}

/// What to do about a lost request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndCheck {
    /// The server is known to have ended.
    Ended,
    /// A check whether the server is alive has to be started.
    Start,
    /// Such a check is running.
    Pending,
}

/// Servers that lost requests.
#[derive(Debug, Default)]
pub struct ServerEnds {
    checking: HashMap<u32, Vec<LostRequest>>,
    /// When this node found incarnations to have ended.
    confirmed: HashMap<u32, Time>,
    /// The time by which incarnations had ended, as this node or another one found. What others found is not
    /// evidence of the end under a request of this node.
    ended: HashMap<u32, Time>,
}

impl ServerEnds {
    /// Returns the incarnation that ran a request which was sent at `sent` to a server listed with `listed`. One
    /// that has ended before cannot have run it: the server has started again under an incarnation that its entry
    /// does not tell, or not yet. Nodes that know of the same ends give it the same hash.
    pub fn running(&self, listed: u32, sent: Time) -> u32 {
        let has_ended =
            |incarnation: &u32| self.ended.get(incarnation).is_some_and(|at| *at < sent);
        let mut incarnation = listed;
        while has_ended(&incarnation) {
            incarnation = incarnation.wrapping_add(1);
        }
        incarnation
    }

    /// Records that an incarnation had ended by a time.
    pub fn learn_end(&mut self, incarnation: u32, at: Time) {
        if self.ended.len() >= MAX_ENDED && !self.ended.contains_key(&incarnation) {
            let oldest = self.ended.iter().min_by_key(|(_, at)| **at);
            if let Some(oldest) = oldest.map(|(incarnation, _)| *incarnation) {
                self.ended.remove(&oldest);
            }
        }
        let known = self.ended.entry(incarnation).or_insert(at);
        *known = at.min(*known);
    }

    /// Records a request that was lost at an incarnation of a server.
    pub fn add_lost(&mut self, now: Time, incarnation: u32, request: LostRequest) -> EndCheck {
        self.ended.retain(|_, at| now.since(*at) < REMEMBERED_FOR);
        self.confirmed.retain(|_, at| now.since(*at) < CONFIRMED_FOR);
        if self.confirmed.contains_key(&incarnation) {
            return EndCheck::Ended;
        }
        let checking = self.checking.contains_key(&incarnation);
        self.checking.entry(incarnation).or_default().push(request);
        if checking { EndCheck::Pending } else { EndCheck::Start }
    }

    /// Records that the incarnation has ended. Returns all requests that were lost there during the
    /// check.
    pub fn confirm_end(&mut self, now: Time, incarnation: u32) -> Vec<LostRequest> {
        self.confirmed.insert(incarnation, now);
        self.learn_end(incarnation, now);
        self.checking.remove(&incarnation).unwrap_or_default()
    }

    /// Returns true if it is being checked whether a server has ended.
    pub fn is_checking(&self) -> bool {
        !self.checking.is_empty()
    }

    /// Records that the server is alive, or that this cannot be determined. Returns how many
    /// requests were lost there.
    pub fn dismiss(&mut self, incarnation: u32) -> usize {
        self.checking.remove(&incarnation).map_or(0, |lost| lost.len())
    }
}
