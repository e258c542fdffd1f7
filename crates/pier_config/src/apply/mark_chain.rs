//! The marks that a document carries for its most recent versions.

use pier_types::{epochs, ids};

use crate::{documents, edits};

/// Number of most recent versions whose marks a document carries.
const MAX_MARKS: usize = 16;

/// Which command wrote a version, according to a document's marks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteAuthor {
    /// This command wrote it.
    Own,
    /// Another command wrote it, so this command's write had no effect.
    Other,
    /// The document has no mark for that version.
    Unknown,
}

/// The marks of a document's most recent versions, newest first.
///
/// Each command prepends its mark to those of the version that it replaces, so a later version
/// still tells which command wrote each of the versions before it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MarkChain {
    marks: Vec<documents::AppliedMark>,
}

impl MarkChain {
    /// Reads the marks from a text; the chain is empty if the text is invalid.
    pub fn from_text(text: &str) -> Self {
        let document = text.parse::<documents::ConfigDocument>();
        let marks = document.map(|document| document.applied_by);
        Self {
            marks: marks.unwrap_or_default(),
        }
    }

    /// Prepends a mark and drops the oldest if there are too many.
    #[must_use]
    pub fn with(mut self, mark: documents::AppliedMark) -> Self {
        self.marks.insert(0, mark);
        self.marks.truncate(MAX_MARKS);
        self
    }

    /// Returns the text with its marks replaced by these.
    pub fn write_to(&self, text: &str) -> String {
        let marks = self.marks.iter().map(ToString::to_string);
        let marks = marks.collect::<Vec<_>>().join(", ");
        let mut text = edits::DocumentText::new(text);
        text.set("document", "applied-by", &marks);
        text.to_string()
    }

    /// Returns whether a version was written by the command with this nonce or by another one, if
    /// the marks show it.
    pub fn author_of(&self, version: epochs::ConfigVersion, nonce: ids::WriteNonce) -> WriteAuthor {
        let mut marks = self.marks.iter();
        match marks.find(|mark| mark.version == version) {
            Some(mark) if mark.nonce == nonce => WriteAuthor::Own,
            Some(_) => WriteAuthor::Other,
            None => WriteAuthor::Unknown,
        }
    }
}
