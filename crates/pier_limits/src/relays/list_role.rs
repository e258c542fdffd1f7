//! Whether a node reads the VM list for the other nodes.

/// The role of a node in distributing the VM list of its data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListRole {
    /// Holds the control lease and reads the platform for all nodes.
    Reader,
    /// Pulls from the reader, and reads the platform itself only if that fails.
    Follower,
}
