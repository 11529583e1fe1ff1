//! What is known of how fresh other daemons' news is.

use super::report::{SyncReport, SyncState};
use crate::types::Time;
use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// What a heartbeat's way takes at most, by and large: between regions 20 ms, and a turn of a small
/// node's processor. A later one makes a daemon seem fresher than it is until the next: evidence
/// tells whom to ask, and proves nothing.
const WAY: Duration = Duration::from_millis(50);

/// Evidence of one daemon's news.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerFreshness {
    /// Its life.
    pub incarnation: u64,
    /// A moment on this daemon's clock, in milliseconds, at which the store held nothing that the other
    /// one does not know.
    pub known_at: Option<i64>,
    /// Where it has its news from.
    pub standing: SyncState,
    /// When this was heard.
    pub heard_at: Time,
}

/// Evidence of all daemons, by their addresses.
#[derive(Debug, Clone, Default)]
pub struct PeerFreshnessTable(BTreeMap<SocketAddr, PeerFreshness>);

/// A moment on this daemon's clock that may be before its start.
pub fn moment(time: Time) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}

impl PeerFreshnessTable {
    /// Takes in what a daemon says of itself in a heartbeat.
    pub fn heard(&mut self, now: Time, report: &SyncReport) {
        self.take(now, moment(now) - millis(WAY), report, true);
    }

    /// Takes in what a daemon says of another one in a heartbeat.
    pub fn heard_of(&mut self, now: Time, report: &SyncReport) {
        self.take(now, moment(now) - millis(WAY), report, false);
    }

    /// Takes in what a daemon answered to a question that was sent at `asked_at`, of itself or of
    /// others: the answer may have been on its way for long.
    pub fn answered(&mut self, now: Time, asked_at: Time, report: &SyncReport, of_itself: bool) {
        self.take(now, moment(asked_at), report, of_itself);
    }

    fn take(&mut self, now: Time, told_at: i64, report: &SyncReport, of_itself: bool) {
        let known_at = report.age_ms.map(|age| told_at - i64::from(age));
        let told = PeerFreshness {
            incarnation: report.incarnation,
            known_at,
            standing: report.standing,
            heard_at: now,
        };
        let Some(held) = self.0.get_mut(&report.address) else {
            self.0.insert(report.address, told);
            return;
        };
        match report.incarnation.cmp(&held.incarnation) {
            Ordering::Less => {}
            Ordering::Greater => *held = told,
            Ordering::Equal if of_itself || known_at > held.known_at => {
                *held = PeerFreshness { known_at: known_at.max(held.known_at), ..told };
            }
            Ordering::Equal => {}
        }
    }

    /// What is known of a daemon.
    pub fn of(&self, daemon: SocketAddr) -> Option<&PeerFreshness> {
        self.0.get(&daemon)
    }

    /// All evidence.
    pub fn all(&self) -> impl Iterator<Item = (SocketAddr, &PeerFreshness)> {
        self.0.iter().map(|(address, evidence)| (*address, evidence))
    }

    /// Forgets daemons that were not heard of since a time.
    pub fn forget_before(&mut self, since: Time) {
        self.0.retain(|_, evidence| evidence.heard_at >= since);
    }
}

/// A span in milliseconds.
pub fn millis(span: Duration) -> i64 {
    i64::try_from(span.as_millis()).unwrap_or(i64::MAX)
}
