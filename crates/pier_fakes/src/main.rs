//! Runs one fake server as its own process.

use std::process;

fn main() -> process::ExitCode {
    pier_fakes::cli::run()
}
