//! How far a change is.

use pier_types::epochs;

/// The version that the write replaces.
#[derive(Debug, Clone, Default)]
pub(super) struct PendingWrite {
    pub(super) base_version: epochs::ConfigVersion,
    pub(super) base_text: String,
    /// The text that is to take its place.
    pub(super) new_text: String,
}

/// What a change waits for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum FlowStage {
    /// Waits for the version to build on, at least this one.
    Reading(epochs::ConfigVersion),
    /// Waits for the base to be kept.
    Archiving,
    /// Waits for the first result of the write.
    Writing,
    /// Waits for the result of a write sent again, or reads back.
    Settling,
    /// Knows of a conflict and reads what is present, at least this version.
    Explaining(epochs::ConfigVersion),
    /// Knows of a conflict and looks for the base in the history.
    Comparing(epochs::ConfigVersion, String),
    /// Has said what became of the change.
    Finished,
}
