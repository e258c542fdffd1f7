//! How a conditional write ended.

use pier_types::epochs;

/// What is known of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It took effect and made this version.
    Stored(epochs::ObjectVersion),
    /// The object had another version.
    Conflict,
    /// No answer came: it may have taken effect, or may still do so.
    Lost,
}
