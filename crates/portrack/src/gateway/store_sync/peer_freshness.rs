//! What is known about the freshness of other daemons' copies of the store.

use super::report::{SyncReport, SyncState};
use crate::types::Time;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Assumed transit time of a heartbeat: 20 ms between regions, and a scheduling delay on a small
/// node. A slower heartbeat makes a daemon seem fresher than it is until the next one arrives. That
/// is harmless, because this information decides whom to query and proves nothing.
const HEARTBEAT_TRANSIT: Duration = Duration::from_millis(50);

/// What is known about one daemon's copy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerFreshness {
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// A time on this daemon's clock, in milliseconds, up to which the other daemon's copy is
    /// complete.
    pub fresh_at: Option<i64>,
    /// Where the daemon gets its updates from.
    pub state: SyncState,
    /// When this was received.
    pub received_at: Time,
}

/// The freshness of all daemons' copies, by address.
#[derive(Debug, Clone, Default)]
pub struct PeerFreshnessTable(BTreeMap<SocketAddr, PeerFreshness>);

/// A time on this daemon's clock in milliseconds, signed because derived times may lie before its
/// start.
pub fn time_millis(time: Time) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}

impl PeerFreshnessTable {
    /// Records a daemon's own report from a heartbeat.
    pub fn record_own(&mut self, now: Time, report: &SyncReport) {
        self.record(now, time_millis(now) - duration_millis(HEARTBEAT_TRANSIT), report, true);
    }

    /// Records a report about another daemon that a heartbeat forwards.
    pub fn record_forwarded(&mut self, now: Time, report: &SyncReport) {
        self.record(now, time_millis(now) - duration_millis(HEARTBEAT_TRANSIT), report, false);
    }

    /// Records a report from the response to a query sent at `asked_at`. The age counts from the
    /// query, because the response may have been delayed.
    pub fn record_response(
        &mut self,
        now: Time,
        requested_at: Time,
        report: &SyncReport,
        is_own: bool,
    ) {
        self.record(now, time_millis(requested_at), report, is_own);
    }

    fn record(&mut self, now: Time, reported_at: i64, report: &SyncReport, is_own: bool) {
        let fresh_at = report.age_ms.map(|age| reported_at - i64::from(age));
        let reported = PeerFreshness {
            incarnation: report.incarnation,
            fresh_at,
            state: report.standing,
            received_at: now,
        };
        let Some(known) = self.0.get_mut(&report.address) else {
            self.0.insert(report.address, reported);
            return;
        };
        match report.incarnation.cmp(&known.incarnation) {
            Ordering::Less => {}
            Ordering::Greater => *known = reported,
            Ordering::Equal if is_own || fresh_at > known.fresh_at => {
                *known = PeerFreshness { fresh_at: fresh_at.max(known.fresh_at), ..reported };
            }
            Ordering::Equal => {}
        }
    }

    /// What is known about a daemon.
    pub fn get(&self, daemon: SocketAddr) -> Option<&PeerFreshness> {
        self.0.get(&daemon)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = (SocketAddr, &PeerFreshness)> {
        self.0.iter().map(|(address, freshness)| (*address, freshness))
    }

    /// Removes daemons of which nothing has been received since a time.
    pub fn remove_before(&mut self, since: Time) {
        self.0.retain(|_, freshness| freshness.received_at >= since);
    }
}

/// A duration in milliseconds.
pub fn duration_millis(duration: Duration) -> i64 {
    i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
}
