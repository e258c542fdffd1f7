//! `[customer NAME]`.

use std::collections;

use pier_types::{ids, priorities, sizes};

use crate::documents;

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerSection {
    /// Hash of the bearer key of its callers.
    pub key_hash: documents::KeyHash,
    /// Its share when capacity is short.
    pub weight: sizes::CustomerWeight,
    /// The highest priority that its callers may ask for.
    pub max_priority: priorities::RequestPriority,
    /// Models that it may call.
    pub models: collections::BTreeSet<ids::ModelName>,
    /// Plain services that it may call.
    pub services: collections::BTreeSet<ids::ServiceName>,
    /// Which of its calls may be repeated.
    pub repeat: documents::RepeatPolicy,
    /// Its retry budget.
    pub retry_percent: documents::RetryPercent,
}
