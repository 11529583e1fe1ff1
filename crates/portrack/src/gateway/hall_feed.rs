//! What the daemons that watch the store pass on to the others of their data hall.
//!
//! Every watch of the store is a call with a price: 195 nodes that each watched made 6,000 calls in
//! 48 s. Two daemons of each hall watch; the others follow one of them over a connection.

use super::message::{PlacementNotice, ServerLoad};
use super::mirror::MirrorItem;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::mpsc;

/// Frames that a follower may be behind before it is cut off and has to come anew.
const MOST_BEHIND: usize = 32;
/// Notices kept until the next frame; more than these are left to the store's list.
const MOST_NOTICES: usize = 2_000;

/// What one daemon asks of another on a connection.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum PeerAsk {
    /// What changed after a revision, once.
    CatchUp {
        /// The revision up to which the asker knows everything.
        after: u64,
    },
    /// The same, and then every change as it comes.
    Follow {
        /// The revision up to which the asker knows everything.
        after: u64,
    },
}

/// News for the followers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(super) struct FeedFrame {
    /// The store's revision up to which the follower then knows everything.
    pub revision: u64,
    /// How long ago the store answered the sender, in milliseconds.
    pub store_age_ms: u32,
    /// `items` are all there are: what is not among them is gone.
    pub whole: bool,
    /// What changed in the store.
    pub items: Vec<MirrorItem>,
    /// What changed at servers.
    pub notices: Vec<PlacementNotice>,
    /// How busy servers are.
    pub loads: Vec<ServerLoad>,
}

/// The followers of this daemon, and what is to be told to them next.
#[derive(Debug, Default)]
pub(super) struct HallFeed {
    followers: RefCell<Vec<mpsc::Sender<Rc<[u8]>>>>,
    notices: RefCell<Vec<PlacementNotice>>,
    loads: RefCell<BTreeMap<u32, ServerLoad>>,
}

impl HallFeed {
    /// A new follower; its frames come out of the receiver.
    pub fn subscribe(&self) -> mpsc::Receiver<Rc<[u8]>> {
        let (sender, receiver) = mpsc::channel(MOST_BEHIND);
        self.followers.borrow_mut().push(sender);
        receiver
    }

    /// How many follow.
    pub fn followers(&self) -> usize {
        self.followers.borrow().len()
    }

    /// Keeps notices for the next frame, if anybody follows.
    pub fn push(&self, notices: &[PlacementNotice]) {
        let mut kept = self.notices.borrow_mut();
        if self.followers() > 0 && kept.len() < MOST_NOTICES {
            kept.extend_from_slice(notices);
        }
    }

    /// The notices for the next frame.
    pub fn take_notices(&self) -> Vec<PlacementNotice> {
        self.notices.take()
    }

    /// Keeps the loads of servers for the next frame, if anybody follows.
    pub fn push_loads(&self, loads: &[ServerLoad]) {
        if self.followers() > 0 {
            let loads = loads.iter().map(|load| (load.server, *load));
            self.loads.borrow_mut().extend(loads);
        }
    }

    /// The loads for the next frame.
    pub fn take_loads(&self) -> Vec<ServerLoad> {
        self.loads.take().into_values().collect()
    }

    /// Sends a frame to all; who is too far behind or gone is dropped.
    pub fn send(&self, frame: &Rc<[u8]>) {
        self.followers.borrow_mut().retain(|follower| follower.try_send(frame.clone()).is_ok());
    }

    /// Ends all connections of followers: this daemon does not watch any more.
    pub fn close(&self) {
        self.followers.borrow_mut().clear();
        self.notices.borrow_mut().clear();
        self.loads.borrow_mut().clear();
    }
}
