//! One request that ran on a target when it crashed.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

/// Implicates a request in a crash; the same on each node that hears of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// The request.
    pub fingerprint: ids::RequestFingerprint,
    /// The target that crashed.
    pub target: ids::TargetId,
    /// The generation of the target that crashed.
    pub generation: epochs::GroupGeneration,
    /// How many requests ran there, this one included.
    pub suspects: u32,
    /// Whether the same request ran to its end elsewhere, which clears it.
    pub cleared: bool,
    /// Milliseconds since the crash was seen.
    pub age_ms: u64,
}
