//! The lease from the point of view of a node that does not hold it.

use std::time;

use pier_types::{epochs, times};

use crate::leases;

/// The newest state of the lease object that this node has seen.
#[derive(Debug, Clone)]
pub(super) struct ObservedLease {
    /// Version of the object, 0 when absent.
    pub version: epochs::ObjectVersion,
    /// The record; `None` when the object is absent or malformed.
    pub record: Option<leases::LeaseRecord>,
    /// Whether the value is not a valid record.
    pub is_malformed: bool,
    /// When this node first saw the version.
    pub seen_at: times::BootTime,
    /// How long this node waits after the lease's end before it takes over.
    pub takeover_delay: time::Duration,
}

impl ObservedLease {
    /// Creates the observation from the state that a read or a watch returned.
    pub fn new(
        reading: leases::LeaseReading,
        seen_at: times::BootTime,
        takeover_delay: time::Duration,
    ) -> Self {
        let (version, record, is_malformed) = match reading {
            leases::LeaseReading::Absent => (epochs::ObjectVersion::default(), None, false),
            leases::LeaseReading::Found { version, record } => (version, Some(record), false),
            leases::LeaseReading::Malformed { version } => (version, None, true),
        };
        Self {
            version,
            record,
            is_malformed,
            seen_at,
            takeover_delay,
        }
    }

    /// Returns whether this is newer than the earlier observation. Reads may be stale, so a lower
    /// version is ignored, but an absent object is newer since it may have been deleted.
    pub fn is_newer_than(&self, known: Option<&Self>) -> bool {
        let is_absent = self.version == epochs::ObjectVersion::default();
        known.is_none_or(|known| {
            self.version > known.version || (is_absent && known.version != self.version)
        })
    }

    /// Returns the time from which this node may take over.
    ///
    /// An absent object counts as a lease that was written and deleted just before it was first
    /// found to be absent.
    pub fn free_at(&self, settings: &leases::LeaseSettings) -> times::BootTime {
        let lifetime = self
            .record
            .as_ref()
            .map_or(settings.duration, leases::LeaseRecord::duration);
        self.seen_at.after(lifetime).after(self.takeover_delay)
    }

    /// Returns the term of the record, or 0 without a record.
    pub fn term(&self) -> epochs::LeaseTerm {
        self.record
            .as_ref()
            .map_or(epochs::LeaseTerm::default(), |record| record.term)
    }
}
