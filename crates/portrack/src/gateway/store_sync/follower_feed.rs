//! What the daemons that watch the store pass on to the others of their data hall.
//!
//! Every watch of the store is a call with a price: 195 nodes that each watched made 6,000 calls in
//! 48 s. Two daemons of each hall watch; the others follow one of them over a connection.

use super::era_delta::EraDelta;
use super::mirror::MirrorItem;
use super::report::SyncReport;
use super::retained::RetainedItem;
use crate::gateway::fleet::message::{PlacementNotice, ServerLoad};
use crate::gateway::fleet::trailing_field::or_default;
use crate::store::StoreEra;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};

/// Notices kept for followers that are behind; older ones are left to the store's list.
const MOST_NOTICES: usize = 2_000;

/// What one daemon asks of another on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) enum PeerAsk {
    /// What changed after a revision, once.
    CatchUp {
        /// The revision up to which the asker knows everything.
        after: u64,
        /// The era that this counts in.
        #[serde(deserialize_with = "or_default")]
        era: StoreEra,
    },
    /// The same, and then every change as it comes.
    Follow {
        /// The revision up to which the asker knows everything.
        after: u64,
        /// Its first question how fresh that is.
        question: FreshnessQuestion,
        /// The era that the revision counts in.
        #[serde(deserialize_with = "or_default")]
        era: StoreEra,
    },
}

/// A follower's question how fresh its source's copy of the store is; the first comes with
/// [`PeerAsk::Follow`], the others follow on the same connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct FreshnessQuestion {
    /// When it was sent, on the follower's clock.
    pub sent_at: Time,
}

/// A question as it was heard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) struct HeardQuestion {
    /// The question.
    pub question: FreshnessQuestion,
    /// When it came, on the clock of the daemon that was asked.
    pub heard_at: Time,
}

/// How fresh the copy of the store is that a frame brings a follower up to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct Freshness {
    /// The newest question that had come. The follower counts from its sending, so a frame that was
    /// held up on its way proves nothing that is younger.
    pub question: FreshnessQuestion,
    /// The age of the sender's own proof when it had this question, in milliseconds.
    pub age_ms: u32,
    /// The sender's life.
    pub incarnation: u64,
}

/// What comes over a feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(in crate::gateway) enum FeedMessage {
    /// News.
    News(FeedFrame),
    /// The sender does not watch, or does not any more: what it says of itself, then who is known to
    /// watch. It is the last message.
    Redirect(Vec<SyncReport>),
}

/// News for a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(in crate::gateway) struct FeedFrame {
    /// The store's revision up to which the follower then knows everything.
    pub revision: u64,
    /// How long ago the store answered the sender, in milliseconds.
    pub store_age_ms: u32,
    /// How fresh that is, if the sender can prove it.
    pub freshness: Option<Freshness>,
    /// `items` are all there are: what is not among them is gone.
    pub whole: bool,
    /// What changed in the store.
    pub items: Vec<MirrorItem>,
    /// What changed at servers.
    pub notices: Vec<PlacementNotice>,
    /// How busy servers are.
    pub loads: Vec<ServerLoad>,
    /// The era that revisions count in.
    #[serde(deserialize_with = "or_default")]
    pub era: StoreEra,
    /// Items that the sender believes against the store's copy, if they are news to the follower.
    #[serde(deserialize_with = "or_default")]
    pub kept: Vec<RetainedItem>,
    /// How the follower comes into this era, if it is in the one before.
    #[serde(deserialize_with = "or_default")]
    pub step: Option<EraDelta>,
}

/// How far a follower has been told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) struct FeedPlace {
    notice: u64,
    load: u64,
}

/// Notices and loads for the followers of this daemon, each of which is told at its own pace.
#[derive(Debug, Default)]
pub(in crate::gateway) struct FollowerFeed {
    notices: RefCell<VecDeque<PlacementNotice>>,
    notices_before: Cell<u64>,
    loads: RefCell<BTreeMap<u32, (u64, ServerLoad)>>,
    loads_told: Cell<u64>,
}

impl FollowerFeed {
    /// Where a new follower begins: it learns what is told from now on.
    pub fn end(&self) -> FeedPlace {
        let notice = self.notices_before.get() + self.notices.borrow().len() as u64;
        FeedPlace { notice, load: self.loads_told.get() }
    }

    /// Keeps notices for the followers.
    pub fn push(&self, notices: &[PlacementNotice]) {
        let mut kept = self.notices.borrow_mut();
        kept.extend(notices.iter().cloned());
        let beyond = kept.len().saturating_sub(MOST_NOTICES);
        kept.drain(..beyond);
        self.notices_before.set(self.notices_before.get() + beyond as u64);
    }

    /// Keeps the loads of servers for the followers.
    pub fn push_loads(&self, loads: &[ServerLoad]) {
        let told = self.loads_told.get() + 1;
        self.loads_told.set(told);
        let loads = loads.iter().map(|load| (load.server, (told, *load)));
        self.loads.borrow_mut().extend(loads);
    }

    /// What a follower has not been told yet, and moves its place on.
    pub fn after(&self, place: &mut FeedPlace) -> (Vec<PlacementNotice>, Vec<ServerLoad>) {
        let skipped = place.notice.saturating_sub(self.notices_before.get());
        let kept = self.notices.borrow();
        let notices = kept.iter().skip(skipped as usize).cloned().collect();
        let loads = self.loads.borrow();
        let newer = loads.values().filter(|(told, _)| *told > place.load);
        let loads = newer.map(|(_, load)| *load).collect();
        *place = self.end();
        (notices, loads)
    }
}
