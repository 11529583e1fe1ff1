//! Updates from peers whose large values are not there yet.

use super::large_values::{CompressedValue, LargeValue};
use super::mirror::MirrorItem;
use crate::gateway::daemon::GatewayDaemon;
use crate::gateway::fleet::cold_start_tracker::SOURCE_PEER;
use crate::store::StoreEra;
use std::rc::Rc;

impl GatewayDaemon {
    /// Takes the large values out of an update for a peer that takes them apart.
    pub(super) fn separate_large_values(
        &self,
        takes_parts: bool,
        era: StoreEra,
        items: &mut Vec<MirrorItem>,
    ) -> Vec<CompressedValue> {
        match takes_parts {
            true => self.compressed_values.borrow_mut().separate(era, items),
            false => Vec::new(),
        }
    }

    /// Applies the small items of an update whose large values are not there yet. The copy is not
    /// complete up to the update's revision, but none of its items is older than before.
    pub(super) fn apply_small_items(self: &Rc<Self>, era: StoreEra, items: &[MirrorItem]) {
        let position = self.mirror.borrow().position();
        if position.revision == 0 || era != position.era {
            return;
        }
        let changes = self.mirror.borrow_mut().apply_items(era, items.to_vec());
        self.apply(changes, SOURCE_PEER);
    }

    /// Whether all bytes of large values are there, or the copy has these values already.
    pub(super) fn has_all_parts(&self, era: StoreEra, values: &[LargeValue]) -> bool {
        let partial_values = self.partial_values.borrow();
        values.iter().all(|value| {
            let is_received = partial_values.received(value) == value.length;
            is_received || self.known_value(era, value).is_some()
        })
    }

    /// The copy's own item, if it is not older than a large value.
    fn known_value(&self, era: StoreEra, value: &LargeValue) -> Option<MirrorItem> {
        let known = self.mirror.borrow().item(era, &value.key);
        known.filter(|known| known.revision >= value.revision)
    }

    /// Takes large values of which all bytes are there. Returns `None` if one is not what was announced.
    /// Values that the copy has already are among them: a snapshot that lacked them would remove them.
    pub(super) fn take_large_values(
        &self,
        era: StoreEra,
        values: &[LargeValue],
    ) -> Option<Vec<MirrorItem>> {
        let take = |value| {
            let known = self.known_value(era, value);
            known.or_else(|| self.partial_values.borrow_mut().take(value))
        };
        values.iter().map(take).collect()
    }
}
