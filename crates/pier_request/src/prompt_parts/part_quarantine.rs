//! The parts that are held.

use std::{collections, time};

use pier_types::{epochs, ids, times};

/// Identifies a crash.
pub(super) type CrashId = (ids::TargetId, epochs::GroupGeneration);

/// An immutable snapshot of the parts in quarantine, read by each request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PartQuarantine {
    pub(super) held: Vec<HeldParts>,
    /// The crashes that these parts explain.
    pub(super) crashes: collections::BTreeSet<CrashId>,
}

/// Parts that were on the same crashes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct HeldParts {
    pub parts: collections::BTreeSet<ids::PromptPart>,
    pub until: times::BootTime,
}

impl PartQuarantine {
    /// Returns how long a request with these shared parts is held; `None` when it may run.
    pub fn remaining(
        &self,
        parts: &[ids::PromptPart],
        now: times::BootTime,
    ) -> Option<time::Duration> {
        let matching = self
            .held
            .iter()
            .filter(|held| now < held.until && held.parts.iter().all(|part| parts.contains(part)));
        matching.map(|held| held.until.since(now)).max()
    }

    /// Returns the crashes that parts in quarantine explain.
    pub const fn crashes(
        &self,
    ) -> &collections::BTreeSet<(ids::TargetId, epochs::GroupGeneration)> {
        &self.crashes
    }

    /// Returns each set of parts that is held when a request has all of them, and until when.
    pub fn held(
        &self,
    ) -> impl Iterator<Item = (&collections::BTreeSet<ids::PromptPart>, times::BootTime)> {
        self.held.iter().map(|held| (&held.parts, held.until))
    }

    /// Returns whether no part is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
