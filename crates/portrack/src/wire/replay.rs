//! Replay protection for datagrams.

use super::WireError;
use crate::types::Instance;

/// Size of the window: how far datagrams of one sender may arrive out of order.
const WINDOW: u64 = 128;

/// The sequence numbers received from one node.
#[derive(Debug, Clone, Default)]
pub struct ReplayWindow {
    incarnation: u64,
    highest: u64,
    seen: u128,
}

impl ReplayWindow {
    /// Records a datagram's sequence number, or rejects it as replayed or too old.
    pub fn accept(&mut self, from: &Instance, seq: u64) -> Result<(), WireError> {
        if from.incarnation < self.incarnation {
            return Err(WireError::Replayed);
        }
        if from.incarnation > self.incarnation {
            *self = Self { incarnation: from.incarnation, highest: seq, seen: 1 };
            return Ok(());
        }
        if seq > self.highest {
            let ahead = seq - self.highest;
            self.seen = if ahead < WINDOW { self.seen << ahead } else { 0 };
            self.seen |= 1;
            self.highest = seq;
            return Ok(());
        }
        let behind = self.highest - seq;
        if behind >= WINDOW || self.seen & (1 << behind) != 0 {
            return Err(WireError::Replayed);
        }
        self.seen |= 1 << behind;
        Ok(())
    }
}
