//! The owner of each engine of the region, recomputed only when members or servers change.

use crate::membership::Membership;
use crate::owner::Lock;
use crate::router::View;
use crate::types::{EngineName, NodeName};
use std::collections::BTreeMap;

#[derive(Debug, Clone, Default)]
pub(super) struct Ownership {
    seen: Option<(u64, u64)>,
    owners: BTreeMap<EngineName, NodeName>,
}

impl Ownership {
    /// Recomputes the owners. Returns false if neither members nor servers have changed.
    pub(super) fn update(&mut self, members: &Membership, view: &View) -> bool {
        let now = Some((members.version(), view.version()));
        if self.seen == now {
            return false;
        }
        self.seen = now;
        self.owners = view
            .iter()
            .filter_map(|state| {
                let (name, hall) = (&state.server.name, &state.server.hall);
                let owner = match state.lock()? {
                    Lock::Fence => members.owner_in(hall, name.as_str()),
                    Lock::Lease => members.lease_owner_in(hall, name.as_str()),
                };
                Some((name.clone(), owner?.clone()))
            })
            .collect();
        true
    }

    /// Returns the live owner of an engine.
    pub(super) fn owner_of(&self, engine: &EngineName) -> Option<&NodeName> {
        self.owners.get(engine)
    }
}
