//! What became of a change.

use pier_types::epochs;

use crate::{edits, faults};

/// What became of a change, as far as it is certain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It took effect.
    Accepted {
        /// The version that it made.
        version: epochs::ConfigVersion,
    },
    /// The text is refused; nothing was sent.
    Refused(faults::DocumentError),
    /// The edit is refused; it had no effect.
    EditRefused(edits::EditError),
    /// Another change came first; this one had no effect.
    Conflict(ConflictReport),
    /// The platform is away; the change had no effect.
    Away {
        /// What went wrong, for people.
        reason: String,
    },
    /// The change may have taken effect; nothing more could be learnt.
    Unknown {
        /// What went wrong, for people.
        reason: String,
    },
}

/// What changed under an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConflictReport {
    /// The version that the change was meant for.
    pub base: epochs::ConfigVersion,
    /// The version in place.
    pub present: epochs::ConfigVersion,
    /// Whether `changes` leads from the base; else it leads from the operator's own text.
    pub from_base: bool,
    /// The changes that lead to the version in place, one a line.
    pub changes: Vec<String>,
}
