//! The marks that a document carries of its last versions.

use pier_types::{epochs, ids};

use crate::{documents, edits};

/// How many versions back a document's marks reach.
const MAX_MARKS: usize = 16;

/// What a document's marks say of one write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteAuthor {
    /// The write made its version.
    Own,
    /// Another write made that version, so ours had no effect.
    Other,
    /// The marks do not reach back to that version.
    Unknown,
}

/// The marks of a document's last versions, newest first.
///
/// Each command prepends its own mark to those of the version that its write replaces, so the chain
/// in any later version tells who made each of the versions before.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct MarkChain {
    marks: Vec<documents::AppliedMark>,
}

impl MarkChain {
    /// Reads the marks out of a text; none when it does not parse.
    pub fn from_text(text: &str) -> Self {
        let document = text.parse::<documents::ConfigDocument>();
        let marks = document.map(|document| document.applied_by);
        Self {
            marks: marks.unwrap_or_default(),
        }
    }

    /// Prepends a mark and drops the oldest.
    #[must_use]
    pub fn with(mut self, mark: documents::AppliedMark) -> Self {
        self.marks.insert(0, mark);
        self.marks.truncate(MAX_MARKS);
        self
    }

    /// Puts the marks into a text, in place of those that it may hold.
    pub fn write_to(&self, text: &str) -> String {
        let marks = self.marks.iter().map(ToString::to_string);
        let marks = marks.collect::<Vec<_>>().join(", ");
        let mut text = edits::DocumentText::new(text);
        text.set("document", "applied-by", &marks);
        text.to_string()
    }

    /// Tells who made a version.
    pub fn author_of(&self, version: epochs::ConfigVersion, nonce: ids::WriteNonce) -> WriteAuthor {
        let mut marks = self.marks.iter();
        match marks.find(|mark| mark.version == version) {
            Some(mark) if mark.nonce == nonce => WriteAuthor::Own,
            Some(_) => WriteAuthor::Other,
            None => WriteAuthor::Unknown,
        }
    }
}
