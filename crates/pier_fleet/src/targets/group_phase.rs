//! The phases of a group membership.

use serde::{Deserialize, Serialize};

/// Phase that a member reports for its membership in a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GroupPhase {
    /// Loads weights or connects to the other members.
    Joining,
    /// Ready to work for the group.
    Ready,
    /// First member of a group that accepts requests.
    Open,
    /// First member of a group that is finishing its requests.
    Closing,
    /// The group lost a member.
    Broken,
}
