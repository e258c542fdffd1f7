//! What changed under an operator.

use pier_types::epochs;

use crate::{changes, documents};

/// Tells an operator whose change came too late what came first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConflictReport {
    /// The version that the change was meant for.
    pub base: epochs::ConfigVersion,
    /// The version in place.
    pub current: epochs::ConfigVersion,
    /// Whether `changes` leads from the base; else it leads from the operator's own text.
    pub from_base: bool,
    /// The changes that lead to the version in place, one a line.
    pub changes: Vec<String>,
}

impl ConflictReport {
    /// Makes a report that names the two versions.
    pub(super) fn new(base: epochs::ConfigVersion, current: epochs::ConfigVersion) -> Self {
        Self {
            base,
            current,
            from_base: false,
            changes: Vec::new(),
        }
    }

    /// Lists the changes from the base.
    #[must_use]
    pub(super) fn with_changes_from_base(mut self, base_text: &str, current_text: &str) -> Self {
        self.from_base = true;
        self.changes = list_changes(base_text, current_text);
        self
    }

    /// Lists the changes from the operator's own text, for want of the base.
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
        return vec!["the documents can not be compared: one of them does not parse".to_owned()];
    };
    let diff = changes::DocumentDiff::between(&before, &after);
    diff.changes.iter().map(ToString::to_string).collect()
}
