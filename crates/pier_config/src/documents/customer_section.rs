//! The section `[customer NAME]`.

use std::collections;

use pier_types::{ids, priorities, sizes};

use crate::documents;

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CustomerSection {
    /// Hash of the bearer key that its callers send.
    pub key_hash: documents::KeyHash,
    /// Its weight when capacity is shared out under overload.
    pub weight: sizes::CustomerWeight,
    /// The highest priority that its callers may request.
    pub max_priority: priorities::RequestPriority,
    /// Models that it may call.
    pub models: collections::BTreeSet<ids::ModelName>,
    /// Plain services that it may call.
    pub services: collections::BTreeSet<ids::ServiceName>,
    /// Which of its calls may be retried.
    pub repeat: documents::RepeatPolicy,
    /// Its retry budget, in percent of first attempts.
    pub retry_percent: documents::RetryPercent,
}
