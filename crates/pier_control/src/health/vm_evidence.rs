//! The last answered probe of a VM.

use std::time;

use pier_types::{reports, times};

/// The report of a VM's last answered probe, and when that probe was sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEvidence {
    /// The report of the VM's engine.
    pub report: reports::EngineReport,
    /// When the probe was sent, by this node's clock. The state in the report is at least this
    /// recent.
    pub probed_at: times::BootTime,
}

impl VmEvidence {
    /// Returns whether the probe was sent within the `freshness` time.
    pub fn is_fresh(&self, now: times::BootTime, freshness: time::Duration) -> bool {
        now.since(self.probed_at) <= freshness
    }
}
