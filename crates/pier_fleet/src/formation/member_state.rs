//! The state of a planned member.

/// State of a planned member, derived from the status that its VM reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberState {
    /// Lost, restarted, no longer known, or draining before it joined.
    Gone,
    /// Draining.
    Leaving,
    /// Was in the group and no longer is.
    Departed,
    /// Has not carried out the order to join yet.
    NotJoined,
    /// Is joining.
    Joining,
    /// Ready to work.
    Ready,
    /// Accepts requests.
    Open,
    /// Reports that the group is broken.
    Broken,
}

impl MemberState {
    /// Returns whether the group cannot continue with this member.
    pub const fn is_fault(self) -> bool {
        matches!(self, Self::Gone | Self::Departed | Self::Broken)
    }
}
