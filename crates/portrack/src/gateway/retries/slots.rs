//! Counts by time slot.

use std::collections::VecDeque;

/// Numbers of events in recent time slots.
#[derive(Debug, Clone, Default)]
pub struct SlotCounts {
    /// Slots with events, oldest first.
    slots: VecDeque<(u64, u32)>,
}

impl SlotCounts {
    /// Counts an event in a slot, which is not older than any before.
    pub fn add(&mut self, slot: u64) {
        match self.slots.back_mut() {
            Some((last, count)) if *last >= slot => *count += 1,
            _ => self.slots.push_back((slot, 1)),
        }
    }

    /// Removes an event from a slot.
    pub fn remove(&mut self, slot: u64) {
        if let Some((_, count)) = self.slots.iter_mut().find(|(at, _)| *at == slot) {
            *count = count.saturating_sub(1);
        }
    }

    /// Drops all slots before `first`.
    pub fn forget_before(&mut self, first: u64) {
        while self.slots.front().is_some_and(|(slot, _)| *slot < first) {
            self.slots.pop_front();
        }
    }

    /// The number of events in all slots that are kept.
    pub fn total(&self) -> u32 {
        self.slots.iter().map(|(_, count)| count).sum()
    }

    /// Running totals of `length` slots from `first` on: entry `n` counts the first `n` slots.
    pub fn running_totals(&self, first: u64, length: usize) -> Vec<u32> {
        let mut totals = vec![0; length + 1];
        for (slot, count) in &self.slots {
            let index = slot.checked_sub(first).and_then(|index| usize::try_from(index).ok());
            if let Some(total) = index.and_then(|index| totals.get_mut(index + 1)) {
                *total += count;
            }
        }
        for index in 1..totals.len() {
            totals[index] += totals[index - 1];
        }
        totals
    }
}
