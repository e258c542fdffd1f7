//! The status of a group member.

/// How the planner treats a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberStatus {
    /// Nothing is known to be wrong with it.
    Healthy,
    /// It may have failed, but is not replaced yet: it may only be paused, its whole domain may
    /// have an outage, or the input about it is unreliable.
    Suspect,
    /// It works, but a successor should replace it since it is leaving or slows the group down.
    NeedsSuccessor,
    /// It restarted under a new incarnation, so its engine no longer knows the group.
    Restarted,
    /// It is gone: unreachable for too long, missing from the VM list, or in another domain.
    Lost,
}

impl MemberStatus {
    /// Returns whether the group cannot serve until the member is replaced or loaded again.
    pub const fn is_failed(self) -> bool {
        matches!(self, Self::Restarted | Self::Lost)
    }
}
