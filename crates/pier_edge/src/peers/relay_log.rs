//! The latest changes of registrations, which a steward relays.

use std::{collections, time};

use pier_types::{epochs, times};

use crate::peers;

/// How long a change is repeated in every relay message, in case datagrams are lost.
const REPEAT_PERIOD: time::Duration = time::Duration::from_millis(500);

/// Greatest number of changes in one datagram, which keeps it below the size limit.
const MAX_CHANGES: usize = 120;

/// Keeps the changes that followers may not have received yet.
#[derive(Debug, Default)]
pub(crate) struct RelayLog {
    version: epochs::ObjectVersion,
    batches: collections::VecDeque<ChangeBatch>,
}

#[derive(Debug)]
struct ChangeBatch {
    from: epochs::ObjectVersion,
    changes: Vec<peers::TargetChange>,
    recorded_at: times::BootTime,
}

impl RelayLog {
    /// Records the changes between two versions of the store; after a gap the older ones are
    /// dropped.
    pub(crate) fn record(
        &mut self,
        from: epochs::ObjectVersion,
        to: epochs::ObjectVersion,
        changes: Vec<peers::TargetChange>,
        now: times::BootTime,
    ) {
        if from != self.version {
            self.batches.clear();
        }
        self.version = to;
        if !changes.is_empty() {
            self.batches.push_back(ChangeBatch {
                from,
                changes,
                recorded_at: now,
            });
        }
    }

    /// Restarts at the version of a whole list; followers that are behind it read the list
    /// themselves.
    pub(crate) fn restart(&mut self, version: epochs::ObjectVersion) {
        self.batches.clear();
        self.version = version;
    }

    /// Returns the versions before and after the changes to send, and the changes.
    pub(crate) fn latest(
        &mut self,
        now: times::BootTime,
    ) -> (
        epochs::ObjectVersion,
        epochs::ObjectVersion,
        Vec<peers::TargetChange>,
    ) {
        let is_expired = |batch: &ChangeBatch| now.since(batch.recorded_at) >= REPEAT_PERIOD;
        while self.batches.front().is_some_and(is_expired) || self.size() > MAX_CHANGES {
            self.batches.pop_front();
        }
        let from = self
            .batches
            .front()
            .map_or(self.version, |batch| batch.from);
        let changes = self
            .batches
            .iter()
            .flat_map(|batch| batch.changes.iter().cloned());
        (from, self.version, changes.collect())
    }

    fn size(&self) -> usize {
        self.batches.iter().map(|batch| batch.changes.len()).sum()
    }
}
