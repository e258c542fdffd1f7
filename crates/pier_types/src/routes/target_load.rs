//! The load of a target as last reported.

use crate::{sizes, times};

/// A load report and its age.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetLoad {
    /// Requests that ran when the report was made.
    pub running: sizes::RequestCount,
    /// Requests that waited when the report was made.
    pub queued: sizes::RequestCount,
    /// When the probe that brought the report was sent.
    pub probed_at: times::BootTime,
}
