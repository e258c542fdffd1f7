//! The first line of a shown document, which names the version that it was read as.

use pier_types::epochs;

/// Beginning of the line; a comment to the parser of the document.
const LINE_START: &str = "# shown-version = ";

/// Returns the text with the version line in front.
pub(crate) fn add(version: epochs::ConfigVersion, text: &str) -> String {
    format!("{LINE_START}{version}\n{text}")
}

/// Splits a text into its version, if its first line names one, and the document.
pub(crate) fn split(text: &str) -> (Option<epochs::ConfigVersion>, &str) {
    let (line, rest) = text.split_once('\n').unwrap_or((text, ""));
    let version = line.trim_end().strip_prefix(LINE_START);
    match version.and_then(|version| version.parse().ok()) {
        Some(version) => (Some(version), rest),
        None => (None, text),
    }
}
