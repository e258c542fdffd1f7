//! What is known of a cell.

use std::fmt;

/// What is known of a cell.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum CellState {
    /// A case passes, and was seen to fail with the protection off.
    Proved {
        /// The case file or the test that proves it.
        proof: String,
    },
    /// A case passes, but was not seen to fail with the protection off.
    Held {
        /// The case file.
        proof: String,
        /// Why it can not fail there.
        reason: String,
    },
    /// The fault can not touch the step.
    NotApplicable {
        /// Why not.
        reason: String,
    },
    /// A case fails; it stands in `KNOWN-RED.txt`.
    Red {
        /// The case file.
        proof: String,
    },
    /// Nothing shows it yet.
    NotProved,
}

impl CellState {
    /// Returns the mark of the state on the page.
    pub fn mark(&self) -> &'static str {
        match self {
            Self::Proved { .. } => "P",
            Self::Held { .. } => "h",
            Self::NotApplicable { .. } => "-",
            Self::Red { .. } => "R",
            Self::NotProved => "?",
        }
    }
}

impl fmt::Display for CellState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Proved { proof } => write!(f, "proved by {proof}"),
            Self::Held { proof, reason } => write!(f, "held by {proof}: {reason}"),
            Self::NotApplicable { reason } => write!(f, "not applicable: {reason}"),
            Self::Red { proof } => write!(f, "red: {proof}"),
            Self::NotProved => f.write_str("not proved"),
        }
    }
}
