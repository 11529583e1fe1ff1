//! Fair shares among organisations when too many requests wait.

use crate::gateway::admission::OrganisationHash;
use std::collections::{BTreeMap, HashMap};

/// Returns the index of the waiting request to evict: the last one, by the given order, of the
/// organisation with the most waiting requests, or the newest (last) one if no organisation has
/// several. Requests without an organisation are not counted as one, since together they would
/// always have the most.
pub fn choose_evicted<K: Ord>(waiting: &[(Option<OrganisationHash>, K)]) -> usize {
    let mut counts: BTreeMap<OrganisationHash, usize> = BTreeMap::new();
    for organisation in waiting.iter().filter_map(|(organisation, _)| *organisation) {
        *counts.entry(organisation).or_default() += 1;
    }
    let newest = waiting.len().saturating_sub(1);
    let newest_organisation = waiting.last().and_then(|(organisation, _)| *organisation);
    let most = counts
        .into_iter()
        .max_by_key(|(organisation, count)| (*count, newest_organisation == Some(*organisation)));
    let Some((most, _)) = most.filter(|(_, count)| *count > 1) else { return newest };
    let indices = waiting.iter().enumerate();
    let candidates = indices.filter(|(_, (organisation, _))| *organisation == Some(most));
    let last = candidates.max_by(|(a, (_, x)), (b, (_, y))| x.cmp(y).then(a.cmp(b)));
    last.map_or(newest, |(index, _)| index)
}

/// Start-time fair queueing of the organisations that wait for a server. The start tag of a request
/// is the finish tag of the previous request of its organisation, in units of work done.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    virtual_time: f64,
    finish_tags: HashMap<OrganisationHash, f64>,
}

impl FairShares {
    /// Assigns a start tag to a request with this much work.
    pub fn start_tag(&mut self, organisation: Option<OrganisationHash>, work: f64) -> f64 {
        let Some(organisation) = organisation else { return self.virtual_time };
        let virtual_time = self.virtual_time;
        self.finish_tags.retain(|_, end| *end > virtual_time);
        let end = self.finish_tags.entry(organisation).or_insert(virtual_time);
        let start_tag = *end;
        *end += work;
        start_tag
    }

    /// Advances the virtual time to the start tag of a request being served.
    pub fn advance(&mut self, start_tag: f64) {
        self.virtual_time = self.virtual_time.max(start_tag);
    }

    /// Withdraws a request that was not served.
    pub fn withdraw(&mut self, organisation: Option<OrganisationHash>, work: f64) {
        if let Some(end) =
            organisation.and_then(|organisation| self.finish_tags.get_mut(&organisation))
        {
            *end -= work;
        }
    }

    /// Number of whole rounds of `work` that a request lies after the virtual time; negative if
    /// before.
    pub fn rounds_ahead(&self, start_tag: f64, work: f64) -> i64 {
        ((start_tag - self.virtual_time) / work.max(1.0)).floor() as i64
    }
}
