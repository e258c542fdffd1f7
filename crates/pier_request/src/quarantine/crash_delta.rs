//! What a node tells others of crashes.

use serde::{Deserialize, Serialize};

use crate::quarantine;

/// A few marks, for one datagram; merging it twice or out of order changes nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDelta {
    /// The marks.
    pub marks: Vec<quarantine::CrashMark>,
}
