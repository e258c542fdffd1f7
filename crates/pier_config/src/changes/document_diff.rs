//! The differences between two documents.

use std::{collections, fmt};

use crate::{changes, documents};

/// Key of the marks, which every command changes; a diff leaves it out.
const MARK_KEY: &str = "applied-by";

/// All entries that differ between two documents; comments and order are ignored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DocumentDiff {
    /// The differences, sorted by section and key.
    pub changes: Vec<changes::DocumentChange>,
}

impl DocumentDiff {
    /// Compares two documents.
    pub fn between(before: &documents::ConfigDocument, after: &documents::ConfigDocument) -> Self {
        let mut merged = collections::BTreeMap::<_, (Option<String>, Option<String>)>::new();
        for entry in before.entries() {
            merged.entry((entry.section, entry.key)).or_default().0 = Some(entry.value);
        }
        for entry in after.entries() {
            merged.entry((entry.section, entry.key)).or_default().1 = Some(entry.value);
        }
        let differs = merged
            .into_iter()
            .filter(|((_section, key), (before, after))| before != after && key != MARK_KEY);
        let changes = differs.map(
            |((section, key), (before, after))| changes::DocumentChange {
                section,
                key,
                before,
                after,
            },
        );
        Self {
            changes: changes.collect(),
        }
    }

    /// Returns whether the documents have the same entries.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }
}

impl fmt::Display for DocumentDiff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        Ok(())
    }
}
