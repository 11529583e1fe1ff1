//! State of another daemon as seen by this one.

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
    /// Address for datagrams and fetches.
    pub address: SocketAddr,
}

/// Health of a member according to its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// No heartbeat received yet.
    Unheard,
    /// A heartbeat was received recently.
    Alive,
    /// No heartbeat for some intervals; may have failed.
    Suspect,
    /// Considered failed.
    Dead,
}

/// A member of the cluster.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Node, location and address.
    pub peer: Peer,
    /// Distance from this daemon.
    pub scope: Scope,
    /// Latest incarnation seen.
    pub incarnation: u64,
    /// Health.
    pub health: Health,
    /// State that it reports.
    pub state: MemberState,
    /// When its last heartbeat was received.
    pub heard_at: Time,
    /// The settings it has in force.
    pub settings: SettingsMark,
    /// Whether it can reach the platform.
    pub platform: bool,
    /// Nodes that it suspects.
    pub suspects: Vec<NodeName>,
}

impl Member {
    /// True if it can be given work: alive or suspected, and not leaving.
    pub fn is_eligible(&self) -> bool {
        let present = matches!(self.health, Health::Alive | Health::Suspect);
        present && self.state == MemberState::Alive
    }

    /// True if its heartbeats arrive.
    pub fn is_reachable(&self) -> bool {
        self.health == Health::Alive
    }
}
