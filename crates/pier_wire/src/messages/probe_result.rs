//! One probe's result in full.

use std::time;

use pier_types::{ids, reports};

use crate::messages;

/// What a prober learned of a VM, before packing and after unpacking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeResult {
    /// The VM.
    pub vm: ids::VmName,
    /// Time since the probe was sent, when the batch was made.
    pub age: time::Duration,
    /// How long the answer took.
    pub latency: time::Duration,
    /// The report, or why there is none.
    pub outcome: Result<reports::EngineReport, messages::ProbeFailure>,
}
