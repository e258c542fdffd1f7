//! Printing to standard output and error; write errors, such as a closed pipe, are ignored.

use std::{fmt, io, io::Write as _};

/// Prints a line to standard output.
pub(crate) fn line(text: impl fmt::Display) {
    let _ignored = writeln!(io::stdout(), "{text}");
}

/// Prints a text to standard output, without adding a line end.
pub(crate) fn text(text: impl fmt::Display) {
    let _ignored = write!(io::stdout(), "{text}");
}

/// Prints a line to standard error.
pub(crate) fn diagnostic(text: impl fmt::Display) {
    let _ignored = writeln!(io::stderr(), "{text}");
}
