//! What a command prints; a reader that closes the pipe is no failure.

use std::{fmt, io, io::Write as _};

/// Prints a line to standard output.
pub(crate) fn line(text: impl fmt::Display) {
    let _closed = writeln!(io::stdout(), "{text}");
}

/// Prints a text that ends its own lines to standard output.
pub(crate) fn text(text: impl fmt::Display) {
    let _closed = write!(io::stdout(), "{text}");
}

/// Prints a line to standard error.
pub(crate) fn diagnostic(text: impl fmt::Display) {
    let _closed = writeln!(io::stderr(), "{text}");
}
