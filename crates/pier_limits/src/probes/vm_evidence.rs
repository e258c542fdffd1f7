//! Evidence of one VM.

use std::time;

use pier_types::{reports, times};

/// A VM's latest report and when it was requested.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VmEvidence {
    /// The VM's report.
    pub report: reports::EngineReport,
    /// A lower bound of the time at which the probe was sent.
    pub probed_at: times::BootTime,
    /// How long the VM took to answer.
    pub latency: time::Duration,
}
