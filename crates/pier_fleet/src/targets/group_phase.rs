//! How far a member is.

use serde::{Deserialize, Serialize};

/// A member's own word on its place in a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum GroupPhase {
    /// Loads weights or connects to the others.
    Joining,
    /// Can work for the group.
    Ready,
    /// First member of a group that takes requests.
    Open,
    /// First member of a group that ends its requests.
    Closing,
    /// The group lost a member.
    Broken,
}
