//! `buckthornpier edge`: the daemon for a platform whose targets register themselves.

use std::path;

use anyhow::Context as _;
use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{exits, logs};

/// Name of the command.
pub(crate) const NAME: &str = "edge";

/// Builds the command.
pub(crate) fn build() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .required(true)
        .help("INI file with this node's addresses, data centre and limits");
    Command::new(NAME)
        .about("Runs a node whose targets register themselves until SIGTERM, then drains it and exits with 0")
        .after_help(
            "The log goes to standard output, one line of key=value pairs for each event. Lines that\n\
             the reader does not take in time are dropped and counted.\n\
             Invalid settings end the command with exit code 2 before anything is started.",
        )
        .arg(settings)
}

/// Runs the node.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let Some(path) = matches.get_one::<path::PathBuf>("settings") else {
        return Err(exits::CommandFailure::bad_input("--settings is missing"));
    };
    let settings = pier_edge::settings::EdgeSettings::load(path)
        .map_err(|error| exits::CommandFailure::bad_input(error.to_string()))?;
    logs::start_non_blocking(settings.log_level)?;
    let adapter = pier_adapter::PlatformAdapter::new(settings.store)?;
    // A single thread: an entry VM has a fraction of one core, and switching between threads would
    // take time from it.
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?;
    runtime.block_on(pier_edge::run(path, settings, adapter))?;
    Ok(())
}
