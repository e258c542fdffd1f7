//! The lease as a node that does not hold it counts it.

use std::time;

use pier_types::{epochs, times};

use crate::leases;

/// The newest state of the lease object that this node saw.
#[derive(Debug, Clone)]
pub(super) struct ObservedLease {
    /// Version of the object, 0 when absent.
    pub version: epochs::ObjectVersion,
    /// The record; none when the object is absent or its value no record.
    pub record: Option<leases::LeaseRecord>,
    /// Whether the value is no record.
    pub malformed: bool,
    /// When this node first saw the version.
    pub seen_at: times::BootTime,
    /// This node's place in the takeover spread.
    pub spread: time::Duration,
}

impl ObservedLease {
    /// Takes in what a read or a watch showed.
    pub fn new(
        reading: leases::LeaseReading,
        seen_at: times::BootTime,
        spread: time::Duration,
    ) -> Self {
        let (version, record, malformed) = match reading {
            leases::LeaseReading::Absent => (epochs::ObjectVersion::default(), None, false),
            leases::LeaseReading::Found { version, record } => (version, Some(record), false),
            leases::LeaseReading::Malformed { version } => (version, None, true),
        };
        Self {
            version,
            record,
            malformed,
            seen_at,
            spread,
        }
    }

    /// Tells whether this is newer than what was seen before; reads may lag, and an object that
    /// was deleted begins anew.
    pub fn is_news(&self, known: Option<&Self>) -> bool {
        let is_absent = self.version == epochs::ObjectVersion::default();
        known.is_none_or(|known| {
            self.version > known.version || (is_absent && known.version != self.version)
        })
    }

    /// Returns the first moment at which another node may take over.
    ///
    /// An absent object counts as a lease that was deleted just before it was first seen missing.
    pub fn free_at(&self, settings: &leases::LeaseSettings) -> times::BootTime {
        let life = self
            .record
            .as_ref()
            .map_or(settings.duration, leases::LeaseRecord::duration);
        self.seen_at.after(life).after(self.spread)
    }

    /// Returns the term of the record, 0 without one.
    pub fn term(&self) -> epochs::LeaseTerm {
        self.record
            .as_ref()
            .map_or(epochs::LeaseTerm::default(), |record| record.term)
    }
}
