//! The failure of a command.

use std::fmt;

use crate::exits;

/// Why a command fails: its exit code and the message for the operator.
#[derive(Debug)]
pub(crate) struct CommandFailure {
    /// The exit code.
    pub code: exits::ExitCode,
    /// The message printed to standard error.
    pub text: String,
}

impl CommandFailure {
    /// Creates a failure.
    pub(crate) fn new(code: exits::ExitCode, text: impl fmt::Display) -> Self {
        Self {
            code,
            text: text.to_string(),
        }
    }

    /// Creates a failure for an invalid command line, file or document.
    pub(crate) fn bad_input(text: impl fmt::Display) -> Self {
        Self::new(exits::ExitCode::BadInput, text)
    }

    /// Creates a failure for a platform or node that cannot be reached.
    pub(crate) fn unavailable(text: impl fmt::Display) -> Self {
        Self::new(exits::ExitCode::Unavailable, text)
    }
}

impl From<anyhow::Error> for CommandFailure {
    fn from(error: anyhow::Error) -> Self {
        Self::new(exits::ExitCode::Failure, format!("{error:#}"))
    }
}
