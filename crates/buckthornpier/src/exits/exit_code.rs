//! The exit codes, by which scripts tell outcomes apart.

use std::{fmt, process};

/// What a command's exit code says.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ExitCode {
    /// Something else went wrong; nothing was changed.
    Failure,
    /// The command line, a file or a document is refused; nothing was changed.
    BadInput,
    /// Another change came first; nothing was changed.
    Conflict,
    /// The platform or the node is away; nothing was changed.
    Unavailable,
    /// The change may have taken effect.
    OutcomeUnknown,
}

impl ExitCode {
    /// Returns the number.
    pub(crate) const fn number(self) -> u8 {
        match self {
            Self::Failure => 1,
            Self::BadInput => 2,
            Self::Conflict => 3,
            Self::Unavailable => 4,
            Self::OutcomeUnknown => 5,
        }
    }
}

impl fmt::Display for ExitCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.number(), f)
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.number())
    }
}
