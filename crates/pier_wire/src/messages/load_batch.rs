//! A shortened reply to a probe pull.

use pier_types::sizes;
use serde::{Deserialize, Serialize};

use crate::messages;

/// Answers a pull whose sender already has a batch with the same digest. Contains only the fields
/// that change with each probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBatch {
    /// The number of the pull that this answers.
    pub pull: u64,
    /// The digest of the batch to which the entries belong.
    pub digest: messages::BatchDigest,
    /// One entry for each entry of that batch, in the same order.
    pub entries: Vec<LoadEntry>,
}

/// The fields of a probe result that change with each probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Time from the sending of the probe to the creation of the batch, in milliseconds.
    pub age_ms: u32,
    /// Time until the VM answered, in milliseconds.
    pub latency_ms: u32,
    /// Number of requests that the engine runs.
    pub running: sizes::RequestCount,
    /// Number of requests in the engine's queue.
    pub queued: sizes::RequestCount,
}

impl LoadEntry {
    /// Copies the changing fields of a probe result.
    pub(crate) fn of(entry: &messages::ProbeEntry) -> Self {
        let report = entry.outcome.ok();
        Self {
            age_ms: entry.age_ms,
            latency_ms: entry.latency_ms,
            running: report.map_or_else(Default::default, |report| report.running),
            queued: report.map_or_else(Default::default, |report| report.queued),
        }
    }

    /// Replaces the changing fields of a probe result.
    pub(crate) fn apply_to(self, entry: &mut messages::ProbeEntry) {
        entry.age_ms = self.age_ms;
        entry.latency_ms = self.latency_ms;
        if let Ok(report) = &mut entry.outcome {
            report.running = self.running;
            report.queued = self.queued;
        }
    }

    /// Returns an entry with all fields zero, as used for the digest.
    pub(crate) const fn zero() -> Self {
        Self {
            age_ms: 0,
            latency_ms: 0,
            running: sizes::RequestCount::new(0),
            queued: sizes::RequestCount::new(0),
        }
    }
}
