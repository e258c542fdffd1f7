//! The line by which a shown document remembers its version.

use pier_types::epochs;

/// Beginning of the line; to the document it is a comment.
const LINE_START: &str = "# shown-version = ";

/// Puts the version in front of a text.
pub(crate) fn add(version: epochs::ConfigVersion, text: &str) -> String {
    format!("{LINE_START}{version}\n{text}")
}

/// Takes the line off a text and returns the version that it names.
pub(crate) fn split(text: &str) -> (Option<epochs::ConfigVersion>, &str) {
    let (line, rest) = text.split_once('\n').unwrap_or((text, ""));
    let version = line.trim_end().strip_prefix(LINE_START);
    match version.and_then(|version| version.parse().ok()) {
        Some(version) => (Some(version), rest),
        None => (None, text),
    }
}
