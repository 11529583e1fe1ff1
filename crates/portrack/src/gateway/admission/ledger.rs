//! What an accountant has counted of each organisation, with what the others tell.
//!
//! Each data hall has an accountant for an organisation, which daemons of that hall ask before they
//! send a request. Accountants tell each other what they have admitted so far, so each knows what the
//! whole fleet has, a tenth of a second late at most where it matters; what is admitted meanwhile
//! becomes a debt that is paid back at once. One that falls silent is taken to go on with its part.

use super::bucket::TokenBucket;
use super::organisations::{OrganisationHash, Quota};
use super::pace::DecayingRate;
use super::quotas::QuotaCount;
use crate::types::Time;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// An accountant that tells nothing for so long is silent: two tellings are lost. A hall is if all of its
/// accountants are.
const SILENT_AFTER: Duration = Duration::from_millis(650);
/// The part of a silent hall is held back for so long: until its keys cannot be proved any more, and a
/// window passes.
const HELD_BACK: Duration = Duration::from_secs(12);
/// The part of one silent accountant, where another one of its hall is heard: it may have ended, or be
/// cut off with daemons that go on asking it while their keys can be proved. With 22 of 72 nodes cut off
/// together, accountants among them, no hall was silent to anybody, and both sides gave out the limit.
const STEPPED_IN: Duration = Duration::from_millis(4_500);
/// An account is closed that was neither asked nor told anything for so long.
const CLOSED_AFTER: Duration = Duration::from_secs(30);
/// Only accounts that were asked within this tell the others.
const TELLS_FOR: Duration = Duration::from_secs(12);
/// A new account believes the first level it is told within this.
const YOUNG: Duration = Duration::from_millis(1_000);
/// The longest time after which a refused caller is told to come back.
const LONGEST_RETRY: Duration = Duration::from_secs(8);

/// What an accountant says to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// It is within the quota.
    Granted,
    /// It is beyond the quota; when there may be room again.
    Refused(Duration),
}

/// Another accountant of an organisation.
#[derive(Debug, Clone)]
struct Other {
    hall: Rc<str>,
    born: u64,
    admitted: f64,
    pace: f64,
    /// Its part of what the whole fleet sent when it was heard: while it is silent, that is its part of
    /// the limit, however much the demand at either side grows.
    share: f64,
    heard_at: Time,
}

/// An accountant that has fallen silent, and may go on.
#[derive(Debug, Clone, Copy)]
struct SilentOther {
    address: SocketAddr,
    pace: f64,
    share: f64,
    silence: Duration,
}

/// What is counted of one organisation.
#[derive(Debug)]
struct Account {
    born: u64,
    opened_at: Time,
    /// When it was asked last, if ever: one that is only told stands by for another of its hall.
    asked_at: Option<Time>,
    used_at: Time,
    bucket: TokenBucket,
    admitted: f64,
    pace: DecayingRate,
    others: HashMap<SocketAddr, Other>,
    /// What each daemon has given back to this account, with the daemon's incarnation.
    returned: HashMap<SocketAddr, (u64, f64)>,
    /// What is held back for each accountant that has fallen silent.
    held_back: BTreeMap<SocketAddr, f64>,
    /// Refused callers are told to come back one after the other; the last at this time.
    promised_until: Time,
}

impl Account {
    fn new(now: Time, born: u64, quota: &Quota) -> Self {
        Self {
            born,
            opened_at: now,
            asked_at: None,
            used_at: now,
            bucket: TokenBucket::new(now, quota),
            admitted: 0.0,
            pace: DecayingRate::default(),
            others: HashMap::new(),
            returned: HashMap::new(),
            held_back: BTreeMap::new(),
            promised_until: now,
        }
    }

    /// The accountants that are silent, and that may go on letting requests in.
    fn silent(&self, now: Time, mine: &str) -> Vec<SilentOther> {
        let is_heard = |other: &Other| now.since(other.heard_at) < SILENT_AFTER;
        let hall_is_heard = |hall: &str| {
            hall == mine
                || self.others.values().any(|other| is_heard(other) && &*other.hall == hall)
        };
        let silent = self.others.iter().filter(|(_, other)| !is_heard(other));
        let silent = silent.map(|(address, other)| {
            let (pace, share, silence) = (other.pace, other.share, now.since(other.heard_at));
            let held = if hall_is_heard(&other.hall) { STEPPED_IN } else { HELD_BACK };
            (SilentOther { address: *address, pace, share, silence }, held)
        });
        silent.filter(|(other, held)| other.silence < *held).map(|(other, _)| other).collect()
    }

    /// Units a second of all accountants that are heard, and of those that have fallen silent.
    fn paces(&self, now: Time, mine: &str) -> (f64, f64) {
        let heard = self.others.values().filter(|other| now.since(other.heard_at) < SILENT_AFTER);
        let heard = self.pace.per_second(now) + heard.map(|other| other.pace).sum::<f64>();
        (heard, self.silent(now, mine).iter().map(|other| other.pace).sum())
    }

    fn refill(&mut self, now: Time, quota: &Quota, slack: f64, mine: &str) {
        let silent = self.hold_back(now, quota, slack, mine);
        self.bucket.refill(now, quota, slack, (1.0 - silent).max(0.0));
    }

    /// Keeps for each silent accountant its part of what comes in, and of what both sides believed to be
    /// left when it fell silent: it may use that. Without it, a hall that was cut off just as an
    /// organisation became hot made 1.06 of what a window may hold, since both sides used the burst. What
    /// was kept comes back when it is heard again, with word of what it has let in.
    ///
    /// Returns the part of the limit that is all silent accountants'.
    fn hold_back(&mut self, now: Time, quota: &Quota, slack: f64, mine: &str) -> f64 {
        let since = now.since(self.bucket.refilled_at());
        let silent = self.silent(now, mine);
        self.held_back.retain(|address, _| silent.iter().any(|other| other.address == *address));
        for other in &silent {
            if let Some(held) = self.held_back.get_mut(&other.address) {
                *held += quota.refill(since) * other.share;
                continue;
            }
            let meanwhile = quota.refill(other.silence) + TokenBucket::depth(quota, slack);
            self.bucket.take(meanwhile * other.share);
            self.held_back.insert(other.address, meanwhile * other.share);
        }
        silent.iter().map(|other| other.share).sum()
    }

    fn ask(&mut self, now: Time, quota: &Quota, units: f64) -> QuotaDecision {
        self.asked_at = Some(now);
        self.used_at = now;
        if self.bucket.level() > 0.0 {
            self.bucket.take(units);
            self.admitted += units;
            self.pace.count(now, units);
            return QuotaDecision::Granted;
        }
        let span = |units: f64| Duration::from_secs_f64(units.max(0.0) / quota.per_second);
        let paid = now + span(-self.bucket.level());
        let latest = now + LONGEST_RETRY;
        self.promised_until = (self.promised_until.max(paid) + span(units)).min(latest);
        QuotaDecision::Refused(self.promised_until.since(now).max(Duration::from_millis(1)))
    }

    fn refund(&mut self, units: f64) {
        self.bucket.take(-units);
        self.admitted -= units;
    }

    /// Takes in what another accountant tells.
    fn merge_count(
        &mut self,
        now: Time,
        from: SocketAddr,
        hall: &Rc<str>,
        count: &QuotaCount,
        mine: &str,
    ) {
        if self.others.get(&from).is_some_and(|other| other.born > count.born) {
            return;
        }
        if let Some(held) = self.held_back.remove(&from) {
            self.bucket.take(-held);
        }
        let theirs = Duration::from_millis(count.open_ms.into());
        let open = now.since(self.opened_at);
        let seen = match self.others.get(&from) {
            Some(other) if other.born == count.born => other.admitted,
            // It began to count after this account: all that it has admitted is news.
            _ if theirs <= open => 0.0,
            _ => {
                if open < YOUNG {
                    self.bucket.set_level(count.level - self.admitted);
                }
                count.admitted
            }
        };
        // Told late or twice, the same is taken out and put back.
        self.bucket.take(count.admitted - seen);
        let other = Other {
            hall: hall.clone(),
            born: count.born,
            admitted: count.admitted,
            pace: count.pace,
            share: 0.0,
            heard_at: now,
        };
        self.others.insert(from, other);
        let (heard, silent) = self.paces(now, mine);
        if let Some(other) = self.others.get_mut(&from) {
            other.share = other.pace / (heard + silent).max(f64::MIN_POSITIVE);
        }
    }
}

/// The accounts of one daemon.
#[derive(Debug)]
pub struct QuotaLedger {
    hall: Rc<str>,
    slack: f64,
    accounts: HashMap<OrganisationHash, Account>,
}

impl QuotaLedger {
    /// A ledger without accounts, of a daemon in a hall, where users allow `slack` units beyond any
    /// quota.
    pub fn new(hall: &str, slack: f64) -> Self {
        Self { hall: hall.into(), slack, accounts: HashMap::new() }
    }

    /// Decides on a request of `units`. `born` tells this account from another one of this daemon.
    pub fn ask(
        &mut self,
        now: Time,
        mark: OrganisationHash,
        quota: &Quota,
        units: f64,
        born: u64,
    ) -> QuotaDecision {
        let account = self.accounts.entry(mark).or_insert_with(|| Account::new(now, born, quota));
        account.refill(now, quota, self.slack, &self.hall);
        account.ask(now, quota, units)
    }

    /// Takes back the units of a request that has not run after all.
    pub fn refund(&mut self, mark: OrganisationHash, units: f64) {
        if let Some(account) = self.accounts.get_mut(&mark) {
            account.refund(units);
        }
    }

    /// Takes in what a daemon has given back in this life of it. The first it tells is where it
    /// begins: what was given back to an earlier account is not this one's. Told late or twice, it
    /// changes nothing.
    pub fn merge_refunds(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        mark: OrganisationHash,
        all: f64,
    ) {
        let Some(account) = self.accounts.get_mut(&mark) else { return };
        let (life, before) = *account.returned.entry(from).or_insert((incarnation, all));
        if life > incarnation || (life == incarnation && all <= before) {
            return;
        }
        account.returned.insert(from, (incarnation, all));
        if life == incarnation {
            account.refund(all - before);
        }
    }

    /// Takes in what another accountant tells of an organisation. Who stands by for another one of its
    /// hall learns in that way what the fleet sends.
    pub fn merge_count(
        &mut self,
        now: Time,
        from: SocketAddr,
        hall: &Rc<str>,
        count: &QuotaCount,
        quota: &Quota,
        born: u64,
    ) {
        let account = self.accounts.entry(count.organisation);
        let account = account.or_insert_with(|| Account::new(now, born, quota));
        account.used_at = now;
        account.refill(now, quota, self.slack, &self.hall);
        account.merge_count(now, from, hall, count, &self.hall);
    }

    /// What the whole fleet sends a second, as a share of what the quota allows.
    pub fn usage(&self, now: Time, mark: OrganisationHash, quota: &Quota) -> f64 {
        let Some(account) = self.accounts.get(&mark) else { return 0.0 };
        let (heard, silent) = account.paces(now, &self.hall);
        (heard + silent) / quota.per_second
    }

    /// What other accountants are to be told: of all organisations, or only of those near their
    /// limit.
    pub fn counts(
        &mut self,
        now: Time,
        all: bool,
        quota_of: impl Fn(OrganisationHash) -> Option<Quota>,
    ) -> Vec<QuotaCount> {
        self.accounts.retain(|_, account| now.since(account.used_at) < CLOSED_AFTER);
        let mut counts = Vec::new();
        let asked =
            |account: &Account| account.asked_at.is_some_and(|at| now.since(at) < TELLS_FOR);
        for (mark, account) in self.accounts.iter_mut().filter(|(_, account)| asked(account)) {
            let Some(quota) = quota_of(*mark) else { continue };
            account.refill(now, &quota, self.slack, &self.hall);
            let level = account.bucket.level();
            if !all && level > TokenBucket::depth(&quota, self.slack) / 2.0 {
                continue;
            }
            counts.push(QuotaCount {
                organisation: *mark,
                born: account.born,
                open_ms: now.since(account.opened_at).as_millis().try_into().unwrap_or(u32::MAX),
                admitted: account.admitted,
                level,
                pace: account.pace.per_second(now),
            });
        }
        counts
    }

    /// Other daemons that count for an organisation, as heard lately.
    pub fn known_accountants(&self, now: Time, mark: OrganisationHash) -> Vec<SocketAddr> {
        let Some(account) = self.accounts.get(&mark) else { return Vec::new() };
        let heard = account.others.iter();
        let heard = heard.filter(|(_, other)| now.since(other.heard_at) < HELD_BACK);
        heard.map(|(address, _)| *address).collect()
    }
}
