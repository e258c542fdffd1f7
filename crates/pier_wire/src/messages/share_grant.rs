//! The reply of the lease holder to a share request.

use pier_types::{epochs, sizes};
use serde::{Deserialize, Serialize};

use crate::messages;

/// Grants shares for a limited time, which starts when the request was sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// The round of the request.
    pub round: u64,
    /// The lease term under which the shares are granted.
    pub term: epochs::LeaseTerm,
    /// Lifetime of the shares, in milliseconds.
    pub life_ms: u32,
    /// One entry for each target.
    pub entries: Vec<GrantEntry>,
}

/// A share of one target's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantEntry {
    /// The key of the target in its current generation.
    pub key: messages::ShareKey,
    /// Number of requests that the node may have in flight beyond its fixed part of the limit.
    pub amount: sizes::RequestCount,
    /// The target's limit at the time of the grant.
    pub limit: sizes::RequestCount,
}
