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
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// Delays after which the daemons that have not answered are asked once more, and the search ends.
const ASK_TIMEOUTS: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(200)];
/// Streams that began longer ago are not reported to new keepers: few are still taken up.
const REPLICATED_FOR: Duration = Duration::from_secs(30);
/// In larger fleets, new keepers are not told: each is one of many.
const MAX_DAEMONS_REPLICATED: usize = 24;
/// Maximum number of datagrams that wait to be sent to new keepers; the oldest are dropped.
const MAX_QUEUED: usize = 2_000;
/// Datagrams per tick to new keepers.
const DATAGRAMS_PER_TICK: usize = 2;

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
    calls: PendingCalls<(SocketAddr, OriginAnswer)>,
    /// The members of the fleet when origins were last replicated.
    members: RefCell<Daemons>,
    /// Streams to report to daemons that have become keepers.
    queue: RefCell<VecDeque<(SocketAddr, Vec<StreamKey>)>>,
}

impl StreamOrigins {
    /// Starts without origins.
    pub fn new(deps: StreamOriginsDeps, registry: SoftwareRegistry) -> Self {
        Self {
            deps,
            registry: RefCell::new(registry),
            table: RefCell::default(),
            calls: PendingCalls::default(),
            members: RefCell::default(),
            queue: RefCell::default(),
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
        let (call, mut answers) = self.calls.open_until_dropped();
        let answer = self.ask(call.number(), key, &mut answers).await;
        let OriginAnswer::At(report) = answer? else {
            return Some((KnownOrigin::Conflicting, OriginSource::Peer));
        };
        let now = self.deps.clock.now();
        self.table.borrow_mut().learn(now, key, &report.origin(), report.age());
        let known = self.table.borrow().get(now, key)?;
        Some((known, OriginSource::Peer))
    }

    /// The first answer of a daemon that knows something; `None` if none does.
    async fn ask(
        &self,
        call: u32,
        key: StreamKey,
        answers: &mut UnboundedReceiver<(SocketAddr, OriginAnswer)>,
    ) -> Option<OriginAnswer> {
        let mut asked = asked(&self.deps.daemons.borrow(), &self.deps.me, key);
        let message = PeerMessage::Origins(OriginMessage::Ask { call, key });
        for timeout in ASK_TIMEOUTS {
            asked.iter().for_each(|daemon| self.deps.messenger.send(&message, *daemon));
            let answered = async {
                while !asked.is_empty() {
                    match answers.recv().await? {
                        (from, OriginAnswer::Unknown) => asked.retain(|daemon| *daemon != from),
                        (_, answer) => return Some(answer),
                    }
                }
                None
            };
            if let Ok(answer) = actix_rt::time::timeout(timeout, answered).await {
                return answer;
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
            OriginMessage::Answer { call, origin } => self.calls.answer(call, (from, origin)),
        }
    }

    /// Queues reports for the daemons that keep origins from now on, if the members of the fleet have
    /// changed.
    fn replicate(&self) {
        let current = self.deps.daemons.borrow();
        if self.members.borrow().has_same_members(&current) {
            return;
        }
        let before = self.members.replace(current.clone());
        if current.count() > MAX_DAEMONS_REPLICATED {
            return;
        }
        let (me, regions) = (&self.deps.me, &self.deps.regions);
        let mut unreported: BTreeMap<SocketAddr, Vec<StreamKey>> = BTreeMap::new();
        for key in self.table.borrow().younger_than(self.deps.clock.now(), REPLICATED_FOR) {
            let known = keepers(&before, me, regions, key);
            let mut keepers = keepers(&current, me, regions, key);
            keepers.retain(|keeper| !known.contains(keeper));
            keepers.into_iter().for_each(|keeper| unreported.entry(keeper).or_default().push(key));
        }
        let mut queue = self.queue.borrow_mut();
        for (keeper, keys) in unreported {
            queue.extend(keys.chunks(MAX_REPORTS).map(|chunk| (keeper, chunk.to_vec())));
        }
        let excess = queue.len().saturating_sub(MAX_QUEUED);
        queue.drain(..excess);
    }

    /// Sends queued reports, some at a time, and drops old origins.
    pub fn tick(&self) {
        self.replicate();
        let mut queue = self.queue.borrow_mut();
        let count = queue.len().min(DATAGRAMS_PER_TICK);
        for (to, keys) in queue.drain(..count) {
            let reports = keys.into_iter().filter_map(|key| self.report(key)).collect();
            let message = PeerMessage::Origins(OriginMessage::Began(reports));
            self.deps.messenger.send(&message, to);
        }
        self.table.borrow_mut().expire(self.deps.clock.now());
    }

    /// What is known of a stream now; `None` if that is nothing certain.
    fn report(&self, key: StreamKey) -> Option<OriginReport> {
        match self.table.borrow().get(self.deps.clock.now(), key)? {
            KnownOrigin::At(origin, age) => Some(OriginReport::new(key, &origin, age)),
            KnownOrigin::Conflicting => None,
        }
    }

    /// Counts a stream that a caller takes up again.
    pub fn count(&self, outcome: &str) {
        self.deps.taken_up.with_label_values(&[outcome]).inc();
    }
}
