//! How a conditional write ended.

use pier_types::epochs;

/// What is known of a conditional write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It succeeded and created this version.
    Stored(epochs::ObjectVersion),
    /// It failed, since the object had another version.
    Conflict,
    /// No answer arrived: it may have taken effect, or may still do so.
    Lost,
}
