//! This daemon's access to the retry budgets of services.

use super::account::RetryAccount;
use super::bounds::RetryBounds;
use super::holder::{SLACK_KEY, SlackHolder};
use super::lease::SlackLease;
use super::message::RetryMessage;
use super::permit::{RetryPermit, RetrySource};
use super::slack::SlackAccount;
use crate::gateway::arrivals::PendingCalls;
use crate::gateway::fleet::daemons::Daemons;
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::store_sync::mirror::MirrorChange;
use crate::types::{Clock, Time};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long the holder of the slack may take to answer; a few round trips between regions.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(100);
/// How long the holder is not asked for a service again after it refused, for each daemon of the fleet: all
/// daemons together ask about 30 times a second, whatever their number.
const REFUSED_FOR_PER_DAEMON: Duration = Duration::from_millis(30);

/// Why nothing was granted from the slack.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlackRefusal {
    /// No daemon is known to hold it.
    NoHolder,
    /// This daemon holds it, and may not grant it or has granted all of it.
    Spent,
    /// The holder refused.
    Refused,
    /// The holder refused or did not answer a moment ago.
    NotAsked,
    /// The holder did not answer in time.
    Unanswered,
}

impl SlackRefusal {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoHolder => "no_holder",
            Self::Spent => "spent",
            Self::Refused => "refused",
            Self::NotAsked => "not_asked",
            Self::Unanswered => "unanswered",
        }
    }
}

/// State of a service's account at this daemon.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AccountState {
    /// Requests that are still counted.
    pub requests: u32,
    /// Earned retries that are still counted.
    pub retries: u32,
    /// Earned retries that may be taken now.
    pub available: f64,
}

/// What a [`RetryBudgets`] is built from.
pub struct RetryBudgetsDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Sends datagrams.
    pub messenger: Rc<Messenger>,
    /// The address this daemon receives datagrams on.
    pub me: SocketAddr,
    /// The daemons that are up and not leaving, kept up to date by other tasks.
    pub daemons: Rc<RefCell<Daemons>>,
    /// The bounds of the whole fleet.
    pub bounds: RetryBounds,
}

/// The retry budgets of all services, as far as this daemon may use them.
pub struct RetryBudgets {
    deps: RetryBudgetsDeps,
    accounts: RefCell<HashMap<Rc<str>, RetryAccount>>,
    slack: RefCell<HashMap<Rc<str>, SlackAccount>>,
    /// This daemon's right to grant the slack.
    pub(super) lease: RefCell<SlackLease>,
    /// Whether all known daemons ask for the slack, rather than use a share of it without asking.
    is_slack_shared: Cell<bool>,
    /// The daemon that the store names as holder of the slack.
    pub(super) holder: Cell<Option<SlackHolder>>,
    calls: PendingCalls<bool>,
    refused_until: RefCell<HashMap<Rc<str>, Time>>,
}

impl RetryBudgets {
    /// Creates budgets from which nothing was taken.
    pub fn new(deps: RetryBudgetsDeps) -> Self {
        Self {
            lease: RefCell::new(SlackLease::new(deps.bounds)),
            deps,
            accounts: RefCell::default(),
            slack: RefCell::default(),
            is_slack_shared: Cell::new(true),
            holder: Cell::new(None),
            calls: PendingCalls::default(),
            refused_until: RefCell::default(),
        }
    }

    /// The bounds of the whole fleet.
    pub fn bounds(&self) -> RetryBounds {
        self.deps.bounds
    }

    /// Counts a request for a service.
    pub fn record_request(&self, service: &Rc<str>) {
        let now = self.deps.clock.now();
        self.with_account(service, |account| account.record_request(now));
    }

    /// The state of a service's account.
    pub fn state(&self, service: &Rc<str>) -> AccountState {
        let now = self.deps.clock.now();
        self.with_account(service, |account| AccountState {
            available: account.available(now),
            requests: account.requests(),
            retries: account.retries(),
        })
    }

    /// Takes one retry: from what this daemon's requests have earned, or else from the slack.
    pub async fn take(self: &Rc<Self>, service: &Rc<str>) -> Result<RetryPermit, SlackRefusal> {
        let now = self.deps.clock.now();
        let permit = |source| RetryPermit::new(self.clone(), service.clone(), source, now);
        let earned = self.with_account(service, |account| account.try_take(now));
        if let Some(slot) = earned {
            return Ok(permit(RetrySource::Earned(slot)));
        }
        let holder = self.slack_granter(now, service)?;
        if holder == self.deps.me {
            let slot = self.try_grant(now, service).ok_or(SlackRefusal::Spent)?;
            return Ok(permit(RetrySource::OwnSlack(slot)));
        }
        self.ask(holder, service).await?;
        Ok(permit(RetrySource::GrantedSlack))
    }

    /// Why no retry can be taken now, without asking the holder of the slack; `None` if one may be left.
    pub fn refusal(&self, service: &Rc<str>) -> Option<SlackRefusal> {
        let now = self.deps.clock.now();
        let has_earned = self.with_account(service, |account| account.available(now) >= 1.0);
        if has_earned { None } else { self.slack_granter(now, service).err() }
    }

    /// The daemon that may grant the slack now, perhaps this one.
    fn slack_granter(&self, now: Time, service: &Rc<str>) -> Result<SocketAddr, SlackRefusal> {
        let holder = self.holder.get().ok_or(SlackRefusal::NoHolder)?.address;
        if holder == self.deps.me && !self.can_grant(now, service) {
            return Err(SlackRefusal::Spent);
        }
        let refused_until = self.refused_until.borrow().get(service).copied();
        let is_refused = refused_until.is_some_and(|until| now < until);
        if is_refused || self.calls.is_avoided(now, holder) {
            return Err(SlackRefusal::NotAsked);
        }
        Ok(holder)
    }

    /// Gives back a retry that was not sent. One that another daemon granted is lost.
    pub(super) fn give_back(&self, service: &Rc<str>, source: RetrySource) {
        match source {
            RetrySource::Earned(slot) => {
                self.with_account(service, |account| account.give_back(slot))
            }
            RetrySource::OwnSlack(slot) => self.with_slack(service, |slack| slack.give_back(slot)),
            RetrySource::GrantedSlack => {}
        }
    }

    /// Sets whether all known daemons ask for the slack.
    pub fn set_slack_shared(&self, is_shared: bool) {
        self.is_slack_shared.set(is_shared);
    }

    /// Applies a store change; returns false if it does not belong to the slack.
    pub fn apply(&self, change: &MirrorChange) -> bool {
        let holder = match change {
            MirrorChange::Put(entry) if entry.key == SLACK_KEY => SlackHolder::read(&entry.value),
            MirrorChange::Removed(key) if key == SLACK_KEY => None,
            MirrorChange::Put(_) | MirrorChange::Removed(_) => return false,
        };
        if holder.is_some_and(|holder| holder.address != self.deps.me) {
            self.lose_slack("another holder");
        }
        self.holder.set(holder);
        let address = holder.map(|holder| holder.address.to_string()).unwrap_or_default();
        log::info!(holder = address; "retry_slack_holder");
        true
    }

    /// Gives up the slack after the store was restored from a backup: the lease may be lost, and its id
    /// may be reused.
    pub fn store_came_back(&self) {
        self.lose_slack("the store came back");
    }

    fn lose_slack(&self, reason: &str) {
        if self.lease.borrow_mut().lost() {
            log::warn!(reason = reason; "retry_slack_lost");
        }
    }

    /// Handles a message of another daemon.
    pub fn on_message(&self, message: RetryMessage, from: SocketAddr) {
        match message {
            RetryMessage::Ask { call, service } => {
                let granted = self.try_grant(self.deps.clock.now(), &service.into()).is_some();
                let answer = RetryMessage::Answer { call, granted };
                self.deps.messenger.send(&PeerMessage::Retries(answer), from);
            }
            RetryMessage::Answer { call, granted } => self.calls.answer(call, granted),
        }
    }

    /// Returns true if this daemon may grant the slack of a service, and some is left.
    fn can_grant(&self, now: Time, service: &Rc<str>) -> bool {
        let may_grant = self.is_slack_shared.get() && self.lease.borrow().may_grant(now);
        may_grant && self.with_slack(service, |slack| slack.has_left(now))
    }

    /// Grants one retry from the slack, if this daemon may; returns its slot.
    fn try_grant(&self, now: Time, service: &Rc<str>) -> Option<u64> {
        if !self.can_grant(now, service) {
            return None;
        }
        self.with_slack(service, |slack| slack.try_grant(now))
    }

    async fn ask(&self, holder: SocketAddr, service: &Rc<str>) -> Result<(), SlackRefusal> {
        let send = |call| {
            let ask = RetryMessage::Ask { call, service: service.to_string() };
            self.deps.messenger.send(&PeerMessage::Retries(ask), holder);
        };
        match self.calls.call(HOLDER_TIMEOUT, send).await {
            Some(true) => Ok(()),
            Some(false) => {
                let daemons = u32::try_from(self.deps.daemons.borrow().count()).unwrap_or(u32::MAX);
                let refused_for = REFUSED_FOR_PER_DAEMON.saturating_mul(daemons);
                let until = self.deps.clock.now() + refused_for;
                self.refused_until.borrow_mut().insert(service.clone(), until);
                Err(SlackRefusal::Refused)
            }
            None => {
                self.calls.avoid(self.deps.clock.now(), holder);
                Err(SlackRefusal::Unanswered)
            }
        }
    }

    fn with_account<R>(&self, service: &Rc<str>, f: impl FnOnce(&mut RetryAccount) -> R) -> R {
        let mut accounts = self.accounts.borrow_mut();
        let account = accounts.entry(service.clone());
        f(account.or_insert_with(|| RetryAccount::new(self.deps.bounds)))
    }

    fn with_slack<R>(&self, service: &Rc<str>, f: impl FnOnce(&mut SlackAccount) -> R) -> R {
        let mut slack = self.slack.borrow_mut();
        let account = slack.entry(service.clone());
        f(account.or_insert_with(|| SlackAccount::new(self.deps.bounds)))
    }
}
