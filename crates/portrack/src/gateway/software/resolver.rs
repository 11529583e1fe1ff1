//! Keeps the origins of streams with other daemons, and finds them out.

use super::message::{MAX_REPORTS, OriginAnswer, OriginMessage, OriginReport};
use super::origin::{Origin, StreamKey};
use super::origin_table::{KnownOrigin, OriginTable};
use super::registry::SoftwareRegistry;
use super::replicas::{asked, keepers};
use crate::gateway::arrivals::PendingCalls;
use crate::gateway::fleet::daemons::{DaemonInfo, Daemons};
use crate::gateway::fleet::message::PeerMessage;
use crate::gateway::fleet::messenger::Messenger;
use crate::gateway::fleet::regions::Regions;
use crate::types::Clock;
use prometheus::IntCounterVec;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Delays after which the daemons that have not answered are asked once more, and the search ends.
const ASK_TIMEOUTS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];
/// Streams that began longer ago are not reported to a daemon that comes up: few are still taken up.
const HANDED_ON_FOR: Duration = Duration::from_secs(30);
/// How many keepers of an origin report it to another one that comes up.
const HANDED_ON_BY: usize = 2;
/// Datagrams per tick to daemons that come up.
const DATAGRAMS_PER_TICK: usize = 8;

/// What a [`StreamOrigins`] is built from.
pub struct StreamOriginsDeps {
    /// The clock.
    pub clock: Rc<dyn Clock>,
    /// Sends datagrams.
    pub messenger: Rc<Messenger>,
    /// This daemon.
    pub me: DaemonInfo,
    /// The regions of the data halls.
    pub regions: Regions,
    /// The daemons that are up and not leaving, kept up to date by other tasks.
    pub daemons: Rc<RefCell<Daemons>>,
    /// Counts streams that callers take up again, by outcome.
    pub taken_up: IntCounterVec,
}

/// Where the origin of a stream is known from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginSource {
    /// This daemon was told, or began the stream itself.
    Own,
    /// Another daemon answered.
    Peer,
    /// The service has had one version only.
    SoleVersion,
}

impl OriginSource {
    /// The name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Own => "own",
            Self::Peer => "peer",
            Self::SoleVersion => "sole_version",
        }
    }
}

/// The origins of streams, as this daemon knows them and finds them out.
pub struct StreamOrigins {
    pub(super) deps: StreamOriginsDeps,
    table: RefCell<OriginTable>,
    /// The versions at which streams may begin.
    pub(super) registry: RefCell<SoftwareRegistry>,
    calls: PendingCalls<OriginAnswer>,
    /// Reports for daemons that have come up.
    handed_on: RefCell<VecDeque<(SocketAddr, Vec<OriginReport>)>>,
}

impl StreamOrigins {
    /// Starts without origins.
    pub fn new(deps: StreamOriginsDeps, registry: SoftwareRegistry) -> Self {
        Self {
            deps,
            registry: RefCell::new(registry),
            table: RefCell::default(),
            calls: PendingCalls::default(),
            handed_on: RefCell::default(),
        }
    }

    /// Records that this daemon is about to send its caller the first event of a stream.
    pub fn began(&self, key: StreamKey, origin: &Origin) {
        self.table.borrow_mut().learn(self.deps.clock.now(), key, origin, Duration::ZERO);
        let daemons = self.deps.daemons.borrow();
        let report = OriginReport::new(key, origin, Duration::ZERO);
        let message = PeerMessage::Origins(OriginMessage::Began(vec![report]));
        for keeper in keepers(&daemons, &self.deps.me, &self.deps.regions, key) {
            self.deps.messenger.send(&message, keeper);
        }
    }

    /// Finds out where a stream began: from this daemon's table, or by asking others. `None` if
    /// nobody who answers in time knows.
    pub async fn find(&self, key: StreamKey) -> Option<(KnownOrigin, OriginSource)> {
        let known = self.table.borrow().get(self.deps.clock.now(), key);
        if let Some(known) = known {
            return Some((known, OriginSource::Own));
        }
        let (call, mut answers) = self.calls.open();
        let report = self.ask(call, key, &mut answers).await;
        self.calls.close(call);
        let report = report?;
        let now = self.deps.clock.now();
        self.table.borrow_mut().learn(now, key, &report.origin(), report.age());
        let known = self.table.borrow().get(now, key)?;
        Some((known, OriginSource::Peer))
    }

    async fn ask(
        &self,
        call: u32,
        key: StreamKey,
        answers: &mut UnboundedReceiver<OriginAnswer>,
    ) -> Option<OriginReport> {
        let asked = asked(&self.deps.daemons.borrow(), &self.deps.me, key);
        let message = PeerMessage::Origins(OriginMessage::Ask { call, key });
        let mut ignorant = 0;
        for timeout in ASK_TIMEOUTS {
            asked.iter().for_each(|daemon| self.deps.messenger.send(&message, *daemon));
            let answered = async {
                while ignorant < asked.len() {
                    match answers.recv().await? {
                        OriginAnswer::At(report) => return Some(report),
                        OriginAnswer::Unknown | OriginAnswer::Conflicting => ignorant += 1,
                    }
                }
                None
            };
            match actix_rt::time::timeout(timeout, answered).await {
                Ok(report) => return report,
                Err(_) => ignorant = 0,
            }
        }
        None
    }

    /// Handles a message of another daemon.
    pub fn on_message(&self, message: OriginMessage, from: SocketAddr) {
        let now = self.deps.clock.now();
        match message {
            OriginMessage::Began(reports) => {
                let mut table = self.table.borrow_mut();
                for report in reports {
                    table.learn(now, report.key, &report.origin(), report.age());
                }
            }
            OriginMessage::Ask { call, key } => {
                let origin = OriginAnswer::new(key, self.table.borrow().get(now, key));
                let answer = PeerMessage::Origins(OriginMessage::Answer { call, origin });
                self.deps.messenger.send(&answer, from);
            }
            OriginMessage::Answer { call, origin } => self.calls.answer(call, origin),
        }
    }

    /// Queues for a daemon that has come up the origins that it keeps from now on.
    pub fn hand_on(&self, to: SocketAddr) {
        let now = self.deps.clock.now();
        let table = self.table.borrow();
        let due = table.younger_than(now, HANDED_ON_FOR).filter(|(key, ..)| self.reports(*key, to));
        let reports: Vec<OriginReport> =
            due.map(|(key, origin, age)| OriginReport::new(key, origin, age)).collect();
        let mut queue = self.handed_on.borrow_mut();
        queue.extend(reports.chunks(MAX_REPORTS).map(|chunk| (to, chunk.to_vec())));
    }

    /// Whether this daemon is one of those that report a stream to another keeper of its origin.
    fn reports(&self, key: StreamKey, to: SocketAddr) -> bool {
        let daemons = self.deps.daemons.borrow();
        let others = daemons.only(|daemon| daemon.address != to);
        let (me, regions) = (&self.deps.me, &self.deps.regions);
        if !keepers(&daemons, me, regions, key).contains(&to) {
            return false;
        }
        others.rank(key.routing_key(), me.address).is_some_and(|rank| rank < HANDED_ON_BY)
    }

    /// Sends queued reports, some at a time, and drops old origins.
    pub fn tick(&self) {
        let mut queue = self.handed_on.borrow_mut();
        let count = queue.len().min(DATAGRAMS_PER_TICK);
        for (to, reports) in queue.drain(..count) {
            let message = PeerMessage::Origins(OriginMessage::Began(reports));
            self.deps.messenger.send(&message, to);
        }
        self.table.borrow_mut().expire(self.deps.clock.now());
    }

    /// Counts a stream that a caller takes up again.
    pub fn count(&self, outcome: &str) {
        self.deps.taken_up.with_label_values(&[outcome]).inc();
    }

    /// Number of origins known.
    pub fn known(&self) -> usize {
        self.table.borrow().count()
    }
}
