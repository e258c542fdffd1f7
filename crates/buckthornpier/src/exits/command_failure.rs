//! A command that did not do what it was asked for.

use std::fmt;

use crate::exits;

/// Why a command ends with another code than 0.
#[derive(Debug)]
pub(crate) struct CommandFailure {
    /// The exit code.
    pub code: exits::ExitCode,
    /// What is printed for the operator.
    pub text: String,
}

impl CommandFailure {
    /// Makes a failure out of anything that can be shown.
    pub(crate) fn new(code: exits::ExitCode, text: impl fmt::Display) -> Self {
        Self {
            code,
            text: text.to_string(),
        }
    }

    /// Makes a failure of refused input.
    pub(crate) fn bad_input(text: impl fmt::Display) -> Self {
        Self::new(exits::ExitCode::BadInput, text)
    }

    /// Makes a failure of a platform or node out of reach.
    pub(crate) fn unavailable(text: impl fmt::Display) -> Self {
        Self::new(exits::ExitCode::Unavailable, text)
    }
}

impl From<anyhow::Error> for CommandFailure {
    fn from(error: anyhow::Error) -> Self {
        Self::new(exits::ExitCode::Failure, format!("{error:#}"))
    }
}
