//! The planned stop of a daemon: which requests it still sends to servers, how long it waits for running ones, and
//! when each step is due. All bounds of a stop follow from the time that the daemon is given for it.

use crate::types::{Clock, Time};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long the balancer may still send new callers here.
const BALANCER_DELAY: Duration = Duration::from_millis(2_700);
/// How long idle connections are kept open.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_600);
/// Time after that in which callers that use such a connection at that moment are still served.
const CROSSING_TIME: Duration = Duration::from_millis(100);
/// Timeout for giving up the claims on servers.
pub(super) const RESIGN_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for giving up the lease of the retry slack.
pub(super) const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);
/// Timeout for writing the last replies.
pub(super) const LAST_REPLIES_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for the end of the process itself.
const EXIT_TIME: Duration = Duration::from_millis(100);
/// Time between the latest end of an answer and the end of the wait for running requests.
const REPLY_MARGIN: Duration = Duration::from_millis(100);
/// A stream whose deadline lies beyond the end of the stop is begun only with so much time left. Most streams need
/// less, and the callers that the balancer still sends here could not be served otherwise.
const STREAM_TIME: Duration = Duration::from_millis(4_600);

/// What bounds the answer to a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerBound {
    /// The time at which the request is given up.
    pub deadline: Time,
    /// Whether the answer is a stream, which mostly ends long before its deadline.
    pub is_stream: bool,
}

/// The times of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopTimes {
    began: Time,
    wait: Duration,
}

impl StopTimes {
    /// The times of a stop after which the process must have ended within `stop_within`.
    pub fn new(began: Time, stop_within: Duration) -> Self {
        let last_steps = RESIGN_TIMEOUT + RELEASE_TIMEOUT + LAST_REPLIES_TIMEOUT + EXIT_TIME;
        Self { began, wait: stop_within.saturating_sub(last_steps) }
    }

    /// When running requests are no longer waited for.
    pub fn wait_ends_at(&self) -> Time {
        self.began + self.wait
    }

    /// When idle connections are closed.
    pub fn idle_closes_at(&self) -> Time {
        self.began + IDLE_CLOSE_DELAY.min(self.wait)
    }

    /// When the process may end at the earliest.
    pub fn may_end_at(&self) -> Time {
        self.idle_closes_at() + CROSSING_TIME
    }

    /// From when on a request is not sent to a server any more; `None` if its answer is complete in time whenever it
    /// is sent.
    pub fn send_ends_at(&self, answer: AnswerBound) -> Option<Time> {
        if answer.deadline + REPLY_MARGIN <= self.wait_ends_at() {
            return None;
        }
        let stream_cutoff = BALANCER_DELAY.min(self.wait.saturating_sub(STREAM_TIME));
        let cutoff = if answer.is_stream { stream_cutoff } else { Duration::ZERO };
        Some(self.began + cutoff)
    }
}

/// How far the stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// No stop was requested.
    Running,
    /// Running requests are waited for.
    Waiting(StopTimes),
    /// Nothing may be sent to a server any more.
    Ending,
}

/// The state of a daemon's planned stop.
pub struct Shutdown {
    clock: Rc<dyn Clock>,
    stop_within: Duration,
    phase: watch::Sender<Phase>,
}

impl Shutdown {
    /// The state of a daemon that is not stopping.
    pub fn new(clock: Rc<dyn Clock>, stop_within: Duration) -> Self {
        Self { clock, stop_within, phase: watch::Sender::new(Phase::Running) }
    }

    /// Begins the stop and returns its times.
    pub fn begin(&self) -> StopTimes {
        let times = StopTimes::new(self.clock.now(), self.stop_within);
        self.phase.send_replace(Phase::Waiting(times));
        times
    }

    /// Ends the wait for running requests.
    pub fn end_wait(&self) {
        self.phase.send_replace(Phase::Ending);
    }

    /// Whether a stop has begun.
    pub fn has_begun(&self) -> bool {
        *self.phase.borrow() != Phase::Running
    }

    /// Whether a request may be sent to a server now.
    pub fn allows_send(&self, answer: AnswerBound) -> bool {
        match *self.phase.borrow() {
            Phase::Running => true,
            Phase::Waiting(times) => {
                times.send_ends_at(answer).is_none_or(|end| self.clock.now() < end)
            }
            Phase::Ending => false,
        }
    }

    /// Resolves once a request may not be sent to a server any more.
    pub async fn until_send_ends(&self, answer: AnswerBound) {
        let Some(times) = self.times().await else { return };
        match times.send_ends_at(answer) {
            Some(end) => self.until(end).await,
            None => self.until_wait_ends().await,
        }
    }

    /// Resolves once idle connections are to be closed.
    pub async fn until_idle_closes(&self) {
        if let Some(times) = self.times().await {
            self.until(times.idle_closes_at()).await;
        }
    }

    /// Resolves once running requests are no longer waited for.
    pub async fn until_wait_ends(&self) {
        self.until_phase(|phase| *phase == Phase::Ending).await;
    }

    /// The times of the stop, once it has begun; `None` if its wait has ended.
    async fn times(&self) -> Option<StopTimes> {
        self.until_phase(|phase| *phase != Phase::Running).await;
        match *self.phase.borrow() {
            Phase::Waiting(times) => Some(times),
            Phase::Running | Phase::Ending => None,
        }
    }

    async fn until_phase(&self, is_reached: impl FnMut(&Phase) -> bool) {
        let mut phase = self.phase.subscribe();
        phase.wait_for(is_reached).await.expect("the sender lives as long as this");
    }

    async fn until(&self, time: Time) {
        loop {
            let now = self.clock.now();
            if now >= time {
                return;
            }
            actix_rt::time::sleep(time.since(now)).await;
        }
    }
}
