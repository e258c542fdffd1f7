//! The kinds of records in the store.

/// A kind of records that a node reads from the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// Registrations of targets.
    Targets,
    /// The configuration document.
    Document,
    /// Data centres that are out of service.
    OutOfService,
    /// Records of nodes and stewards, which the nodes write themselves.
    Nodes,
}

impl RecordKind {
    /// Returns whether an answer that is seconds old may be used. Records of nodes only serve to
    /// find peers, which then exchange heartbeats, and a steward's record is written on condition
    /// of its version.
    pub const fn allows_stale(self) -> bool {
        matches!(self, Self::Nodes)
    }

    /// Returns the name in logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Document => "document",
            Self::OutOfService => "out-of-service",
            Self::Nodes => "nodes",
        }
    }
}
