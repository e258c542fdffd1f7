//! What the newest answered probe of a VM told.

use std::time;

use pier_types::{reports, times};

/// A report and when the probe that brought it was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEvidence {
    /// What the VM's engine said of itself.
    pub report: reports::EngineReport,
    /// When the probe was sent, by this node's clock; the answer came later.
    pub probed_at: times::BootTime,
}

impl VmEvidence {
    /// Tells whether the evidence is young enough to act on.
    pub fn is_fresh(&self, now: times::BootTime, freshness: time::Duration) -> bool {
        now.since(self.probed_at) <= freshness
    }
}
