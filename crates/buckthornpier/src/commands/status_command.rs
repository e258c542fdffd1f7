//! `buckthornpier status`.

use clap::{ArgMatches, Command};
use pier_config::documents;

use crate::{
    commands::{node_reader, platform_access},
    exits, output,
};

/// Name of the command.
pub(crate) const NAME: &str = "status";
/// Path of the status on a node's operator port.
const PATH: &str = "/operator/status";

/// Builds the command.
pub(crate) fn build() -> Command {
    let command = Command::new(NAME)
        .about("Shows the platform's document and the status that nodes report")
        .after_help(
            "Give a platform, nodes, or both. If a node cannot be reached, the exit code is 4.",
        );
    node_reader::add_argument(platform_access::add_arguments(command))
}

/// Prints the state of the platform and of each node.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let nodes = node_reader::addresses(matches);
    if nodes.is_empty() && !platform_access::is_given(matches) {
        let text = "nothing to ask: give --platform URL, --settings FILE or --node ADDRESS:PORT";
        return Err(exits::CommandFailure::bad_input(text));
    }
    if platform_access::is_given(matches) {
        show_platform(matches)?;
    }
    platform_access::block_on(node_reader::print_all(&nodes, PATH))
}

fn show_platform(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let client = platform_access::open_client(matches)?;
    let (version, text) = platform_access::block_on(platform_access::read_document(&client))?;
    output::line("[platform]");
    if version.get() == 0 {
        output::line("document = none yet");
        return Ok(());
    }
    output::line(format!("version = {version}"));
    match text.parse::<documents::ConfigDocument>() {
        Ok(document) => show_document(&document),
        Err(error) => output::line(format!("document = refused, {error}")),
    }
    Ok(())
}

fn show_document(document: &documents::ConfigDocument) {
    output::line(format!("document = {}", document.name));
    for (name, section) in &document.data_centres {
        output::line(format!("data-centre.{name} = {}", section.state));
    }
    for (vm, reason) in &document.drained {
        output::line(format!("drained.{vm} = {reason}"));
    }
}
