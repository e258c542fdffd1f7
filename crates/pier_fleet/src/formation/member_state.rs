//! How a planned member stands.

/// A planned member as its own word shows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberState {
    /// Lost, started anew, or no longer registered.
    Gone,
    /// About to leave.
    Leaving,
    /// Was in the group and is not any more.
    Strayed,
    /// Has not taken the order to join yet.
    Unjoined,
    /// Is joining.
    Joining,
    /// Can work.
    Ready,
    /// Takes requests.
    Open,
    /// Says that the group is broken.
    Broken,
}

impl MemberState {
    /// Tells whether the group can not go on with this member.
    pub const fn is_fault(self) -> bool {
        matches!(self, Self::Gone | Self::Strayed | Self::Broken)
    }
}
