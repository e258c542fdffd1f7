//! `buckthornpier node`: the daemon.

use std::path;

use clap::{Arg, ArgMatches, Command, value_parser};

use crate::{exits, logs};

/// Name of the command.
pub(crate) const NAME: &str = "node";

/// Builds the command.
pub(crate) fn build() -> Command {
    let settings = Arg::new("settings")
        .long("settings")
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .required(true)
        .help("INI file with this node's addresses and data centre");
    Command::new(NAME)
        .about("Runs a node until SIGTERM, then drains it and exits with 0")
        .after_help(
            "The log goes to standard error, one line of key=value pairs for each event. Once the\n\
             ports accept connections, one line on standard output names them.\n\
             Invalid settings end the command with exit code 2 before anything is started.",
        )
        .arg(settings)
}

/// Runs the daemon.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let Some(path) = matches.get_one::<path::PathBuf>("settings") else {
        return Err(exits::CommandFailure::bad_input("--settings is missing"));
    };
    let settings = pier_node::settings::NodeSettings::load(path)
        .map_err(|error| exits::CommandFailure::bad_input(format!("{error:#}")))?;
    logs::start(settings.log_level)?;
    pier_node::run(path)?;
    Ok(())
}
