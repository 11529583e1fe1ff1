//! Shares of organisations where too many wait.

use crate::gateway::admission::OrganisationHash;
use std::collections::{BTreeMap, HashMap};

/// The place of the waiting request that has to go: the last of the organisation that has most of them,
/// by the order given with each; the newest, which comes last, if none has several. Requests of nobody
/// known are no organisation's: together they would always have most.
pub fn choose_evicted<K: Ord>(waiting: &[(Option<OrganisationHash>, K)]) -> usize {
    let mut counts: BTreeMap<OrganisationHash, usize> = BTreeMap::new();
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

/// Equal shares of a server for organisations that wait for it, by start-time fair queueing: each
/// request begins, in the work done so far, when the one before it of its organisation is over.
#[derive(Debug, Clone, Default)]
pub struct FairShares {
    done: f64,
    ends: HashMap<OrganisationHash, f64>,
}

impl FairShares {
    /// Where a request of so much work begins.
    pub fn begin(&mut self, organisation: Option<OrganisationHash>, work: f64) -> f64 {
        let Some(organisation) = organisation else { return self.done };
        let done = self.done;
        self.ends.retain(|_, end| *end > done);
        let end = self.ends.entry(organisation).or_insert(done);
        let begins = *end;
        *end += work;
        begins
    }

    /// A request has its turn.
    pub fn turn(&mut self, begins: f64) {
        self.done = self.done.max(begins);
    }

    /// A request is given up that had not had its turn.
    pub fn give_up(&mut self, organisation: Option<OrganisationHash>, work: f64) {
        if let Some(end) = organisation.and_then(|mark| self.ends.get_mut(&mark)) {
            *end -= work;
        }
    }

    /// How many whole rounds of `work` a request comes behind what is due now; before it if negative.
    pub fn round(&self, begins: f64, work: f64) -> i64 {
        ((begins - self.done) / work.max(1.0)).floor() as i64
    }
}
