//! `buckthornpier groups`.

use clap::{ArgMatches, Command};

use crate::{
    commands::{node_reader, platform_access},
    exits,
};

/// Name of the command.
pub(crate) const NAME: &str = "groups";
/// Path of the groups on a node's operator port.
const PATH: &str = "/operator/groups";

/// Builds the command.
pub(crate) fn build() -> Command {
    let command = Command::new(NAME)
        .about("Shows the replica groups as nodes see them")
        .after_help("If a node cannot be reached, the command ends with exit code 4.");
    node_reader::add_argument(command)
}

/// Prints the groups that each node reports.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let nodes = node_reader::addresses(matches);
    if nodes.is_empty() {
        let text = "no node to ask: give --node ADDRESS:PORT";
        return Err(exits::CommandFailure::bad_input(text));
    }
    platform_access::block_on(node_reader::print_all(&nodes, PATH))
}
