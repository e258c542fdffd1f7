//! Reports a crash to other nodes.

use pier_types::{epochs, ids};
use serde::{Deserialize, Serialize};

/// A crash of a target while it ran a request. Receiving the same crash again has no effect.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashDelta {
    /// The fingerprint of the request.
    pub fingerprint: ids::RequestFingerprint,
    /// The target that crashed.
    pub target: ids::TargetId,
    /// The generation of that target.
    pub generation: epochs::GroupGeneration,
    /// Number of requests that ran on the target, including this one.
    pub suspects: u32,
    /// Whether the same request completed on another target, so that it is no longer suspected.
    pub cleared: bool,
    /// Time from the detection of the crash to the sending of this message, in milliseconds.
    pub age_ms: u64,
}
