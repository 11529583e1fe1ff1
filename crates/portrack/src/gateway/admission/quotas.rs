//! Asks accountants on behalf of requests, and answers daemons that ask this one.

use super::blind::FallbackShare;
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

/// The longest wait for an accountant, which is of the same data hall. The way there and back takes half a
/// millisecond; a processor that has used up its share of a tenth of a second pauses for the rest of it,
/// at either end.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);
/// Accountants that one request asks.
const TRIES: usize = 2;
/// One that did not answer is not asked for so long: one lost datagram in twenty must not leave a node to
/// itself for long.
const SHUNNED_FOR: Duration = Duration::from_millis(500);
/// When to come back if no accountant answers and this daemon's own part is used up.
const BLIND_RETRY: Duration = Duration::from_millis(700);
/// Between tellings of what is counted, for organisations near their limit.
pub(in crate::gateway) const COUNTS_INTERVAL: Duration = Duration::from_millis(100);
/// The others are told of in every so many of these.
const ALL_TOLD_EVERY: u64 = 3;
/// Daemons of a hall that are told what others count: the one that is asked and the one that is
/// asked if it does not answer.
const OF_EACH_HALL: usize = 2;
/// Counts in one datagram.
const COUNTS_CHUNK: usize = 24;

/// Asks for a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Tells the answer's question.
    pub ask: u32,
    /// Whose request it is.
    pub organisation: OrganisationHash,
    /// What the request takes.
    pub units: f64,
}

/// The answer of an accountant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaAnswer {
    /// The question.
    pub ask: u32,
    /// When there may be room, in milliseconds; the request is let in if left out.
    pub refused_ms: Option<u32>,
    /// What the fleet sends, in percent of the limit.
    pub used_percent: u16,
}

/// What one accountant has counted of an organisation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaCount {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// Differs with every account that the daemon opens for it.
    pub born: u64,
    /// For how long the account has been open, in milliseconds.
    pub open_ms: u32,
    /// Units let in since.
    pub admitted: f64,
    /// Units left, as this accountant knows it.
    pub level: f64,
    /// Units let in a second lately.
    pub pace: f64,
}

/// What an accountant tells the others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaCounts {
    /// Its data hall.
    pub hall: String,
    /// Its counts.
    pub counts: Vec<QuotaCount>,
}

/// What a daemon has given back to an accountant: units of requests that have not run after all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QuotaRefunds {
    /// The daemon's incarnation.
    pub incarnation: u64,
    /// All units since it started, by organisation.
    pub units: Vec<(OrganisationHash, f64)>,
}

/// What daemons tell each other of quotas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum QuotaMessage {
    /// To an accountant.
    Ask(QuotaRequest),
    /// To the daemon that asked.
    Answer(QuotaAnswer),
    /// To the other accountants.
    Counts(QuotaCounts),
    /// To an accountant.
    Returned(QuotaRefunds),
}

/// The quotas as one daemon sees them.
pub struct Quotas {
    clock: Rc<dyn Clock>,
    view: Rc<RefCell<FleetView>>,
    messenger: Rc<Messenger>,
    me: DaemonInfo,
    daemons: Rc<RefCell<Daemons>>,
    incarnation: Incarnation,
    ledger: RefCell<QuotaLedger>,
    waiting: RefCell<HashMap<u32, oneshot::Sender<QuotaAnswer>>>,
    asked: Cell<u32>,
    tellings: Cell<u64>,
    shunned: UnresponsiveDaemons,
    blind: RefCell<HashMap<OrganisationHash, FallbackShare>>,
    /// Given back so far, by the accountant that had let it in.
    returned: RefCell<HashMap<SocketAddr, HashMap<OrganisationHash, f64>>>,
    to_return: RefCell<Vec<(SocketAddr, OrganisationHash)>>,
}

impl Quotas {
    /// Quotas of which nothing is counted yet, where users allow `slack` units beyond any of them;
    /// `daemons` is kept up to date by others.
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
            waiting: RefCell::default(),
            asked: Cell::new(0),
            tellings: Cell::new(0),
            shunned: UnresponsiveDaemons::default(),
            blind: RefCell::default(),
            returned: RefCell::default(),
            to_return: RefCell::default(),
        }
    }

    fn quota(&self, mark: OrganisationHash) -> Option<Quota> {
        let view = self.view.borrow();
        view.config()?.organisations.as_ref()?.by_hash(mark)?.quota
    }

    /// Lets a request in if its organisation's quota allows it.
    pub async fn admit(
        self: &Rc<Self>,
        organisation: &Organisation,
        tokens: Option<u64>,
    ) -> Result<Charge, Refused> {
        let Some(quota) = organisation.quota else { return Ok(Charge::free()) };
        let mark = organisation.name_hash();
        let units = quota.units(tokens);
        for _ in 0..TRIES {
            let Some(accountant) = self.accountant(mark) else { break };
            let Some(answer) = self.ask(accountant, mark, &quota, units).await else {
                let until = self.clock.now() + SHUNNED_FOR;
                self.shunned.avoid(accountant, until);
                continue;
            };
            return self.answered(accountant, mark, units, &answer);
        }
        let (now, daemons) = (self.clock.now(), self.daemons.borrow().count());
        let mut blind = self.blind.borrow_mut();
        match blind.entry(mark).or_default().admit(now, &quota, units, daemons) {
            true => Ok(Charge::free()),
            false => Err(Refused::new(RefusalReason::Quota, Some(BLIND_RETRY))),
        }
    }

    /// What the fleet sends of an organisation, in percent of its limit, as told last; -1 if never.
    pub fn used_percent(&self, mark: OrganisationHash) -> i64 {
        let used = self.blind.borrow().get(&mark).and_then(FallbackShare::fleet_usage);
        used.map_or(-1, |used| (used * 100.0).round() as i64)
    }

    fn accountant(&self, mark: OrganisationHash) -> Option<SocketAddr> {
        let now = self.clock.now();
        // Others are told nothing by the accountants of other halls. A node that was cut off from
        // everybody came to itself in the end, and gave out the whole limit on its own.
        self.daemons.borrow().first_of_hall(mark.0, &self.me.hall, OF_EACH_HALL, |daemon| {
            !self.shunned.contains(now, daemon.address)
        })
    }

    async fn ask(
        &self,
        accountant: SocketAddr,
        mark: OrganisationHash,
        quota: &Quota,
        units: f64,
    ) -> Option<QuotaAnswer> {
        let ask = self.asked.get().wrapping_add(1);
        self.asked.set(ask);
        let question = QuotaRequest { ask, organisation: mark, units };
        if accountant == self.me.address {
            return Some(self.decide(&question, quota));
        }
        let (answered, answer) = oneshot::channel();
        self.waiting.borrow_mut().insert(ask, answered);
        self.messenger.send(&PeerMessage::Quota(QuotaMessage::Ask(question)), accountant);
        let answer = actix_rt::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.waiting.borrow_mut().remove(&ask);
        answer.ok()?.ok()
    }

    fn answered(
        self: &Rc<Self>,
        accountant: SocketAddr,
        mark: OrganisationHash,
        units: f64,
        answer: &QuotaAnswer,
    ) -> Result<Charge, Refused> {
        let mut blind = self.blind.borrow_mut();
        let share = blind.entry(mark).or_default();
        share.update_usage(self.clock.now(), f64::from(answer.used_percent) / 100.0);
        if let Some(millis) = answer.refused_ms {
            let after = Duration::from_millis(millis.into());
            return Err(Refused::new(RefusalReason::Quota, Some(after)));
        }
        share.record_granted(self.clock.now(), units);
        let taken = Taken { quotas: self.clone(), accountant, mark, units };
        Ok(Charge { taken: Some(taken), may_have_run: false })
    }

    /// This daemon's own decision as an accountant.
    fn decide(&self, question: &QuotaRequest, quota: &Quota) -> QuotaAnswer {
        let now = self.clock.now();
        let (mark, units) = (question.organisation, question.units);
        let mut ledger = self.ledger.borrow_mut();
        let verdict = ledger.ask(now, mark, quota, units, self.incarnation.number() + now.0);
        let used = ledger.usage(now, mark, quota) * 100.0;
        QuotaAnswer {
            ask: question.ask,
            refused_ms: match verdict {
                QuotaDecision::Granted => None,
                QuotaDecision::Refused(after) => {
                    Some(after.as_millis().try_into().unwrap_or(u32::MAX))
                }
            },
            used_percent: used as u16,
        }
    }

    /// Takes in a message of another daemon.
    pub fn on_message(&self, message: QuotaMessage, from: SocketAddr) {
        let now = self.clock.now();
        match message {
            QuotaMessage::Ask(question) => {
                // A configuration that does not know the organisation is left to answer for itself.
                let Some(quota) = self.quota(question.organisation) else { return };
                let answer = QuotaMessage::Answer(self.decide(&question, &quota));
                self.messenger.send(&PeerMessage::Quota(answer), from);
            }
            QuotaMessage::Answer(answer) => {
                if let Some(waiting) = self.waiting.borrow_mut().remove(&answer.ask) {
                    // The request may have been given up meanwhile.
                    let _ = waiting.send(answer);
                }
            }
            QuotaMessage::Counts(told) => {
                let hall: Rc<str> = told.hall.into();
                for count in &told.counts {
                    let Some(quota) = self.quota(count.organisation) else { continue };
                    let born = self.incarnation.number() + now.0;
                    self.ledger.borrow_mut().merge_count(now, from, &hall, count, &quota, born);
                }
            }
            QuotaMessage::Returned(returned) => {
                let mut ledger = self.ledger.borrow_mut();
                for (mark, all) in returned.units {
                    ledger.merge_refunds(from, returned.incarnation, mark, all);
                }
            }
        }
    }

    /// Tells the other accountants what this one has counted, and accountants what was given back.
    pub fn send_counts(&self) {
        self.tell_returned();
        let now = self.clock.now();
        let telling = self.tellings.get();
        self.tellings.set(telling + 1);
        let all = telling.is_multiple_of(ALL_TOLD_EVERY);
        let counts = self.ledger.borrow_mut().counts(now, all, |mark| self.quota(mark));
        let mut by_target: HashMap<SocketAddr, Vec<QuotaCount>> = HashMap::new();
        for count in counts {
            for target in self.listeners(now, count.organisation) {
                by_target.entry(target).or_default().push(count.clone());
            }
        }
        for (target, counts) in by_target {
            for chunk in counts.chunks(COUNTS_CHUNK) {
                let hall = self.me.hall.to_string();
                let told = QuotaMessage::Counts(QuotaCounts { hall, counts: chunk.to_vec() });
                self.messenger.send(&PeerMessage::Quota(told), target);
            }
        }
    }

    fn listeners(&self, now: Time, mark: OrganisationHash) -> Vec<SocketAddr> {
        let mut listeners = self.daemons.borrow().of_each_hall(mark.0, OF_EACH_HALL);
        listeners.extend(self.ledger.borrow().known_accountants(now, mark));
        listeners.sort();
        listeners.dedup();
        listeners.retain(|address| *address != self.me.address);
        listeners
    }

    fn tell_returned(&self) {
        let mut by_accountant: HashMap<SocketAddr, Vec<(OrganisationHash, f64)>> = HashMap::new();
        let returned = self.returned.borrow();
        for (accountant, mark) in self.to_return.take() {
            let all = returned.get(&accountant).and_then(|marks| marks.get(&mark)).copied();
            let told = by_accountant.entry(accountant).or_default();
            if !told.iter().any(|(other, _)| *other == mark) {
                told.push((mark, all.unwrap_or_default()));
            }
        }
        for (accountant, told) in by_accountant {
            for chunk in told.chunks(COUNTS_CHUNK) {
                let (incarnation, units) = (self.incarnation.number(), chunk.to_vec());
                let returned = QuotaMessage::Returned(QuotaRefunds { incarnation, units });
                self.messenger.send(&PeerMessage::Quota(returned), accountant);
            }
        }
    }

    fn refund(&self, accountant: SocketAddr, mark: OrganisationHash, units: f64) {
        if accountant == self.me.address {
            self.ledger.borrow_mut().refund(mark, units);
            return;
        }
        let mut returned = self.returned.borrow_mut();
        *returned.entry(accountant).or_default().entry(mark).or_default() += units;
        self.to_return.borrow_mut().push((accountant, mark));
    }
}

/// What a request has taken of a quota; given back when dropped, unless the request may have run.
pub struct Charge {
    taken: Option<Taken>,
    may_have_run: bool,
}

struct Taken {
    quotas: Rc<Quotas>,
    accountant: SocketAddr,
    mark: OrganisationHash,
    units: f64,
}

impl Charge {
    /// Of an organisation without a quota, or let in without an accountant.
    pub fn free() -> Self {
        Self { taken: None, may_have_run: false }
    }

    /// The request is sent to a server.
    pub fn may_run(&mut self) {
        self.may_have_run = true;
    }

    /// No server has run the request.
    pub fn has_not_run(&mut self) {
        self.may_have_run = false;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        let taken = self.taken.take().filter(|_| !self.may_have_run);
        if let Some(Taken { quotas, accountant, mark, units }) = taken {
            quotas.refund(accountant, mark, units);
        }
    }
}
