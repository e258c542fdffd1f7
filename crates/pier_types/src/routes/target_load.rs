//! The last reported load of a target.

use crate::{sizes, times};

/// A load report and the time of its probe.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that were running at the time of the report.
    pub running: sizes::RequestCount,
    /// Requests that were queued at the time of the report.
    pub queued: sizes::RequestCount,
    /// When the probe that returned the report was sent.
    pub probed_at: times::BootTime,
}
