//! The status of a group member.

/// How the planner treats a member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberFault {
    /// Nothing is known to be wrong with it.
    Sound,
    /// It may have failed, but is not replaced yet: it may only be paused, its whole domain may
    /// have an outage, or the input about it is unreliable.
    Awaited,
    /// It works, but a successor should replace it since it is leaving or slows the group down.
    Fading,
    /// It restarted under a new incarnation, so its engine no longer knows the group.
    Reborn,
    /// It is gone: unreachable for too long, missing from the VM list, or in another domain.
    Lost,
}

impl MemberFault {
    /// Returns whether the group cannot serve until the member is replaced or loaded again.
    pub const fn is_hard(self) -> bool {
        matches!(self, Self::Reborn | Self::Lost)
    }
}
