//! The mark of a part of a prompt that was on a target when it crashed.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

/// Implicates one part in one crash; nodes exchange marks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartMark {
    /// The part.
    pub part: ids::PromptPart,
    /// A request with the part that was lost with the target.
    pub request: ids::RequestFingerprint,
    /// The target that crashed.
    pub target: ids::TargetId,
    /// The generation of the target that crashed.
    pub generation: epochs::GroupGeneration,
    /// Whether an answer to a request with the part was completed, so that the mark does not count.
    pub cleared: bool,
    /// Milliseconds since the crash was detected.
    pub age_ms: u64,
}

/// A few marks for one datagram; merging is idempotent and independent of the order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartDelta {
    /// The marks.
    pub marks: Vec<PartMark>,
}
