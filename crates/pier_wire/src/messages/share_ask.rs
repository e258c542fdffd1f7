//! A node's question for shares.

use pier_types::{epochs, sizes};
use serde::{Deserialize, Serialize};

use crate::messages;

/// Asks the lease holder for shares of targets' limits, and reports what is in use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareAsk {
    /// Rises with each question of this node; the reply repeats it.
    pub round: u64,
    /// The lease term of the node that is asked.
    pub term: epochs::LeaseTerm,
    /// Entries of the whole round, over all the datagrams that it was split into.
    pub total: u32,
    /// One entry for each target at which the node has or wants something; what a round does not
    /// name, the node has given up.
    pub entries: Vec<AskEntry>,
}

/// What a node has and wants at one target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskEntry {
    /// The target in its generation.
    pub key: messages::ShareKey,
    /// The most that the node will have in flight until a reply to this question comes.
    pub keep: sizes::RequestCount,
    /// What it has in flight now, beyond its fixed part.
    pub running: sizes::RequestCount,
    /// What it would like to have.
    pub wanted: sizes::RequestCount,
}
