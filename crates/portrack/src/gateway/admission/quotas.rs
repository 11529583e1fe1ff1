//! Quota enforcement: asks accountants on behalf of requests, and acts as an accountant for others.

use super::fallback::FallbackShare;
use super::ledger::{QuotaDecision, QuotaLedger};
use super::organisations::{Organisation, OrganisationHash, Quota};
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons, UnresponsiveDaemons};
use crate::gateway::fleet::incarnation::Incarnation;
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::view::FleetView;
use crate::gateway::requests::caller::{RefusalReason, Refused};
use crate::types::{Clock, Time};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::oneshot;

/// Timeout for the answer of an accountant, which is in the same data hall. The round trip takes half a
/// millisecond, but a process that has used up its CPU quota of a 100 ms period is throttled for the
/// rest of it, at either end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of accountants that are asked for one request.
const MAX_ATTEMPTS: usize = 2;
/// How long an accountant that did not answer is avoided: with one datagram in twenty lost, a node must
/// not be without an accountant for long.
const UNRESPONSIVE_FOR: Duration = Duration::from_millis(500);
/// Retry delay if no accountant answers and this daemon's own share is used up.
const FALLBACK_RETRY: Duration = Duration::from_millis(700);
/// Interval of the reports to other accountants, for organisations near their limit.
pub(in crate::gateway) const COUNTS_INTERVAL: Duration = Duration::from_millis(100);
/// Every how many reports all organisations are included.
const FULL_REPORT_EVERY: u64 = 3;
/// Daemons of a hall that receive the counts of others: the accountant and its standby, which is asked
/// if the accountant does not answer.
const ACCOUNTANTS_PER_HALL: usize = 2;
/// Maximum number of counts in one datagram.
const COUNTS_PER_DATAGRAM: usize = 24;

/// Request to an accountant for the units of one request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Identifies this request in the answer.
    pub ask: u32,
    /// The organisation that the request belongs to.
    pub organisation: OrganisationHash,
    /// The units that the request needs.
    pub units: f64,
}

/// Answer of an accountant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// Identifies the request that is answered.
    pub ask: u32,
    /// Retry delay in milliseconds; the request is granted if `None`.
    pub refused_ms: Option<u32>,
    /// The fleet's traffic in percent of the quota.
    pub used_percent: u16,
}

/// Count of one accountant for an organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// Distinguishes the accounts that the daemon opens for it.
    pub born: u64,
    /// Age of the account in milliseconds.
    pub open_ms: u32,
    /// Units admitted since the account was opened.
    pub admitted: f64,
    /// Units available, as known to this accountant.
    pub level: f64,
    /// Units admitted per second recently.
    pub pace: f64,
}

/// Report of an accountant to the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaCounts {
    /// The accountant's data hall.
    pub hall: String,
    /// The accountant's counts.
    pub counts: Vec<QuotaCount>,
}

/// Refunds of a daemon to an accountant: units of requests that were not run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaRefunds {
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// Total of refunded units since the daemon started, by organisation.
    pub units: Vec<(OrganisationHash, f64)>,
}

/// Messages between daemons about quotas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// Request to an accountant.
    Ask(QuotaRequest),
    /// Answer to the daemon that asked.
    Answer(QuotaAnswer),
    /// Report to the other accountants.
    Counts(QuotaCounts),
    /// Refunds to an accountant.
    Returned(QuotaRefunds),
}

/// Enforces the quotas of organisations on one daemon.
pub struct Quotas {
    clock: Rc<dyn Clock>,
    view: Rc<RefCell<FleetView>>,
    messenger: Rc<Messenger>,
    me: DaemonInfo,
    daemons: Rc<RefCell<Daemons>>,
    incarnation: Incarnation,
    ledger: RefCell<QuotaLedger>,
    pending: RefCell<HashMap<u32, oneshot::Sender<QuotaAnswer>>>,
    last_request_id: Cell<u32>,
    reports_sent: Cell<u64>,
    unresponsive: UnresponsiveDaemons,
    fallback_shares: RefCell<HashMap<OrganisationHash, FallbackShare>>,
    /// Total of refunds, by the accountant that had granted the units.
    refunds: RefCell<HashMap<SocketAddr, HashMap<OrganisationHash, f64>>>,
    unsent_refunds: RefCell<Vec<(SocketAddr, OrganisationHash)>>,
}

impl Quotas {
    /// Quotas without any counts; `slack` is the number of units that users allow beyond any quota, and
    /// `daemons` is kept up to date by other components.
    pub fn new(
        clock: Rc<dyn Clock>,
        view: Rc<RefCell<FleetView>>,
        messenger: Rc<Messenger>,
        me: DaemonInfo,
        daemons: Rc<RefCell<Daemons>>,
        incarnation: Incarnation,
        slack: f64,
    ) -> Self {
        let ledger = QuotaLedger::new(&me.hall, slack);
        Self {
            clock,
            view,
            messenger,
            me,
            daemons,
            incarnation,
            ledger: RefCell::new(ledger),
            pending: RefCell::default(),
            last_request_id: Cell::new(0),
            reports_sent: Cell::new(0),
            unresponsive: UnresponsiveDaemons::default(),
            fallback_shares: RefCell::default(),
            refunds: RefCell::default(),
            unsent_refunds: RefCell::default(),
        }
    }

    fn quota(&self, hash: OrganisationHash) -> Option<Quota> {
        let view = self.view.borrow();
        view.config()?.organisations.as_ref()?.by_hash(hash)?.quota
    }

    /// Admits a request if its organisation's quota allows it.
    pub async fn admit(
        self: &Rc<Self>,
        organisation: &Organisation,
        tokens: Option<u64>,
    ) -> Result<Charge, Refused> {
        let Some(quota) = organisation.quota else { return Ok(Charge::free()) };
        let hash = organisation.name_hash();
        let units = quota.units(tokens);
        for _ in 0..MAX_ATTEMPTS {
            let Some(accountant) = self.accountant(hash) else { break };
            let Some(answer) = self.ask(accountant, hash, &quota, units).await else {
                let until = self.clock.now() + UNRESPONSIVE_FOR;
                self.unresponsive.avoid(accountant, until);
                continue;
            };
            return self.on_answer(accountant, hash, units, &answer);
        }
        let (now, daemons) = (self.clock.now(), self.daemons.borrow().count());
        let mut fallback_shares = self.fallback_shares.borrow_mut();
        match fallback_shares.entry(hash).or_default().admit(now, &quota, units, daemons) {
            true => Ok(Charge::free()),
            false => Err(Refused::new(RefusalReason::Quota, Some(FALLBACK_RETRY))),
        }
    }

    /// The fleet's traffic of an organisation in percent of its quota, as last reported; -1 if unknown.
    pub fn used_percent(&self, hash: OrganisationHash) -> i64 {
        let used = self.fallback_shares.borrow().get(&hash).and_then(FallbackShare::fleet_usage);
        used.map_or(-1, |used| (used * 100.0).round() as i64)
    }

    fn accountant(&self, hash: OrganisationHash) -> Option<SocketAddr> {
        let now = self.clock.now();
        // Only the first daemons of the hall receive the counts of other halls' accountants. Without
        // this bound, an isolated node ended up asking itself and granted the whole quota on its own.
        self.daemons.borrow().first_of_hall(hash.0, &self.me.hall, ACCOUNTANTS_PER_HALL, |daemon| {
            !self.unresponsive.contains(now, daemon.address)
        })
    }

    async fn ask(
        &self,
        accountant: SocketAddr,
        hash: OrganisationHash,
        quota: &Quota,
        units: f64,
    ) -> Option<QuotaAnswer> {
        let ask = self.last_request_id.get().wrapping_add(1);
        self.last_request_id.set(ask);
        let request = QuotaRequest { ask, organisation: hash, units };
        if accountant == self.me.address {
            return Some(self.decide(&request, quota));
        }
        let (sender, answer) = oneshot::channel();
        self.pending.borrow_mut().insert(ask, sender);
        self.messenger.send(&PeerMessage::Quota(QuotaMessage::Ask(request)), accountant);
        let answer = actix_rt::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.pending.borrow_mut().remove(&ask);
        answer.ok()?.ok()
    }

    fn on_answer(
        self: &Rc<Self>,
        accountant: SocketAddr,
        hash: OrganisationHash,
        units: f64,
        answer: &QuotaAnswer,
    ) -> Result<Charge, Refused> {
        let mut fallback_shares = self.fallback_shares.borrow_mut();
        let share = fallback_shares.entry(hash).or_default();
        share.update_usage(self.clock.now(), f64::from(answer.used_percent) / 100.0);
        if let Some(millis) = answer.refused_ms {
            let after = Duration::from_millis(millis.into());
            return Err(Refused::new(RefusalReason::Quota, Some(after)));
        }
        share.record_granted(self.clock.now(), units);
        let taken = TakenUnits { quotas: self.clone(), accountant, hash, units };
        Ok(Charge { taken: Some(taken), may_have_run: false })
    }

    /// Decides on a request as an accountant.
    fn decide(&self, request: &QuotaRequest, quota: &Quota) -> QuotaAnswer {
        let now = self.clock.now();
        let (hash, units) = (request.organisation, request.units);
        let mut ledger = self.ledger.borrow_mut();
        let decision = ledger.ask(now, hash, quota, units, self.incarnation.number() + now.0);
        let used = ledger.usage(now, hash, quota) * 100.0;
        QuotaAnswer {
            ask: request.ask,
            refused_ms: match decision {
                QuotaDecision::Granted => None,
                QuotaDecision::Refused(after) => {
                    Some(after.as_millis().try_into().unwrap_or(u32::MAX))
                }
            },
            used_percent: used as u16,
        }
    }

    /// Handles a message of another daemon.
    pub fn on_message(&self, message: QuotaMessage, from: SocketAddr) {
        let now = self.clock.now();
        match message {
            QuotaMessage::Ask(request) => {
                // Without the organisation in the configuration, there is no answer: the daemon that
                // asks falls back to its own share.
                let Some(quota) = self.quota(request.organisation) else { return };
                let answer = QuotaMessage::Answer(self.decide(&request, &quota));
                self.messenger.send(&PeerMessage::Quota(answer), from);
            }
            QuotaMessage::Answer(answer) => {
                if let Some(sender) = self.pending.borrow_mut().remove(&answer.ask) {
                    // The receiver is gone if the request has been abandoned in the meantime.
                    let _ = sender.send(answer);
                }
            }
            QuotaMessage::Counts(report) => {
                let hall: Rc<str> = report.hall.into();
                for count in &report.counts {
                    let Some(quota) = self.quota(count.organisation) else { continue };
                    let born = self.incarnation.number() + now.0;
                    self.ledger.borrow_mut().merge_count(now, from, &hall, count, &quota, born);
                }
            }
            QuotaMessage::Returned(refunds) => {
                let mut ledger = self.ledger.borrow_mut();
                for (hash, total) in refunds.units {
                    ledger.merge_refunds(from, refunds.incarnation, hash, total);
                }
            }
        }
    }

    /// Sends the counts of this accountant to the others, and refunds to the accountants concerned.
    pub fn send_counts(&self) {
        self.send_refunds();
        let now = self.clock.now();
        let round = self.reports_sent.get();
        self.reports_sent.set(round + 1);
        let all = round.is_multiple_of(FULL_REPORT_EVERY);
        let counts = self.ledger.borrow_mut().counts(now, all, |hash| self.quota(hash));
        let mut by_target: HashMap<SocketAddr, Vec<QuotaCount>> = HashMap::new();
        for count in counts {
            for target in self.recipients(now, count.organisation) {
                by_target.entry(target).or_default().push(count.clone());
            }
        }
        for (target, counts) in by_target {
            for chunk in counts.chunks(COUNTS_PER_DATAGRAM) {
                let hall = self.me.hall.to_string();
                let report = QuotaMessage::Counts(QuotaCounts { hall, counts: chunk.to_vec() });
                self.messenger.send(&PeerMessage::Quota(report), target);
            }
        }
    }

    fn recipients(&self, now: Time, hash: OrganisationHash) -> Vec<SocketAddr> {
        let mut recipients = self.daemons.borrow().of_each_hall(hash.0, ACCOUNTANTS_PER_HALL);
        recipients.extend(self.ledger.borrow().known_accountants(now, hash));
        recipients.sort();
        recipients.dedup();
        recipients.retain(|address| *address != self.me.address);
        recipients
    }

    fn send_refunds(&self) {
        let mut by_accountant: HashMap<SocketAddr, Vec<(OrganisationHash, f64)>> = HashMap::new();
        let refunds = self.refunds.borrow();
        for (accountant, hash) in self.unsent_refunds.take() {
            let total = refunds.get(&accountant).and_then(|hashes| hashes.get(&hash)).copied();
            let totals = by_accountant.entry(accountant).or_default();
            if !totals.iter().any(|(other, _)| *other == hash) {
                totals.push((hash, total.unwrap_or_default()));
            }
        }
        for (accountant, totals) in by_accountant {
            for chunk in totals.chunks(COUNTS_PER_DATAGRAM) {
                let (incarnation, units) = (self.incarnation.number(), chunk.to_vec());
                let refunds = QuotaMessage::Returned(QuotaRefunds { incarnation, units });
                self.messenger.send(&PeerMessage::Quota(refunds), accountant);
            }
        }
    }

    fn refund(&self, accountant: SocketAddr, hash: OrganisationHash, units: f64) {
        if accountant == self.me.address {
            self.ledger.borrow_mut().refund(hash, units);
            return;
        }
        let mut refunds = self.refunds.borrow_mut();
        *refunds.entry(accountant).or_default().entry(hash).or_default() += units;
        self.unsent_refunds.borrow_mut().push((accountant, hash));
    }
}

/// Units that a request has taken from a quota; refunded on drop, unless the request may have run.
pub struct Charge {
    taken: Option<TakenUnits>,
    may_have_run: bool,
}

struct TakenUnits {
    quotas: Rc<Quotas>,
    accountant: SocketAddr,
    hash: OrganisationHash,
    units: f64,
}

impl Charge {
    /// A charge of no units: the organisation has no quota, or no accountant was involved.
    pub fn free() -> Self {
        Self { taken: None, may_have_run: false }
    }

    /// Records that the request is being sent to a server.
    pub fn mark_sent(&mut self) {
        self.may_have_run = true;
    }

    /// Records that no server has run the request.
    pub fn mark_not_run(&mut self) {
        self.may_have_run = false;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let taken = self.taken.take().filter(|_| !self.may_have_run);
        if let Some(TakenUnits { quotas, accountant, hash, units }) = taken {
            quotas.refund(accountant, hash, units);
        }
    }
}
