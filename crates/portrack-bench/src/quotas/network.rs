//! Nodes, which of them reach each other, and messages on their way.

use crate::quotas::HALLS;
use crate::quotas::demand::HOT_FROM;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// What happens in a play.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trouble {
    /// Nothing.
    Calm,
    /// An organisation sends many times its usual.
    Hot,
    /// The same while a data hall is cut off from the others.
    HotCutHall,
    /// The same while three of ten nodes are cut off from everybody.
    HotCutNodes,
    /// The same while a third of the nodes is killed and starts again.
    HotKill,
    /// The same while one message in twenty is lost and one in twenty comes twice.
    HotLossy,
    /// Only the cut of a hall.
    CutHall,
    /// A hall is cut off as an organisation becomes hot, after calm.
    HotAsCutHall,
    /// Three of ten nodes are, from everybody.
    HotAsCutNodes,
    /// The same, with some accountants among them, and they reach each other.
    HotAsSplit,
}

/// When the trouble is there, in milliseconds.
const FROM: u64 = 9_000;
const UNTIL: u64 = 14_500;
/// Single nodes that are cut off serve no longer: then their keys cannot be proved any more.
const NODES_UNTIL: u64 = 13_000;
/// A killed node starts again after this.
const DOWN_MS: u64 = 2_000;

impl Trouble {
    /// All of them.
    pub const ALL: [Self; 10] = [
        Self::Calm,
        Self::Hot,
        Self::HotCutHall,
        Self::HotCutNodes,
        Self::HotKill,
        Self::HotLossy,
        Self::CutHall,
        Self::HotAsCutHall,
        Self::HotAsCutNodes,
        Self::HotAsSplit,
    ];

    /// The name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Hot => "hot organisation",
            Self::HotCutHall => "hot, hall cut off",
            Self::HotCutNodes => "hot, nodes cut off",
            Self::HotKill => "hot, third killed",
            Self::HotLossy => "hot, messages lost and doubled",
            Self::CutHall => "hall cut off",
            Self::HotAsCutHall => "hot as hall is cut off",
            Self::HotAsCutNodes => "hot as nodes are cut off",
            Self::HotAsSplit => "hot as nodes of all halls are cut off together",
        }
    }

    /// True if an organisation sends many times its usual.
    pub fn is_hot(self) -> bool {
        !matches!(self, Self::Calm | Self::CutHall)
    }
}

/// The nodes.
pub struct Fleet {
    nodes: usize,
    trouble: Trouble,
    random: SmallRng,
    killed: Vec<usize>,
    down: bool,
    now: u64,
}

impl Fleet {
    /// Nodes that are all up.
    pub fn new(nodes: usize, trouble: Trouble, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let killed = (0..nodes).filter(|_| random.random::<f64>() < 1.0 / 3.0).collect();
        Self { nodes, trouble, random, killed, down: false, now: 0 }
    }

    /// Lets time pass, and tells which nodes have just started again.
    pub fn pass(&mut self, now: u64) -> Vec<usize> {
        self.now = now;
        let is_down = self.trouble == Trouble::HotKill && (FROM..FROM + DOWN_MS).contains(&now);
        let was_down = std::mem::replace(&mut self.down, is_down);
        if was_down && !is_down { self.killed.clone() } else { Vec::new() }
    }

    /// How many there are.
    pub fn nodes(&self) -> usize {
        self.nodes
    }

    /// The data hall of a node.
    pub fn hall(node: usize) -> usize {
        node % HALLS
    }

    /// True if a node runs.
    pub fn is_up(&self, node: usize) -> bool {
        !self.down || !self.killed.contains(&node)
    }

    /// True if a datagram from one node would reach another now.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        let (from_ms, until) = match self.trouble {
            Trouble::HotCutNodes => (FROM, NODES_UNTIL),
            Trouble::HotAsCutHall => (HOT_FROM, UNTIL),
            Trouble::HotAsCutNodes | Trouble::HotAsSplit => {
                (HOT_FROM, NODES_UNTIL - (FROM - HOT_FROM))
            }
            _ => (FROM, UNTIL),
        };
        let troubled = (from_ms..until).contains(&self.now);
        let cut = match self.trouble {
            Trouble::HotCutHall | Trouble::CutHall | Trouble::HotAsCutHall => {
                (Self::hall(from) == 0) != (Self::hall(to) == 0)
            }
            Trouble::HotCutNodes | Trouble::HotAsCutNodes => {
                from != to && (from % 10 > 6 || to % 10 > 6)
            }
            Trouble::HotAsSplit => {
                let cut = |node: usize| node % 10 > 6 || node == 0 || node == 4;
                cut(from) != cut(to)
            }
            _ => false,
        };
        self.is_up(from) && self.is_up(to) && !(troubled && cut)
    }

    /// How often a datagram arrives: not at all, once or twice.
    pub fn copies(&mut self, from: usize, to: usize) -> usize {
        if !self.reaches(from, to) {
            return 0;
        }
        match self.random.random::<f64>() {
            luck if self.trouble == Trouble::HotLossy && luck < 0.05 => 0,
            luck if self.trouble == Trouble::HotLossy && luck < 0.1 => 2,
            luck if luck < 0.001 => 0,
            _ => 1,
        }
    }

    /// A number from 0 to 1.
    pub fn chance(&mut self) -> f64 {
        self.random.random()
    }
}
