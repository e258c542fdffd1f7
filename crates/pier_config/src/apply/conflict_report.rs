//! The report of a conflicting change.

use pier_types::epochs;

use crate::{changes, documents};

/// Tells an operator what changed in the document since the version that was edited.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConflictReport {
    /// The version that the change was based on.
    pub base: epochs::ConfigVersion,
    /// The current version.
    pub current: epochs::ConfigVersion,
    /// Whether `changes` starts from the base; otherwise it starts from the operator's text.
    pub from_base: bool,
    /// The changes up to the current version, one per entry.
    pub changes: Vec<String>,
}

impl ConflictReport {
    /// Returns a report without changes.
    pub(super) fn new(base: epochs::ConfigVersion, current: epochs::ConfigVersion) -> Self {
        Self {
            base,
            current,
            from_base: false,
            changes: Vec::new(),
        }
    }

    /// Adds the changes from the base to the current version.
    #[must_use]
    pub(super) fn with_changes_from_base(mut self, base_text: &str, current_text: &str) -> Self {
        self.from_base = true;
        self.changes = list_changes(base_text, current_text);
        self
    }

    /// Adds the changes from the operator's text; used if the base is no longer available.
    #[must_use]
    pub(super) fn with_changes_from_own(mut self, own_text: &str, current_text: &str) -> Self {
        self.changes = list_changes(own_text, current_text);
        self
    }
}

fn list_changes(before: &str, after: &str) -> Vec<String> {
    let documents = (
        before.parse::<documents::ConfigDocument>(),
        after.parse::<documents::ConfigDocument>(),
    );
    let (Ok(before), Ok(after)) = documents else {
        return vec!["the documents cannot be compared: one of them is invalid".to_owned()];
    };
    let diff = changes::DocumentDiff::between(&before, &after);
    diff.changes.iter().map(ToString::to_string).collect()
}
