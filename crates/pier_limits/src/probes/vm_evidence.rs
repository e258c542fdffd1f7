//! Evidence of one VM.

use std::time;

use pier_types::{reports, times};

/// A VM's last report and when it was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEvidence {
    /// What the VM said.
    pub report: reports::EngineReport,
    /// When the probe was sent, or earlier; never later.
    pub probed_at: times::BootTime,
    /// How long the answer took.
    pub latency: time::Duration,
}
