//! The error of a fake server that does not start.

use std::{error, fmt, io};

/// Why a fake server did not start.
#[derive(Debug)]
pub enum FakeError {
    /// The address could not be bound.
    Bind(io::Error),
    /// The HTTP server refused its settings or ended early.
    Launch(String),
}

impl fmt::Display for FakeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind(error) => write!(f, "the address cannot be bound: {error}"),
            Self::Launch(text) => write!(f, "the HTTP server did not start: {text}"),
        }
    }
}

impl error::Error for FakeError {}
