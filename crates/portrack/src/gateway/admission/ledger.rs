//! The accounts of a quota accountant: its own counts of each organisation, and those of its peers.
//!
//! Each data hall has an accountant for an organisation, which the daemons of that hall ask before they
//! send a request. Accountants send each other the number of units that they have admitted, so that each
//! knows the fleet's total, at most a tenth of a second late for organisations near their limit; what is
//! admitted in the meantime becomes a debt that is paid off first. An accountant that falls silent is
//! assumed to keep admitting its share.

use super::bucket::TokenBucket;
use super::organisations::{OrganisationHash, Quota};
use super::quotas::QuotaCount;
use super::rate::DecayingRate;
use crate::types::Time;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time without a report after which an accountant is silent: two reports are lost. A hall is silent if
/// all of its accountants are.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(650);
/// How long the share of a silent hall stays reserved: until its proof of keys has expired and a
/// further window has passed.
const HALL_RESERVE_TIME: Duration = Duration::from_secs(12);
/// How long the share of a silent accountant stays reserved if another one of its hall is active: it
/// may have stopped, or be partitioned with daemons that keep asking it until their proof of keys
/// expires. With 22 of 72 nodes in a partition of their own, accountants among them, no hall was
/// silent to either side, and both sides granted the whole quota.
const ACCOUNTANT_RESERVE_TIME: Duration = Duration::from_millis(4_500);
/// Time without requests and peer reports after which an account is closed.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time since the last request during which an account is reported to peers.
const REPORTING_TIME: Duration = Duration::from_secs(12);
/// Age up to which a new account adopts the level of a peer with an older account.
const NEW_ACCOUNT_AGE: Duration = Duration::from_millis(1_000);
/// Maximum retry delay for a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(8);

/// Decision of an accountant on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The request is within the quota.
    Granted,
    /// The request exceeds the quota; it may be retried after this time.
    Refused(Duration),
}

/// State of another accountant of an organisation.
#[derive(Debug, Clone)]
struct PeerAccountant {
    hall: Rc<str>,
    born: u64,
    admitted: f64,
    rate: f64,
    /// Its share of the fleet's traffic at its last report. While it is silent, this stays its share of
    /// the quota, however much the demand grows on either side.
    share: f64,
    received_at: Time,
}

/// An accountant that has fallen silent but may still admit requests.
#[derive(Debug, Clone, Copy)]
struct SilentAccountant {
    address: SocketAddr,
    rate: f64,
    share: f64,
    silence: Duration,
}

/// Account of one organisation.
#[derive(Debug)]
struct Account {
    born: u64,
    opened_at: Time,
    /// The time of the last request, if any: an account that only receives reports is the standby of
    /// another accountant of its hall.
    asked_at: Option<Time>,
    last_used_at: Time,
    bucket: TokenBucket,
    admitted: f64,
    rate: DecayingRate,
    others: HashMap<SocketAddr, PeerAccountant>,
    /// Units that each daemon has refunded to this account, with the daemon's incarnation.
    refunds: HashMap<SocketAddr, (u64, f64)>,
    /// Units reserved for each silent accountant.
    reserved: BTreeMap<SocketAddr, f64>,
    /// Refused callers get staggered retry times; this is the last one.
    last_retry_at: Time,
}

impl Account {
    fn new(now: Time, born: u64, quota: &Quota) -> Self {
        Self {
            born,
            opened_at: now,
            asked_at: None,
            last_used_at: now,
            bucket: TokenBucket::new(now, quota),
            admitted: 0.0,
            rate: DecayingRate::default(),
            others: HashMap::new(),
            refunds: HashMap::new(),
            reserved: BTreeMap::new(),
            last_retry_at: now,
        }
    }

    /// The silent accountants that may still admit requests.
    fn silent(&self, now: Time, own_hall: &str) -> Vec<SilentAccountant> {
        let is_active = |other: &PeerAccountant| now.since(other.received_at) < SILENCE_TIMEOUT;
        let hall_is_active = |hall: &str| {
            hall == own_hall
                || self.others.values().any(|other| is_active(other) && &*other.hall == hall)
        };
        let silent = self.others.iter().filter(|(_, other)| !is_active(other));
        let silent = silent.map(|(address, other)| {
            let (rate, share, silence) = (other.rate, other.share, now.since(other.received_at));
            let reserve_time = if hall_is_active(&other.hall) {
                ACCOUNTANT_RESERVE_TIME
            } else {
                HALL_RESERVE_TIME
            };
            (SilentAccountant { address: *address, rate, share, silence }, reserve_time)
        });
        silent
            .filter(|(other, reserve_time)| other.silence < *reserve_time)
            .map(|(other, _)| other)
            .collect()
    }

    /// Units per second of all active accountants, and of the silent ones.
    fn rates(&self, now: Time, own_hall: &str) -> (f64, f64) {
        let active =
            self.others.values().filter(|other| now.since(other.received_at) < SILENCE_TIMEOUT);
        let active = self.rate.per_second(now) + active.map(|other| other.rate).sum::<f64>();
        (active, self.silent(now, own_hall).iter().map(|other| other.rate).sum())
    }

    fn refill(&mut self, now: Time, quota: &Quota, slack: f64, own_hall: &str) {
        let silent = self.reserve_for_silent(now, quota, slack, own_hall);
        self.bucket.refill(now, quota, slack, (1.0 - silent).max(0.0));
    }

    /// Reserves for each silent accountant its share of the refill, and of the units that both sides
    /// considered available when it fell silent, since it may use them. Without this, a hall that was
    /// isolated just as an organisation's traffic rose led to 1.06 times what a window may hold, since
    /// both sides used the burst. The reserve is released when the accountant reports again, together
    /// with the units that it has admitted.
    ///
    /// Returns the share of the quota of all silent accountants.
    fn reserve_for_silent(&mut self, now: Time, quota: &Quota, slack: f64, own_hall: &str) -> f64 {
        let since = now.since(self.bucket.refilled_at());
        let silent = self.silent(now, own_hall);
        self.reserved.retain(|address, _| silent.iter().any(|other| other.address == *address));
        for other in &silent {
            if let Some(units) = self.reserved.get_mut(&other.address) {
                *units += quota.refill(since) * other.share;
                continue;
            }
            let meanwhile = quota.refill(other.silence) + TokenBucket::depth(quota, slack);
            self.bucket.take(meanwhile * other.share);
            self.reserved.insert(other.address, meanwhile * other.share);
        }
        silent.iter().map(|other| other.share).sum()
    }

    fn ask(&mut self, now: Time, quota: &Quota, units: f64) -> QuotaDecision {
        self.asked_at = Some(now);
        self.last_used_at = now;
        if self.bucket.level() > 0.0 {
            self.bucket.take(units);
            self.admitted += units;
            self.rate.count(now, units);
            return QuotaDecision::Granted;
        }
        let span = |units: f64| Duration::from_secs_f64(units.max(0.0) / quota.per_second);
        let debt_paid = now + span(-self.bucket.level());
        let latest = now + MAX_RETRY_AFTER;
        self.last_retry_at = (self.last_retry_at.max(debt_paid) + span(units)).min(latest);
        QuotaDecision::Refused(self.last_retry_at.since(now).max(Duration::from_millis(1)))
    }

    fn refund(&mut self, units: f64) {
        self.bucket.take(-units);
        self.admitted -= units;
    }

    /// Merges the count of another accountant.
    fn merge_count(
        &mut self,
        now: Time,
        from: SocketAddr,
        hall: &Rc<str>,
        count: &QuotaCount,
        own_hall: &str,
    ) {
        if self.others.get(&from).is_some_and(|other| other.born > count.born) {
            return;
        }
        if let Some(units) = self.reserved.remove(&from) {
            self.bucket.take(-units);
        }
        let peer_age = Duration::from_millis(count.open_ms.into());
        let own_age = now.since(self.opened_at);
        let already_counted = match self.others.get(&from) {
            Some(other) if other.born == count.born => other.admitted,
            // The peer's account is younger than this one: none of its units has been counted here.
            _ if peer_age <= own_age => 0.0,
            _ => {
                if own_age < NEW_ACCOUNT_AGE {
                    self.bucket.set_level(count.level - self.admitted);
                }
                count.admitted
            }
        };
        // A late report returns units that the next one takes again; a duplicate changes nothing.
        self.bucket.take(count.admitted - already_counted);
        let other = PeerAccountant {
            hall: hall.clone(),
            born: count.born,
            admitted: count.admitted,
            rate: count.pace,
            share: 0.0,
            received_at: now,
        };
        self.others.insert(from, other);
        let (active, silent) = self.rates(now, own_hall);
        if let Some(other) = self.others.get_mut(&from) {
            other.share = other.rate / (active + silent).max(f64::MIN_POSITIVE);
        }
    }
}

/// The accounts of a daemon in its role as quota accountant.
#[derive(Debug)]
pub struct QuotaLedger {
    hall: Rc<str>,
    slack: f64,
    accounts: HashMap<OrganisationHash, Account>,
}

impl QuotaLedger {
    /// An empty ledger of a daemon in `hall`; `slack` is the number of units that users allow beyond
    /// any quota.
    pub fn new(hall: &str, slack: f64) -> Self {
        Self { hall: hall.into(), slack, accounts: HashMap::new() }
    }

    /// Decides on a request of `units`. `born` distinguishes this account from other accounts that the
    /// daemon opens for the organisation.
    pub fn ask(
        &mut self,
        now: Time,
        hash: OrganisationHash,
        quota: &Quota,
        units: f64,
        born: u64,
    ) -> QuotaDecision {
        let account = self.accounts.entry(hash).or_insert_with(|| Account::new(now, born, quota));
        account.refill(now, quota, self.slack, &self.hall);
        account.ask(now, quota, units)
    }

    /// Refunds the units of a request that was not run.
    pub fn refund(&mut self, hash: OrganisationHash, units: f64) {
        if let Some(account) = self.accounts.get_mut(&hash) {
            account.refund(units);
        }
    }

    /// Merges the total that a daemon has refunded in its current incarnation. The first report is only
    /// the baseline, since it may include refunds to an earlier account. A late or duplicate report
    /// changes nothing.
    pub fn merge_refunds(
        &mut self,
        from: SocketAddr,
        incarnation: u64,
        hash: OrganisationHash,
        total: f64,
    ) {
        let Some(account) = self.accounts.get_mut(&hash) else { return };
        let (known_incarnation, before) =
            *account.refunds.entry(from).or_insert((incarnation, total));
        if known_incarnation > incarnation || (known_incarnation == incarnation && total <= before)
        {
            return;
        }
        account.refunds.insert(from, (incarnation, total));
        if known_incarnation == incarnation {
            account.refund(total - before);
        }
    }

    /// Merges the count of another accountant for an organisation. This is also how the standby of a
    /// hall's accountant learns the fleet's traffic.
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
        account.last_used_at = now;
        account.refill(now, quota, self.slack, &self.hall);
        account.merge_count(now, from, hall, count, &self.hall);
    }

    /// The fleet's traffic as a share of the quota.
    pub fn usage(&self, now: Time, hash: OrganisationHash, quota: &Quota) -> f64 {
        let Some(account) = self.accounts.get(&hash) else { return 0.0 };
        let (active, silent) = account.rates(now, &self.hall);
        (active + silent) / quota.per_second
    }

    /// The counts to report to other accountants: of all organisations, or only of those near their
    /// limit.
    pub fn counts(
        &mut self,
        now: Time,
        all: bool,
        quota_of: impl Fn(OrganisationHash) -> Option<Quota>,
    ) -> Vec<QuotaCount> {
        self.accounts.retain(|_, account| now.since(account.last_used_at) < ACCOUNT_IDLE_TIMEOUT);
        let mut counts = Vec::new();
        let is_reporting =
            |account: &Account| account.asked_at.is_some_and(|at| now.since(at) < REPORTING_TIME);
        for (hash, account) in self.accounts.iter_mut().filter(|(_, account)| is_reporting(account))
        {
            let Some(quota) = quota_of(*hash) else { continue };
            account.refill(now, &quota, self.slack, &self.hall);
            let level = account.bucket.level();
            if !all && level > TokenBucket::depth(&quota, self.slack) / 2.0 {
                continue;
            }
            counts.push(QuotaCount {
                organisation: *hash,
                born: account.born,
                open_ms: now.since(account.opened_at).as_millis().try_into().unwrap_or(u32::MAX),
                admitted: account.admitted,
                level,
                pace: account.rate.per_second(now),
            });
        }
        counts
    }

    /// The other accountants of an organisation that have reported recently.
    pub fn known_accountants(&self, now: Time, hash: OrganisationHash) -> Vec<SocketAddr> {
        let Some(account) = self.accounts.get(&hash) else { return Vec::new() };
        let active = account.others.iter();
        let active = active.filter(|(_, other)| now.since(other.received_at) < HALL_RESERVE_TIME);
        active.map(|(address, _)| *address).collect()
    }
}
