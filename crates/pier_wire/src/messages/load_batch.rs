//! Probe results of which the asker knows the rest.

use pier_types::sizes;
use serde::{Deserialize, Serialize};

use crate::messages;

/// Answers a pull whose asker has a batch of the same digest: only what changes with each probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadBatch {
    /// The pull that it answers.
    pub pull: u64,
    /// The digest of the batch that it completes.
    pub digest: messages::BatchDigest,
    /// One entry for each of that batch, in its order.
    pub entries: Vec<LoadEntry>,
}

/// What changes with each probe of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadEntry {
    /// Time since the probe was sent, in milliseconds, when the batch was made.
    pub age_ms: u32,
    /// How long the answer took, in milliseconds.
    pub latency_ms: u32,
    /// Requests that the engine runs.
    pub running: sizes::RequestCount,
    /// Requests that wait in it.
    pub queued: sizes::RequestCount,
}

impl LoadEntry {
    /// Takes what changes out of a result.
    pub(crate) fn of(entry: &messages::ProbeEntry) -> Self {
        let report = entry.outcome.ok();
        Self {
            age_ms: entry.age_ms,
            latency_ms: entry.latency_ms,
            running: report.map_or_else(Default::default, |report| report.running),
            queued: report.map_or_else(Default::default, |report| report.queued),
        }
    }

    /// Puts it into a result.
    pub(crate) fn apply_to(self, entry: &mut messages::ProbeEntry) {
        entry.age_ms = self.age_ms;
        entry.latency_ms = self.latency_ms;
        if let Ok(report) = &mut entry.outcome {
            report.running = self.running;
            report.queued = self.queued;
        }
    }

    /// Returns the entry of a batch from which everything that changes is taken out.
    pub(crate) const fn zero() -> Self {
        Self {
            age_ms: 0,
            latency_ms: 0,
            running: sizes::RequestCount::new(0),
            queued: sizes::RequestCount::new(0),
        }
    }
}
