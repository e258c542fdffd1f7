//! `buckthornpier config check`.

use std::{fs, path};

use clap::{Arg, ArgMatches, Command, value_parser};
use pier_config::documents;

use crate::{exits, output};

/// Name of the command.
pub(crate) const NAME: &str = "check";

/// Builds the command.
pub(crate) fn build() -> Command {
    Command::new(NAME)
        .about("Checks a document without contacting the platform; names every fault")
        .arg(file_argument())
}

/// Returns the argument for the path of a document.
pub(crate) fn file_argument() -> Arg {
    Arg::new("file")
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .required(true)
        .help("The document, an INI file")
}

/// Reads the file given on the command line.
pub(crate) fn read_file(matches: &ArgMatches) -> Result<String, exits::CommandFailure> {
    let Some(path) = matches.get_one::<path::PathBuf>("file") else {
        return Err(exits::CommandFailure::bad_input("FILE is missing"));
    };
    fs::read_to_string(path).map_err(|error| {
        exits::CommandFailure::bad_input(format!("{} can not be read: {error}", path.display()))
    })
}

/// Parses a document; the failure lists every invalid entry.
pub(crate) fn parse(text: &str) -> Result<documents::ConfigDocument, exits::CommandFailure> {
    text.parse().map_err(exits::CommandFailure::bad_input)
}

/// Checks the file and prints a summary of the document.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let document = parse(&read_file(matches)?)?;
    output::line(format!(
        "ok: document {}, {} model(s), {} service(s), {} data centre(s), {} customer(s)",
        document.name,
        document.models.len(),
        document.services.len(),
        document.data_centres.len(),
        document.customers.len()
    ));
    Ok(())
}
