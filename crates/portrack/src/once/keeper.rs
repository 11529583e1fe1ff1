//! Stores the idempotency keys that this member keeps.

use super::{Halls, PairHistory};
use crate::types::{Instance, NodeName, ReservationId, Time};
use crate::wire::{KeyClaim, KeyReply, KeyVerdict};
use std::collections::BTreeMap;
use std::time::Duration;

/// A claim is dropped if the second keeper does not answer within this.
const COPY_TIMEOUT: Duration = Duration::from_millis(400);

/// A granted key must be used within this time after the entry node claimed it. Keepers store keys
/// for this much longer than the window.
pub const USE_WITHIN: Duration = Duration::from_secs(4);

/// A message that the keeper wants sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeeperOutput {
    /// Copy the claim to the second keeper.
    Copy(NodeName, KeyClaim),
    /// Answer the first keeper.
    Copied(NodeName, KeyReply),
    /// Answer the entry node.
    Reply(NodeName, KeyReply),
}

#[derive(Debug, Clone)]
struct Record {
    /// The request that holds the key; `None` if the other keeper only reported that it is taken.
    request: Option<ReservationId>,
    at: Time,
    /// Set while the claim waits for the second keeper.
    pending: Option<Pending>,
}

#[derive(Debug, Clone)]
struct Pending {
    entry: Instance,
    trusted: bool,
}

/// Stores keys for one window after their last possible use.
#[derive(Debug, Clone)]
pub struct Keeper {
    me: NodeName,
    window: Duration,
    pairs: PairHistory,
    records: BTreeMap<u128, Record>,
}

impl Keeper {
    /// Creates a keeper without keys.
    pub fn new(me: NodeName, window: Duration) -> Self {
        let window = window + USE_WITHIN;
        Self { me, window, pairs: PairHistory::default(), records: BTreeMap::new() }
    }

    /// Replaces the window.
    pub fn set_window(&mut self, window: Duration) {
        self.window = window + USE_WITHIN;
    }

    /// Records the current members.
    pub fn members(&mut self, now: Time, halls: Halls) {
        self.pairs.record(now, halls, self.window);
    }

    /// Returns the first and the second keeper of a key.
    pub fn keepers(&self, key: u128) -> (Option<NodeName>, Option<NodeName>) {
        self.pairs.keepers(key)
    }

    /// Handles a claim from an entry node.
    pub fn claim(&mut self, now: Time, claim: KeyClaim) -> Vec<KeeperOutput> {
        let (first, second) = self.pairs.keepers(claim.key);
        if first.as_ref() != Some(&self.me) {
            return vec![self.reply(&claim, KeyVerdict::NotKeeper)];
        }
        if let Some(record) = self.records.get(&claim.key) {
            let again = record.request == Some(claim.request);
            return match (again, record.pending.is_some()) {
                (true, true) => {
                    second.into_iter().map(|s| KeeperOutput::Copy(s, claim.clone())).collect()
                }
                (true, false) => vec![self.reply(&claim, KeyVerdict::Yours)],
                (false, _) => vec![self.reply(&claim, KeyVerdict::Taken)],
            };
        }
        let trusted = self.pairs.was_keeper_throughout(claim.key, &self.me, now, self.window);
        let Some(second) = second else {
            return self.claim_alone(now, claim, trusted);
        };
        let pending = Some(Pending { entry: claim.entry.clone(), trusted });
        let record = Record { request: Some(claim.request), at: now, pending };
        self.records.insert(claim.key, record);
        vec![KeeperOutput::Copy(second, claim)]
    }

    fn claim_alone(&mut self, now: Time, claim: KeyClaim, trusted: bool) -> Vec<KeeperOutput> {
        if !trusted {
            return vec![self.reply(&claim, KeyVerdict::Untrusted)];
        }
        let record = Record { request: Some(claim.request), at: now, pending: None };
        self.records.insert(claim.key, record);
        vec![self.reply(&claim, KeyVerdict::Yours)]
    }

    /// Handles a claim copied from the first keeper.
    pub fn copy(&mut self, now: Time, from: NodeName, claim: KeyClaim) -> Vec<KeeperOutput> {
        let verdict = match self.records.get(&claim.key) {
            Some(record) if record.request != Some(claim.request) => KeyVerdict::Taken,
            _ => {
                let record = Record { request: Some(claim.request), at: now, pending: None };
                self.records.insert(claim.key, record);
                match self.pairs.was_keeper_throughout(claim.key, &self.me, now, self.window) {
                    true => KeyVerdict::Yours,
                    false => KeyVerdict::Untrusted,
                }
            }
        };
        let reply = KeyReply { key: claim.key, request: claim.request, verdict };
        vec![KeeperOutput::Copied(from, reply)]
    }

    /// Handles the second keeper's answer.
    pub fn copied(&mut self, reply: KeyReply) -> Vec<KeeperOutput> {
        let Some(record) = self.records.get_mut(&reply.key) else {
            return Vec::new();
        };
        if record.request != Some(reply.request) {
            return Vec::new();
        }
        let Some(pending) = record.pending.take() else {
            return Vec::new();
        };
        let verdict = match reply.verdict {
            KeyVerdict::Yours => KeyVerdict::Yours,
            KeyVerdict::Untrusted if pending.trusted => KeyVerdict::Yours,
            other => other,
        };
        match verdict {
            KeyVerdict::Taken => record.request = None,
            KeyVerdict::Untrusted | KeyVerdict::NotKeeper => {
                self.records.remove(&reply.key);
            }
            KeyVerdict::Yours => {}
        }
        vec![KeeperOutput::Reply(pending.entry.node, KeyReply { verdict, ..reply })]
    }

    /// Frees a key whose request was certainly not sent.
    pub fn free(&mut self, claim: &KeyClaim) {
        let same = self.records.get(&claim.key).is_some_and(|r| r.request == Some(claim.request));
        if same {
            self.records.remove(&claim.key);
        }
    }

    /// Drops expired keys and claims that the second keeper did not answer in time.
    pub fn tick(&mut self, now: Time) {
        let window = self.window;
        self.records.retain(|_, record| {
            let stuck = record.pending.is_some() && now.since(record.at) >= COPY_TIMEOUT;
            !stuck && now.since(record.at) < window
        });
    }

    fn reply(&self, claim: &KeyClaim, verdict: KeyVerdict) -> KeeperOutput {
        let reply = KeyReply { key: claim.key, request: claim.request, verdict };
        KeeperOutput::Reply(claim.entry.node.clone(), reply)
    }

    /// Number of keys stored.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no key is stored.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
