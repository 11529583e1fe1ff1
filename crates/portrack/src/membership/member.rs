//! One other daemon, as this one sees it.

use super::Scope;
use crate::types::{HallName, NodeName, RegionName, Time};
use crate::wire::{MemberState, SettingsMark};
use std::net::SocketAddr;

/// Where a daemon can be reached; from the settings or the platform's node list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// The node.
    pub node: NodeName,
    /// Its data hall.
    pub hall: HallName,
    /// Its region.
    pub region: RegionName,
    /// Where it takes datagrams and fetches.
    pub address: SocketAddr,
}

/// What is believed of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// Known of, not heard yet.
    Unheard,
    /// Heard lately.
    Alive,
    /// Not heard for a while.
    Suspect,
    /// Not heard for long.
    Dead,
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Where it is.
    pub peer: Peer,
    /// How far away.
    pub scope: Scope,
    /// Its latest incarnation heard.
    pub incarnation: u64,
    /// What is believed of it.
    pub health: Health,
    /// What it says of itself.
    pub state: MemberState,
    /// When it was last heard.
    pub heard_at: Time,
    /// The settings it has in force.
    pub settings: SettingsMark,
    /// Whether it sees the platform.
    pub platform: bool,
    /// Whom it suspects.
    pub suspects: Vec<NodeName>,
}

impl Member {
    /// True if it can be given work: heard, and not leaving.
    pub fn is_eligible(&self) -> bool {
        let heard = matches!(self.health, Health::Alive | Health::Suspect);
        heard && self.state == MemberState::Alive
    }

    /// True if it can be talked to.
    pub fn is_reachable(&self) -> bool {
        self.health == Health::Alive
    }
}
