//! Crash marks that nodes exchange.

use serde::{Deserialize, Serialize};

use crate::quarantine;

/// A few crash marks for one datagram; merging is idempotent and independent of the order.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashDelta {
    /// The marks.
    pub marks: Vec<quarantine::CrashMark>,
}
