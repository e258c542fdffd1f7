//! The state of a cell.

use std::fmt;

/// Whether a cell is proved, and by what.
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
        /// Why the case cannot fail with the protection off.
        reason: String,
    },
    /// The fault cannot affect the step.
    NotApplicable {
        /// Why it cannot.
        reason: String,
    },
    /// A case fails; it is listed in `KNOWN-RED.txt`.
    Red {
        /// The case file.
        proof: String,
    },
    /// No case or test covers it yet.
    NotProved,
}

impl CellState {
    /// Returns the symbol of the state on the page.
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
