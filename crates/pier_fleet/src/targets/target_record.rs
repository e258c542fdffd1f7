//! What this node holds about a target.

use std::time;

use pier_types::times;

use crate::targets;

/// How long a VM whose registration ended may still work for its group: it may be cut off from the
/// store alone, or leave after its streams, which takes ten seconds at most.
const UNLISTED_TIME: time::Duration = time::Duration::from_secs(12);

/// A registration with the times that this node knows of.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetRecord {
    /// The registration.
    pub entry: targets::TargetEntry,
    /// When this version of it was read.
    pub seen_at: times::BootTime,
    /// Until when the target is cold.
    pub cold_until: times::BootTime,
    /// When the registration ends for this node; none while it stands.
    pub ends_at: Option<times::BootTime>,
}

impl TargetRecord {
    /// Tells whether the registration still stands.
    pub fn stands(&self, now: times::BootTime) -> bool {
        self.ends_at.is_none_or(|end| now < end)
    }

    /// Tells whether the VM may work for its group, though its registration may have ended.
    pub fn may_work(&self, now: times::BootTime) -> bool {
        self.ends_at
            .is_none_or(|end| now < end.after(UNLISTED_TIME))
    }

    /// Tells whether the target takes new requests.
    pub fn takes_work(&self, now: times::BootTime) -> bool {
        self.stands(now) && !self.entry.is_draining
    }

    /// Tells whether the target is cold.
    pub fn is_cold(&self, now: times::BootTime) -> bool {
        now < self.cold_until
    }
}
