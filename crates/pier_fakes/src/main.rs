//! The stand-ins as a process of their own.

use std::process;

fn main() -> process::ExitCode {
    pier_fakes::cli::run()
}
