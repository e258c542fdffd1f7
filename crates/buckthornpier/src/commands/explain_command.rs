//! `buckthornpier explain`: one request's way in the logs of several nodes.

use std::{fs, io, path};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{exits, explain, output};

/// Name of the command.
pub(crate) const NAME: &str = "explain";

/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Builds the command.
pub(crate) fn build() -> Command {
    let attempt = Arg::new("attempt")
        .value_name("ID")
        .required(true)
        .help("The attempt's id, as the caller sent it");
    let files = Arg::new("logs")
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .action(ArgAction::Append)
        .num_args(0..)
        .help("Logs of nodes, named after their nodes; none or - reads standard input");
    Command::new(NAME)
        .about("Shows a request's way through the logs, and what its targets went through")
        .after_help(
            "Lines that are not understood are counted and passed over. Ends with exit code 1 when no\n\
             line names the request.",
        )
        .arg(attempt)
        .arg(files)
}

/// Reads the logs and prints the request's way.
pub(crate) fn run(matches: &ArgMatches) -> Result<(), exits::CommandFailure> {
    let Some(attempt) = matches.get_one::<String>("attempt") else {
        return Err(exits::CommandFailure::bad_input("ID is missing"));
    };
    let files = matches.get_many::<path::PathBuf>("logs");
    let files: Vec<_> = files.map(Iterator::collect).unwrap_or_default();
    let mut report = explain::AttemptReport::new(attempt);
    if files.is_empty() {
        read_input(&mut report)?;
    }
    for file in files {
        if file.as_os_str() == STANDARD_INPUT {
            read_input(&mut report)?;
        } else {
            read_file(&mut report, file)?;
        }
    }
    if !report.is_found() {
        let text = format!("no line names attempt {attempt}");
        return Err(exits::CommandFailure::new(exits::ExitCode::Failure, text));
    }
    output::text(report);
    Ok(())
}

fn read_input(report: &mut explain::AttemptReport) -> Result<(), exits::CommandFailure> {
    let read = report.read("input", io::stdin().lock());
    read.map_err(|error| exits::CommandFailure::bad_input(format!("standard input: {error}")))
}

fn read_file(
    report: &mut explain::AttemptReport,
    file: &path::Path,
) -> Result<(), exits::CommandFailure> {
    let node = file.file_stem().unwrap_or_default().to_string_lossy();
    let opened = fs::File::open(file);
    let read = opened.and_then(|log| report.read(&node, io::BufReader::new(log)));
    read.map_err(|error| {
        exits::CommandFailure::bad_input(format!("{} can not be read: {error}", file.display()))
    })
}
