//! The lease holder's answer.

use pier_types::{epochs, sizes};
use serde::{Deserialize, Serialize};

use crate::messages;

/// Grants shares for a limited time, counted from when the question was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The question's round.
    pub round: u64,
    /// The lease term under which it is granted.
    pub term: epochs::LeaseTerm,
    /// How long the shares last, in milliseconds.
    pub life_ms: u32,
    /// One entry for each target.
    pub entries: Vec<GrantEntry>,
}

/// A share of one target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// The target in its generation.
    pub key: messages::ShareKey,
    /// How many requests the node may have in flight beyond its fixed part.
    pub amount: sizes::RequestCount,
    /// The target's limit when this was granted.
    pub limit: sizes::RequestCount,
}
