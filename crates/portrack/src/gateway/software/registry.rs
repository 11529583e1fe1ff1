//! Decides at which software versions streams may begin, and how the store's record changes. A state
//! machine without sockets.
//!
//! A complete record that lists a single version of a service proves where a stream of unknown
//! origin began, if it is known to be the newest. For this to hold, a version is announced in the
//! record before any stream begins there, and for longer than a copy of the record may be stale.

use super::origin::Origin;
use super::origin_table::ORIGIN_TTL;
use super::record::{ServiceVersions, SoftwareRecord, VersionState};
use crate::types::Time;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

/// Added to the longest staleness of a usable copy, for the time between its check and its use.
const ANNOUNCEMENT_MARGIN: Duration = Duration::from_millis(500);
/// A version without servers is removed from the record after this time: its streams have ended.
const REMOVED_AFTER: Duration = ORIGIN_TTL;

/// The software versions of the servers that are listed now, by service.
pub type ListedVersions = BTreeMap<Rc<str>, BTreeSet<Rc<str>>>;

type VersionKey = (String, String);

/// The record, and what this daemon has seen of it.
#[derive(Debug)]
pub struct SoftwareRegistry {
    /// The record and its revision; `None` if the store has none, as far as known.
    record: Option<(SoftwareRecord, u64)>,
    /// No stream began before this daemon started.
    is_first_start: bool,
    /// The longest staleness of a copy of the record from which an origin is concluded.
    max_staleness: Duration,
    /// Since when this daemon knows of announced versions.
    announced_since: BTreeMap<VersionKey, Time>,
    /// Since when this daemon sees no server of a version in use.
    unlisted_since: BTreeMap<VersionKey, Time>,
    /// Since when every known daemon announces versions before it uses them.
    all_announce_since: Time,
    /// The versions known before the store was restored from an older copy, which may lack them.
    lost: Option<SoftwareRecord>,
    /// Until then, the record may lack versions that the restored store has lost.
    doubtful_until: Time,
}

impl SoftwareRegistry {
    /// Starts without a record. `is_first_start` tells that no stream began before `now`.
    pub fn new(now: Time, is_first_start: bool, max_staleness: Duration) -> Self {
        Self {
            record: None,
            is_first_start,
            max_staleness,
            announced_since: BTreeMap::new(),
            unlisted_since: BTreeMap::new(),
            all_announce_since: now,
            lost: None,
            doubtful_until: now,
        }
    }

    /// Applies the store's record and its revision; `None` if it has none.
    pub fn on_record(&mut self, now: Time, record: Option<(SoftwareRecord, u64)>) {
        let announced: BTreeSet<VersionKey> =
            record.iter().flat_map(|(record, _)| keys(record, VersionState::Announced)).collect();
        self.announced_since.retain(|key, _| announced.contains(key));
        for key in announced {
            self.announced_since.entry(key).or_insert(now);
        }
        self.record = record;
    }

    /// Handles a store that was restored from an older copy.
    pub fn store_came_back(&mut self, now: Time) {
        self.doubtful_until = now + ORIGIN_TTL;
        let mut known = self.record.as_ref().map(|(record, _)| record.clone()).unwrap_or_default();
        self.restore_lost(&mut known);
        self.lost = Some(known);
    }

    /// Returns true if a stream may begin at a service's software version.
    pub fn may_begin(&self, service: &str, software: &str) -> bool {
        match &self.record {
            Some((record, _)) if record.is_complete => {
                record.state(service, software) == Some(VersionState::InUse)
            }
            Some(_) | None => true,
        }
    }

    /// The only origin that a stream of a service can have, if there is just one. `staleness` is that
    /// of this daemon's copy of the store, and `listed` the versions of the service's servers there.
    pub fn sole_origin(
        &self,
        now: Time,
        service: &Rc<str>,
        staleness: Option<Duration>,
        listed: &BTreeSet<Rc<str>>,
    ) -> Option<Origin> {
        let (record, _) = self.record.as_ref()?;
        let is_fresh = staleness.is_some_and(|staleness| staleness <= self.max_staleness);
        if !record.is_complete || !is_fresh || now < self.doubtful_until {
            return None;
        }
        let versions = record.services.get(&**service)?;
        let (software, _) = versions.first_key_value().filter(|_| versions.len() == 1)?;
        let no_other = listed.iter().all(|listed| **listed == **software);
        no_other.then(|| Origin { service: service.clone(), software: software.as_str().into() })
    }

    /// The record that is to be written, and the revision that it replaces (0 for none); `None` if
    /// nothing is to be changed. `all_announce` tells whether every known daemon announces versions.
    pub fn due(
        &mut self,
        now: Time,
        listed: &ListedVersions,
        all_announce: bool,
    ) -> Option<(SoftwareRecord, u64)> {
        if !all_announce {
            self.all_announce_since = now;
        }
        let (mut record, revision) = match &self.record {
            Some((record, revision)) => (record.clone(), *revision),
            None if listed.is_empty() => return None,
            None => (SoftwareRecord { is_complete: self.is_first_start, ..Default::default() }, 0),
        };
        let before = record.clone();
        self.lost.take_if(|_| now >= self.doubtful_until);
        self.restore_lost(&mut record);
        self.add_listed(&mut record, listed);
        self.put_in_use(now, &mut record);
        self.remove_unlisted(now, &mut record, listed);
        record.is_complete |= now.since(self.all_announce_since) >= ORIGIN_TTL;
        (revision == 0 || record != before).then_some((record, revision))
    }

    /// Adds versions that a restored store has lost, in the state that they had.
    fn restore_lost(&self, record: &mut SoftwareRecord) {
        let Some(lost) = &self.lost else { return };
        record.is_complete |= lost.is_complete;
        for (service, versions) in &lost.services {
            let known = record.services.entry(service.clone()).or_default();
            for (software, state) in versions {
                known.entry(software.clone()).or_insert(*state);
            }
        }
    }

    fn add_listed(&self, record: &mut SoftwareRecord, listed: &ListedVersions) {
        for (service, versions) in listed {
            // Nobody concludes anything from a record that is not complete, or lacks the service.
            let is_relied_on = record.is_complete && record.services.contains_key(&**service);
            let state = match is_relied_on {
                true => VersionState::Announced,
                false => VersionState::InUse,
            };
            let known: &mut ServiceVersions =
                record.services.entry(service.to_string()).or_default();
            for software in versions {
                known.entry(software.to_string()).or_insert(state);
            }
        }
    }

    fn put_in_use(&self, now: Time, record: &mut SoftwareRecord) {
        let announced_for = self.max_staleness + ANNOUNCEMENT_MARGIN;
        for ((service, software), since) in &self.announced_since {
            let state = record.services.get_mut(service).and_then(|all| all.get_mut(software));
            if let Some(state) = state.filter(|_| now.since(*since) >= announced_for) {
                *state = VersionState::InUse;
            }
        }
    }

    fn remove_unlisted(&mut self, now: Time, record: &mut SoftwareRecord, listed: &ListedVersions) {
        let is_listed = |service: &str, software: &str| {
            listed.get(service).is_some_and(|versions| versions.contains(software))
        };
        let mut unlisted = BTreeMap::new();
        for (service, versions) in &record.services {
            for software in versions.keys().filter(|software| !is_listed(service, software)) {
                let key = (service.clone(), software.clone());
                let since = self.unlisted_since.get(&key).copied().unwrap_or(now);
                unlisted.insert(key, since);
            }
        }
        self.unlisted_since = unlisted;
        let is_over = |key: &VersionKey| {
            let since = self.unlisted_since.get(key);
            since.is_some_and(|since| now.since(*since) >= REMOVED_AFTER)
        };
        for (service, versions) in &mut record.services {
            versions.retain(|software, _| !is_over(&(service.clone(), software.clone())));
        }
        record.services.retain(|_, versions| !versions.is_empty());
    }

    /// Forgets how long versions have been without servers: this daemon's copy of the store was stale,
    /// so they may have had some.
    pub fn on_stale_copy(&mut self) {
        self.unlisted_since.clear();
    }
}

fn keys(record: &SoftwareRecord, state: VersionState) -> Vec<VersionKey> {
    let all = record.services.iter().flat_map(|(service, versions)| {
        versions.iter().map(move |(software, state)| (service, software, *state))
    });
    let matching = all.filter(|(.., known)| *known == state);
    matching.map(|(service, software, _)| (service.clone(), software.clone())).collect()
}
