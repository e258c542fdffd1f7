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
}
