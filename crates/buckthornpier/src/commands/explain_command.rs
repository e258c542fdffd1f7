//! `buckthornpier explain`: shows what the logs of several nodes say about one request.

use std::{fs, io, path};

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};

use crate::{exits, explain, output};

/// Name of the command.
pub(crate) const NAME: &str = "explain";

/// The file name that means standard input.
const STANDARD_INPUT: &str = "-";

/// Builds the command.
pub(crate) fn build() -> Command {
    let attempt = Arg::new("attempt")
        .value_name("ID")
        .required(true)
        .help("Attempt id, as the caller sent it");
    let files = Arg::new("logs")
        .value_name("FILE")
        .value_parser(value_parser!(path::PathBuf))
        .action(ArgAction::Append)
        .num_args(0..)
        .help("Logs of nodes, each named after its node; none or - reads standard input");
    Command::new(NAME)
        .about("Shows the log lines of a request and the events of its targets")
        .after_help(
            "Lines in another format are skipped and counted. Ends with exit code 1 when no line names\n\
             the request.",
        )
        .arg(attempt)
        .arg(files)
}

/// Reads the logs and prints the lines of the request and of its targets.
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
