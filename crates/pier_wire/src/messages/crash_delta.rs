//! News of a crash.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

/// One crash of a target while it ran a request; telling it twice changes nothing.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashDelta {
    /// The request's content.
    pub fingerprint: ids::RequestFingerprint,
    /// The target that crashed.
    pub target: ids::TargetId,
    /// The generation of that target.
    pub generation: epochs::GroupGeneration,
    /// How many requests ran there, this one included.
    pub suspects: u32,
    /// Whether the same request ran to its end elsewhere, which clears it.
    pub cleared: bool,
    /// Milliseconds since the crash was seen, when this was sent.
    pub age_ms: u64,
}
