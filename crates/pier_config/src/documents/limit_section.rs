//! The section `[limits]`.

use std::time;

use pier_types::{rates, sizes};

/// System-wide limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSection {
    /// Total read throughput of the weight store for all VMs of a data centre.
    pub weight_store_rate: rates::ByteRate,
    /// How long the claim record of a one-time request is kept.
    pub claim_retention: time::Duration,
    /// Maximum age of the evidence that a member is healthy, such as a probe answer, for its group
    /// to serve requests.
    pub freshness: time::Duration,
    /// Deadline of a request that sets none.
    pub default_deadline: time::Duration,
    /// Maximum body size of any request.
    pub max_body: sizes::ByteSize,
}
