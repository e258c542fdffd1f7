//! `buckthornpier config show`.

use clap::{Arg, ArgAction, ArgMatches, Command};

use crate::{
    commands::{config_check, platform_access, version_line},
    exits, output,
};

/// Name of the command.
pub(crate) const NAME: &str = "show";

/// Builds the command.
pub(crate) fn build() -> Command {
    let canonical = Arg::new("canonical")
        .long("canonical")
        .action(ArgAction::SetTrue)
        .help("Show every entry, defaults included, without comments");
    let command = Command::new(NAME)
        .about("Prints the current document; its first line names the version")
        .arg(canonical);
    platform_access::add_arguments(command)
}

/// Prints the document, after a line that names its version.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let client = platform_access::open_client(matches)?;
    let (version, text) = platform_access::block_on(platform_access::read_document(&client))?;
    if version.get() == 0 {
        output::diagnostic("there is no document yet");
        return Ok(());
    }
    let shown = if matches.get_flag("canonical") {
        config_check::parse(&text)?.to_string()
    } else {
        text
    };
    output::text(version_line::add(version, &shown));
    Ok(())
}
