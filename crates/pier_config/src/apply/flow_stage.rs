//! The state of a change in progress.

use pier_types::epochs;

/// A conditional write and the version that it replaces.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingWrite {
    pub(super) base_version: epochs::ConfigVersion,
    pub(super) base_text: String,
    /// The text to be written.
    pub(super) new_text: String,
}

/// The result that a change is waiting for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FlowStage {
    /// The read of the document to change, which must have at least this version.
    Reading(epochs::ConfigVersion),
    /// The write of the base to the history.
    Archiving,
    /// The first attempt to write.
    Writing,
    /// A retry of a write whose outcome is unknown, or a read that looks for its mark.
    Settling,
    /// After a conflict: the read of the current document, which must have at least this version.
    Explaining(epochs::ConfigVersion),
    /// After a conflict with this version and text: the read of the base from the history.
    Comparing(epochs::ConfigVersion, String),
    /// Nothing: the change has ended.
    Finished,
}
