//! What is wrong with a member.

/// The state of one member of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum MemberFault {
    /// Nothing is wrong, or too little is known to act.
    Sound,
    /// It is silent, but may only be paused or held with its whole domain.
    Awaited,
    /// It works, but should be replaced before it goes or holds the others back.
    Fading,
    /// It came back under a new incarnation: its engine has forgotten the group.
    Reborn,
    /// It is gone: silent for too long, off the list, or wired to another domain.
    Lost,
}

impl MemberFault {
    /// Tells whether the group can not serve with the member.
    pub const fn is_hard(self) -> bool {
        matches!(self, Self::Reborn | Self::Lost)
    }
}
