//! The decoded form of a probe result.

use std::time;

use pier_types::{ids, reports};

use crate::messages;

/// The result of probing a VM, before packing and after unpacking.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ProbeResult {
    /// The VM.
    pub vm: ids::VmName,
    /// Time from the sending of the probe to the creation of the batch.
    pub age: time::Duration,
    /// Time until the VM answered.
    pub latency: time::Duration,
    /// The report, or why the probe failed.
    pub outcome: Result<reports::EngineReport, messages::ProbeFailure>,
}
