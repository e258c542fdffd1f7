//! A registration as this node keeps it.

use std::time;

use pier_types::{epochs, times};

use crate::targets;

/// How long a VM whose registration ended may still work for its group: it may be cut off from the
/// store alone, or be finishing its streams, which takes ten seconds at most.
const UNLISTED_LIMIT: time::Duration = time::Duration::from_secs(12);

/// A registration with the times at which this node observed it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// The registration.
    pub entry: targets::TargetEntry,
    /// When this version of it was read.
    pub seen_at: times::BootTime,
    /// End of the target's cold start.
    pub cold_until: times::BootTime,
    /// When this node stops honouring the registration; `None` while it is in the store.
    pub ends_at: Option<times::BootTime>,
    /// Version of the store at which the registration, or its removal, was read.
    pub read_at: epochs::ObjectVersion,
}

impl TargetRecord {
    /// Returns whether the registration has not ended yet.
    pub fn is_valid(&self, now: times::BootTime) -> bool {
        self.ends_at.is_none_or(|end| now < end)
    }

    /// Returns whether the VM may still work for its group, even if its registration has ended.
    pub fn may_serve_group(&self, now: times::BootTime) -> bool {
        self.ends_at
            .is_none_or(|end| now < end.after(UNLISTED_LIMIT))
    }

    /// Returns whether the target accepts new requests.
    pub fn accepts_requests(&self, now: times::BootTime) -> bool {
        self.is_valid(now) && !self.entry.is_draining
    }

    /// Returns whether the target is cold.
    pub fn is_cold(&self, now: times::BootTime) -> bool {
        now < self.cold_until
    }
}
