//! `[limits]`.

use std::time;

use pier_types::{rates, sizes};

/// Limits of the whole system.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitSection {
    /// What the weight store gives to all VMs of a data centre together.
    pub weight_store_rate: rates::ByteRate,
    /// How long the claim of a one-time request is kept.
    pub claim_retention: time::Duration,
    /// How old the evidence of a member may be for its group to serve.
    pub freshness: time::Duration,
    /// Deadline of a request that names none.
    pub default_deadline: time::Duration,
    /// Size of any request's body.
    pub max_body: sizes::ByteSize,
}
