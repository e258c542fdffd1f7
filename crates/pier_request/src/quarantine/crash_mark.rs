//! The mark of a request that ran on a target when it crashed.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

/// Implicates one request in one crash; nodes exchange marks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// The request.
    pub fingerprint: ids::RequestFingerprint,
    /// The target that crashed.
    pub target: ids::TargetId,
    /// The generation of the target that crashed.
    pub generation: epochs::GroupGeneration,
    /// How many requests ran on the target, this one included.
    pub suspects: u32,
    /// Whether the same request completed elsewhere, so that the mark no longer counts.
    pub cleared: bool,
    /// Milliseconds since the crash was detected.
    pub age_ms: u64,
}
