//! Who makes way where too many wait.

use crate::gateway::admission::OrganisationMark;
use std::collections::BTreeMap;

/// The place of the waiting request that has to go: the last of the organisation that has most of them,
/// by the order given with each; the newest, which comes last, if none has several. Requests of nobody
/// known are no organisation's: together they would always have most.
pub fn makes_way<K: Ord>(waiting: &[(Option<OrganisationMark>, K)]) -> usize {
    let mut counts: BTreeMap<OrganisationMark, usize> = BTreeMap::new();
    for mark in waiting.iter().filter_map(|(mark, _)| *mark) {
        *counts.entry(mark).or_default() += 1;
    }
    let newest = waiting.len().saturating_sub(1);
    let newest_mark = waiting.last().and_then(|(mark, _)| *mark);
    let most = counts.into_iter().max_by_key(|(mark, count)| (*count, newest_mark == Some(*mark)));
    let Some((most, _)) = most.filter(|(_, count)| *count > 1) else { return newest };
    let places = waiting.iter().enumerate();
    let of_most = places.filter(|(_, (mark, _))| *mark == Some(most));
    let last = of_most.max_by(|(a, (_, x)), (b, (_, y))| x.cmp(y).then(a.cmp(b)));
    last.map_or(newest, |(place, _)| place)
}
