//! `buckthornpier config diff`.

use clap::{ArgMatches, Command};
use pier_config::changes;

use crate::{
    commands::{config_check, platform_choice, shown_version},
    exits, output,
};

/// Name of the command.
pub(crate) const NAME: &str = "diff";

/// Builds the command.
pub(crate) fn build() -> Command {
    let command = Command::new(NAME)
        .about("Shows what applying a document would change")
        .arg(config_check::file_argument());
    platform_choice::add_arguments(command)
}

/// Compares the document in place with a file.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let own_text = config_check::read_file(matches)?;
    let own = config_check::parse(&own_text)?;
    let client = platform_choice::open(matches)?;
    let (version, text) = platform_choice::block_on(platform_choice::read_document(&client))?;
    if version.get() == 0 {
        output::line("there is no document yet; all of the file would be new");
        return Ok(());
    }
    let present = config_check::parse(&text)?;
    let (base, _rest) = shown_version::split(&own_text);
    if base.is_some_and(|base| base != version) {
        output::note("the document changed since the file was made from it");
    }
    let diff = changes::DocumentDiff::between(&present, &own);
    if diff.is_empty() {
        output::line(format!("no difference from version {version}"));
    }
    output::text(diff);
    Ok(())
}
