//! Data that daemons watching the store send to their followers.
//!
//! Every watch of the store is a call that has a cost: 195 nodes that all watched made 6,000 calls
//! in 48 s. Two daemons of each group watch; the others follow one of them over a connection.

use super::era_delta::EraDelta;
use super::large_values::{LargeValue, PartRequest};
use super::mirror::MirrorItem;
use super::report::SyncReport;
use super::retained::RetainedItem;
use crate::gateway::fleet::message::{PlacementNotice, ServerLoad};
use crate::gateway::fleet::trailing_field::or_default;
use crate::gateway::tunnels::message::TunnelRequest;
use crate::store::StoreEra;
use crate::types::Time;
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};

/// Notices kept for slow followers. Older ones reach them through the store's list.
const MAX_NOTICES: usize = 2_000;

/// A request from one daemon to another, the first message on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) enum PeerRequest {
    /// Requests everything that changed after a revision, once.
    CatchUp {
        /// The revision up to which the requester's copy is complete.
        after: u64,
        /// The era that this revision counts in.
        #[serde(deserialize_with = "or_default")]
        era: StoreEra,
        /// The requester takes large values apart from the other items.
        #[serde(deserialize_with = "or_default")]
        takes_parts: bool,
    },
    /// Requests the same, and then every further change as it happens.
    Follow {
        /// The revision up to which the requester's copy is complete.
        after: u64,
        /// The first freshness query.
        question: FreshnessQuery,
        /// The era that the revision counts in.
        #[serde(deserialize_with = "or_default")]
        era: StoreEra,
        /// The requester takes large values apart from the other items.
        #[serde(deserialize_with = "or_default")]
        takes_parts: bool,
        /// What the requester lacks of large values of which a part has arrived.
        #[serde(deserialize_with = "or_default")]
        rests: Vec<PartRequest>,
    },
    /// Asks for a connection to a server.
    Tunnel(TunnelRequest),
}

/// A follower's query for the freshness of its source's copy. The first one is part of
/// [`PeerRequest::Follow`], later ones are sent on the same connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct FreshnessQuery {
    /// When the query was sent, on the follower's clock.
    pub sent_at: Time,
}

/// A query with the time of its arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) struct ReceivedQuery {
    /// The query.
    pub query: FreshnessQuery,
    /// When it arrived, on the clock of the daemon that received it.
    pub received_at: Time,
}

/// The freshness of the state that a frame brings a follower to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(in crate::gateway) struct Freshness {
    /// The newest query received. The follower counts from the time at which it sent this query, so
    /// a delayed frame does not make its copy seem fresher than it is.
    pub question: FreshnessQuery,
    /// The age of the sender's own proof when it received this query, in milliseconds.
    pub age_ms: u32,
    /// The sender's incarnation.
    pub incarnation: u64,
}

/// A message of a feed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(in crate::gateway) enum FeedMessage {
    /// Changes.
    News(FeedFrame),
    /// The sender does not watch the store, or no longer does: its own report, then the reports of
    /// known watchers. This is the last message.
    Redirect(Vec<SyncReport>),
    /// Bytes of a large value that the frame before has announced.
    Part {
        /// The value's [`LargeValue::digest`].
        digest: u64,
        /// The place of the first byte.
        offset: u32,
        /// The bytes.
        bytes: Vec<u8>,
    },
}

/// Changes for a follower.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(in crate::gateway) struct FeedFrame {
    /// The store's revision up to which the follower's copy is complete after this frame.
    pub revision: u64,
    /// Milliseconds since the store last responded to the sender.
    pub store_age_ms: u32,
    /// How fresh this state is, if the sender can prove it.
    pub freshness: Option<Freshness>,
    /// `items` is a complete snapshot: keys that it lacks have been removed.
    pub whole: bool,
    /// Items that changed in the store.
    pub items: Vec<MirrorItem>,
    /// State changes of servers.
    pub notices: Vec<PlacementNotice>,
    /// Loads of servers.
    pub loads: Vec<ServerLoad>,
    /// The era that revisions count in.
    #[serde(deserialize_with = "or_default")]
    pub era: StoreEra,
    /// Items that the sender retains although the store's copy differs, if they have changed since
    /// the last frame.
    #[serde(deserialize_with = "or_default")]
    pub kept: Vec<RetainedItem>,
    /// How a follower in the previous era gets into this era.
    #[serde(deserialize_with = "or_default")]
    pub step: Option<EraDelta>,
    /// Values that belong to `items` and follow in parts, before the next frame.
    #[serde(deserialize_with = "or_default")]
    pub large: Vec<LargeValue>,
}

/// The position of one follower in the feed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::gateway) struct FeedCursor {
    notice: u64,
    load: u64,
}

/// Notices and loads for this daemon's followers, each of which reads at its own pace.
#[derive(Debug, Default)]
pub(in crate::gateway) struct FollowerFeed {
    notices: RefCell<VecDeque<PlacementNotice>>,
    dropped_notices: Cell<u64>,
    loads: RefCell<BTreeMap<u32, (u64, ServerLoad)>>,
    load_sequence: Cell<u64>,
}

impl FollowerFeed {
    /// The cursor of a new follower, which reads what is pushed from now on.
    pub fn cursor(&self) -> FeedCursor {
        let notice = self.dropped_notices.get() + self.notices.borrow().len() as u64;
        FeedCursor { notice, load: self.load_sequence.get() }
    }

    /// Adds notices for the followers.
    pub fn push(&self, notices: &[PlacementNotice]) {
        let mut queued = self.notices.borrow_mut();
        queued.extend(notices.iter().cloned());
        let excess = queued.len().saturating_sub(MAX_NOTICES);
        queued.drain(..excess);
        self.dropped_notices.set(self.dropped_notices.get() + excess as u64);
    }

    /// Adds loads of servers for the followers.
    pub fn push_loads(&self, loads: &[ServerLoad]) {
        let sequence = self.load_sequence.get() + 1;
        self.load_sequence.set(sequence);
        let loads = loads.iter().map(|load| (load.server, (sequence, *load)));
        self.loads.borrow_mut().extend(loads);
    }

    /// Returns what was pushed since a cursor, and advances the cursor.
    pub fn read(&self, cursor: &mut FeedCursor) -> (Vec<PlacementNotice>, Vec<ServerLoad>) {
        let skipped = cursor.notice.saturating_sub(self.dropped_notices.get());
        let queued = self.notices.borrow();
        let notices = queued.iter().skip(skipped as usize).cloned().collect();
        let loads = self.loads.borrow();
        let newer = loads.values().filter(|(sequence, _)| *sequence > cursor.load);
        let loads = newer.map(|(_, load)| *load).collect();
        *cursor = self.cursor();
        (notices, loads)
    }
}
