//! A run of a node's daemon process.

use super::NodeName;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A node and its incarnation. A restarted daemon is a new instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The node.
    pub node: NodeName,
    /// Increases with every start of the node's daemon.
    pub incarnation: u64,
}

impl fmt::Display for Instance {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.node, self.incarnation)
    }
}
