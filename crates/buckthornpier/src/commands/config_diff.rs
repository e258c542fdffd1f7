//! `buckthornpier config diff`.

use clap::{ArgMatches, Command};
use pier_config::changes;

use crate::{
    commands::{config_check, platform_access, version_line},
    exits, output,
};

/// Name of the command.
pub(crate) const NAME: &str = "diff";

/// Builds the command.
pub(crate) fn build() -> Command {
    let command = Command::new(NAME)
        .about("Shows what applying a document would change")
        .arg(config_check::file_argument());
    platform_access::add_arguments(command)
}

/// Prints the differences between the current document and the file.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let file_text = config_check::read_file(matches)?;
    let file_document = config_check::parse(&file_text)?;
    let client = platform_access::open_client(matches)?;
    let (version, text) = platform_access::block_on(platform_access::read_document(&client))?;
    if version.get() == 0 {
        output::line("there is no document yet; all of the file would be new");
        return Ok(());
    }
    let current = config_check::parse(&text)?;
    let (base, _rest) = version_line::split(&file_text);
    if base.is_some_and(|base| base != version) {
        output::diagnostic("the document changed since the file was made from it");
    }
    let diff = changes::DocumentDiff::between(&current, &file_document);
    if diff.is_empty() {
        output::line(format!("no difference from version {version}"));
    }
    output::text(diff);
    Ok(())
}
