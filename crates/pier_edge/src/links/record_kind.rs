//! Kinds of records.

/// What a node reads from the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordKind {
    /// Registrations of targets.
    Targets,
    /// The document.
    Document,
    /// Data centres that are out of service.
    OutOfService,
    /// The nodes' own records.
    Nodes,
}

impl RecordKind {
    /// Tells whether an answer that is seconds old does: the nodes' own records only bring nodes
    /// together that then hear one another, and a steward's record is written on its version.
    pub const fn allows_stale(self) -> bool {
        matches!(self, Self::Nodes)
    }

    /// Returns the word for logs and metrics.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Targets => "targets",
            Self::Document => "document",
            Self::OutOfService => "out-of-service",
            Self::Nodes => "nodes",
        }
    }
}
