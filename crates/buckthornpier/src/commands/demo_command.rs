//! `buckthornpier demo`.

use clap::Command;

use crate::{demo, exits};

/// Name of the command.
pub(crate) const NAME: &str = "demo";

/// Builds the command.
pub(crate) fn build() -> Command {
    Command::new(NAME)
        .about("Runs a small cluster in one process on loopback and sends it a few requests")
        .after_help("Needs no settings and no network; all ports are chosen by the system.")
}

/// Runs the demonstration.
pub(crate) fn run() -> Result<(), exits::CommandFailure> {
    demo::run()?;
    Ok(())
}
