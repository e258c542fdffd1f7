//! Whether a node reads the VM list for others.

/// What a node does for the VM list of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListDuty {
    /// It holds the control lease and reads the platform for all.
    Reader,
    /// It pulls from the reader, and reads itself only when that fails.
    Follower,
}
