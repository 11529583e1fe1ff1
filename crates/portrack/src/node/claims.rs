//! Claims of idempotency keys for this node's requests, and the keys kept for other nodes.

use super::{Effect, Node};
use crate::once::{KeeperOutput, USE_WITHIN};
use crate::reserve::Token;
use crate::types::{NodeName, ReservationId, Time};
use crate::wire::{KeyClaim, KeyReply, KeyVerdict, Message};
use rand::Rng;
use std::time::Duration;

/// Interval between repetitions of a claim.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Attempts at the first keeper before the second is asked.
const FIRST_KEEPER_ATTEMPTS: u32 = 4;
/// A claim without a verdict fails after this.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(800);

#[derive(Debug, Clone)]
pub(super) struct PendingClaim {
    claim: KeyClaim,
    next: Time,
    until: Time,
    use_by: Time,
    asked: u32,
    settled: bool,
}

impl Node {
    pub(super) fn claim(&mut self, now: Time, token: Token, key: u128, out: &mut Vec<Effect>) {
        let request = ReservationId(self.rng.random());
        let claim = KeyClaim { key, request, entry: self.me.clone() };
        let pending = PendingClaim {
            claim: claim.clone(),
            next: now + RETRY_INTERVAL,
            until: now + CLAIM_TIMEOUT,
            use_by: now + USE_WITHIN,
            asked: 0,
            settled: false,
        };
        self.claims.insert(token, pending);
        match self.keeper.keepers(key).0 {
            Some(_) => self.send_claim(claim, 0, out),
            None => self.settle(token, KeyVerdict::Untrusted, out),
        }
    }

    /// After `FIRST_KEEPER_ATTEMPTS` without an answer the claim goes to the second keeper, which may
    /// have become the first.
    fn send_claim(&mut self, claim: KeyClaim, asked: u32, out: &mut Vec<Effect>) {
        let (first, second) = self.keeper.keepers(claim.key);
        let keeper = if asked >= FIRST_KEEPER_ATTEMPTS { second.or(first) } else { first };
        if let Some(keeper) = keeper {
            self.send(keeper, Message::KeyClaim(claim), out);
        }
    }

    pub(super) fn tick_claims(&mut self, now: Time, out: &mut Vec<Effect>) {
        self.keeper.tick(now);
        let mut late = Vec::new();
        let mut repeat = Vec::new();
        for (token, pending) in self.claims.iter_mut().filter(|(_, p)| !p.settled) {
            if now >= pending.until {
                late.push(*token);
            } else if now >= pending.next {
                pending.next = now + RETRY_INTERVAL;
                pending.asked += 1;
                repeat.push((pending.claim.clone(), pending.asked));
            }
        }
        for (claim, asked) in repeat {
            self.send_claim(claim, asked, out);
        }
        for token in late {
            self.settle(token, KeyVerdict::Untrusted, out);
        }
    }

    /// Ends a claim. A claim that did not get the key is removed at both keepers.
    fn settle(&mut self, token: Token, verdict: KeyVerdict, out: &mut Vec<Effect>) {
        let Some(pending) = self.claims.get_mut(&token) else {
            return;
        };
        pending.settled = true;
        let use_by = pending.use_by;
        if verdict != KeyVerdict::Yours {
            self.free_key(token, out);
        }
        out.push(Effect::KeySettled { token, verdict, use_by });
    }

    pub(super) fn free_key(&mut self, token: Token, out: &mut Vec<Effect>) {
        let Some(pending) = self.claims.remove(&token) else {
            return;
        };
        let (first, second) = self.keeper.keepers(pending.claim.key);
        for node in [first, second].into_iter().flatten() {
            self.send(node, Message::KeyFree(pending.claim.clone()), out);
        }
    }

    pub(super) fn keep_key(&mut self, token: Token) {
        self.claims.remove(&token);
    }

    pub(super) fn key_claim(&mut self, now: Time, claim: KeyClaim, out: &mut Vec<Effect>) {
        let outputs = self.keeper.claim(now, claim);
        self.keeper_outputs(outputs, out);
    }

    pub(super) fn key_copy(
        &mut self,
        now: Time,
        from: NodeName,
        claim: KeyClaim,
        out: &mut Vec<Effect>,
    ) {
        let outputs = self.keeper.copy(now, from, claim);
        self.keeper_outputs(outputs, out);
    }

    pub(super) fn key_copied(&mut self, reply: KeyReply, out: &mut Vec<Effect>) {
        let outputs = self.keeper.copied(reply);
        self.keeper_outputs(outputs, out);
    }

    fn keeper_outputs(&mut self, outputs: Vec<KeeperOutput>, out: &mut Vec<Effect>) {
        for output in outputs {
            match output {
                KeeperOutput::Copy(to, claim) => self.send(to, Message::KeyCopy(claim), out),
                KeeperOutput::Copied(to, reply) => self.send(to, Message::KeyCopied(reply), out),
                KeeperOutput::Reply(to, reply) => self.send(to, Message::KeyReply(reply), out),
            }
        }
    }

    /// Handles a keeper's reply. A reply after the timeout, for example after a pause of this process,
    /// is not trusted. `NotKeeper` is not final: the claim is repeated to the next keeper.
    pub(super) fn key_reply(&mut self, now: Time, reply: &KeyReply, out: &mut Vec<Effect>) {
        if reply.verdict == KeyVerdict::NotKeeper {
            return;
        }
        let ours = |p: &PendingClaim| !p.settled && p.claim.request == reply.request;
        let found = self.claims.iter().find(|(_, p)| ours(p));
        let Some((token, late)) = found.map(|(token, p)| (*token, now >= p.until)) else { return };
        match late {
            true => self.settle(token, KeyVerdict::Untrusted, out),
            false => self.settle(token, reply.verdict, out),
        }
    }
}
