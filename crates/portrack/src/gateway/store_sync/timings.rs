//! How the time within which news must be known is shared out over its way to a daemon.

use std::time::Duration;

/// The longest watch of the store: with a loss of the store its followers are told as late.
const WATCH_MOST: Duration = Duration::from_millis(1_000);
/// A watch of a store in which nothing changes, as a share.
const WATCH: f64 = 1.0 / 6.0;
/// Between two watches, at most.
const PAUSE: f64 = 0.2;
/// For the answer of a store or a daemon that answers at once.
const ANSWER: f64 = 0.05;
/// Between a follower's questions how fresh its source is, and between frames without news.
const QUESTION: f64 = 0.1;
/// For the first answer of another daemon: a connection and a question, also between regions.
const PATIENCE: f64 = 0.1;
/// A feed that says nothing for so long is left: two frames are late.
const SILENT: f64 = 0.2;
/// News of a daemon with a live source is no older: two watches, the pause between them, the store's
/// answer, and a frame.
const CALM: f64 = 0.66;
/// Between the turns in which daemons of a group ask the store themselves, if they know of nobody
/// else.
const TURN: f64 = 0.03;
/// The last of these turns.
const LAST_TURN: u32 = 3;
/// What is stated of every daemon in touch.
const MOST: f64 = 0.95;
/// What a log line warns of.
const OLD: f64 = 0.8;

/// Times of the way of news, all shares of the time within which it must be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncTimings {
    within: Duration,
}

impl SyncTimings {
    /// For news that must be known `within` a time.
    pub fn new(within: Duration) -> Self {
        Self { within }
    }

    fn share(&self, share: f64) -> Duration {
        self.within.mul_f64(share)
    }

    /// How long a watch of the store waits.
    pub fn watch(&self) -> Duration {
        self.share(WATCH).min(WATCH_MOST)
    }

    /// The longest pause between two watches.
    pub fn pause(&self) -> Duration {
        self.share(PAUSE)
    }

    /// For an answer that is given at once.
    pub fn answer(&self) -> Duration {
        self.share(ANSWER)
    }

    /// Between a follower's questions, and between frames without news.
    pub fn question(&self) -> Duration {
        self.share(QUESTION)
    }

    /// For the first answer of a daemon that is asked or followed anew.
    pub fn patience(&self) -> Duration {
        self.share(PATIENCE)
    }

    /// A feed that says nothing for so long is left.
    pub fn silent(&self) -> Duration {
        self.share(SILENT)
    }

    /// News is no older at a daemon whose source is well; an older source is left.
    pub fn calm(&self) -> Duration {
        self.share(CALM)
    }

    /// How long a daemon that knows of nobody to follow, or has old news, waits before it asks the
    /// store, by its place among those of its group: few ask first, and twice as many each time.
    pub fn turn(&self, place: usize) -> Duration {
        let stage = ((place + 2) / 2).ilog2().min(LAST_TURN);
        self.share(TURN) * stage
    }

    /// The stated bound: no daemon in touch has older news.
    pub fn most(&self) -> Duration {
        self.share(MOST)
    }

    /// News that is older is worth a line in the log.
    pub fn old(&self) -> Duration {
        self.share(OLD)
    }
}
