//! The commands, one file each, and what they share.

mod apply_driver;
mod config_apply;
mod config_check;
mod config_diff;
mod config_show;
mod demo_command;
mod drain_command;
mod edge_command;
mod explain_command;
mod groups_command;
mod node_command;
mod node_reader;
mod platform_access;
mod root_command;
mod status_command;
mod version_line;

use std::{env, process};

use clap::error::ErrorKind;

use crate::{exits, output};

/// Reads the command line, runs the command and returns its exit code.
pub(crate) fn run() -> process::ExitCode {
    let matches = match root_command::build().try_get_matches_from(env::args_os()) {
        Ok(matches) => matches,
        Err(error) => return show_usage(&error),
    };
    match dispatch(&matches) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            output::diagnostic(&failure.text);
            failure.code.into()
        }
    }
}

fn dispatch(matches: &clap::ArgMatches) -> Result<(), exits::CommandFailure> {
    match matches.subcommand() {
        Some((node_command::NAME, matches)) => node_command::run(matches),
        Some((root_command::CONFIG, matches)) => dispatch_config(matches),
        Some((edge_command::NAME, matches)) => edge_command::run(matches),
        Some((drain_command::DRAIN, matches)) => drain_command::run_drain(matches),
        Some((drain_command::UNDRAIN, matches)) => drain_command::run_undrain(matches),
        Some((status_command::NAME, matches)) => status_command::run(matches),
        Some((groups_command::NAME, matches)) => groups_command::run(matches),
        Some((explain_command::NAME, matches)) => explain_command::run(matches),
        Some((demo_command::NAME, _matches)) => demo_command::run(),
        _ => Err(exits::CommandFailure::bad_input("no such command")),
    }
}

fn dispatch_config(matches: &clap::ArgMatches) -> Result<(), exits::CommandFailure> {
    match matches.subcommand() {
        Some((config_check::NAME, matches)) => config_check::run(matches),
        Some((config_show::NAME, matches)) => config_show::run(matches),
        Some((config_diff::NAME, matches)) => config_diff::run(matches),
        Some((config_apply::NAME, matches)) => config_apply::run(matches),
        _ => Err(exits::CommandFailure::bad_input("no such command")),
    }
}

/// Prints help to standard output, or a command line error to standard error.
fn show_usage(error: &clap::Error) -> process::ExitCode {
    let _closed = error.print();
    match error.kind() {
        ErrorKind::DisplayHelp | ErrorKind::DisplayVersion => process::ExitCode::SUCCESS,
        _ => exits::ExitCode::BadInput.into(),
    }
}
